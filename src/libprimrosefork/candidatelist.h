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

/** Selects the servers that a look-up on the hash ring returns. */
enum class RingFilter {
    All,
    ShortWorkOnly, ///< Leaves out the servers for long work.
};

/**
 * The backend servers that may run requests of one service, indexed once so that a
 * routing decision need not look at all of them.
 *
 * A server keeps its points on the hash ring when others are added or removed. A
 * third of the servers, rounded up, is set apart for long work; they are selected by
 * the hash of their id, so that nodes with the same list select the same ones.
 */
class CandidateList {
public:
    /** Indexes \a servers, which must outlive the list. */
    explicit CandidateList(std::vector<const BackendServer*> servers);

    [[nodiscard]] auto servers() const -> std::span<const BackendServer* const> { return this->allServers; }

    /** Returns the servers of \a zone. */
    [[nodiscard]] auto inZone(std::string_view zone) const -> std::span<const BackendServer* const>;

    /** Returns how many servers match \a filter. */
    [[nodiscard]] auto count(RingFilter filter) const -> std::size_t;

    /** Returns the first servers, up to \a count, that match \a filter and follow \a key on the hash ring. */
    [[nodiscard]] auto ringSuccessors(std::uint64_t key, RingFilter filter, std::size_t count) const -> std::vector<const BackendServer*>;

    /** Returns the servers that long work is limited to. */
    [[nodiscard]] auto longWorkServers() const -> std::span<const BackendServer* const>;

    /** Returns whether \a server is one that long work is limited to. */
    [[nodiscard]] auto isLongWorkServer(const BackendServer& server) const -> bool;

private:
    struct RingPoint {
        std::uint64_t hash = 0;
        const BackendServer* server = nullptr;
        bool isLongWorkServer = false;
    };

    struct ZoneHash {
        using is_transparent = void;
        auto operator()(std::string_view text) const -> std::size_t { return std::hash<std::string_view> {}(text); }
    };

    std::vector<const BackendServer*> allServers;
    std::vector<const BackendServer*> byHash; ///< Servers in the order of the hash of their id; those for long work come first.
    std::uint64_t lastLongWorkHash = 0; ///< Highest hash of the id of a server for long work.
    std::vector<RingPoint> ring;
    std::unordered_map<std::string, std::vector<const BackendServer*>, ZoneHash, std::equal_to<>> zones;
};

} // namespace Primrosefork
