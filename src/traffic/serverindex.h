#pragma once

#include "backendserver.h"

#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Primrosefork {

/** Returns the weight of a server with the hash \a serverHash for the prompts that share \a prefix; the server with the highest weight is their home. */
[[nodiscard]] auto homeWeight(std::uint64_t serverHash, std::uint64_t prefix) -> std::uint64_t;

/**
 * The live servers of one service, indexed so that a routing decision looks at a
 * limited number of them, however many there are.
 */
class ServerIndex {
public:
    static constexpr std::size_t maxCandidates = 128;

    /** Indexes \a servers, which must outlive the index. */
    explicit ServerIndex(const std::vector<const BackendServer*>& servers);

    /** Sets the \a ids of the engines that are reserved for long streams. */
    auto setStreamEngines(const std::set<std::string>& ids) -> void;

    [[nodiscard]] auto servers() const -> const std::vector<const BackendServer*>& { return this->all; }

    /**
     * Returns the servers to choose from: all of them, or of more than maxCandidates a random sample that
     * contains the home of \a prefix, unless that is 0, among the servers of \a homeZone if there are any, or else
     * of all zones. Most of the sample are servers of the kind that
     * \a isLongStream asks for.
     */
    [[nodiscard]] auto candidates(std::uint64_t prefix, bool isLongStream, std::minstd_rand& random, std::string_view homeZone = {}) const -> std::vector<const BackendServer*>;

private:
    struct Entry {
        const BackendServer* server = nullptr;
        std::uint64_t hash = 0; ///< Hash of the server's id.
    };

    using Entries = std::vector<Entry>;

    static auto addSample(std::vector<const BackendServer*>& sample, const Entries&, std::size_t count, std::minstd_rand&) -> void;

    std::vector<const BackendServer*> all;
    Entries entries;
    Entries streamEngines;
    Entries otherServers;
};

} // namespace Primrosefork
