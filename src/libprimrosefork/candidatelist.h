#pragma once

#include "backendserver.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Primrosefork {

/** Which servers of the hash ring are meant. */
enum class RingPlaces {
    All,
    ShortOnly, ///< Not those that long work is limited to.
};

/**
 * The backend servers that may be given work of one service, indexed once so
 * that a decision need not look at all of them.
 *
 * Servers that were listed stay at their place of the hash ring when others come
 * and go. Places for long work are a part of the servers that every node picks
 * alike.
 */
class CandidateList {
public:
    /** The servers must outlive the list. */
    explicit CandidateList(std::vector<const BackendServer*> servers);

    [[nodiscard]] auto servers() const -> std::span<const BackendServer* const> { return this->all; }

    /** Returns the servers of \a zone. */
    [[nodiscard]] auto inZone(std::string_view zone) const -> std::span<const BackendServer* const>;

    /** Returns how many servers \a places has. */
    [[nodiscard]] auto count(RingPlaces places) const -> std::size_t;

    /** Returns up to \a count servers of \a places that follow \a key on the hash ring. */
    [[nodiscard]] auto onRing(std::uint64_t key, RingPlaces places, std::size_t count) const -> std::vector<const BackendServer*>;

    /** Returns the servers that long work is limited to. */
    [[nodiscard]] auto longPlaces() const -> std::span<const BackendServer* const>;

    /** Returns whether \a server is one that long work is limited to. */
    [[nodiscard]] auto isLongPlace(const BackendServer& server) const -> bool;

private:
    struct RingPoint {
        std::uint64_t hash = 0;
        const BackendServer* server = nullptr;
        bool isLongPlace = false;
    };

    struct ZoneHash {
        using is_transparent = void;
        auto operator()(std::string_view text) const -> std::size_t { return std::hash<std::string_view> {}(text); }
    };

    std::vector<const BackendServer*> all;
    std::vector<const BackendServer*> byHash; ///< The places for long work come first.
    std::uint64_t lastLongPlace = 0; ///< Hash of the last of them.
    std::vector<RingPoint> ring;
    std::unordered_map<std::string, std::vector<const BackendServer*>, ZoneHash, std::equal_to<>> zones;
};

} // namespace Primrosefork
