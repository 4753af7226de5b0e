#pragma once

#include "address.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Primrosefork {

/** A live node that can be an observer. */
struct ObserverCandidate {
    Address address; ///< Address at which the node receives messages of its peers.
    std::string zone;
    double processorShare = 0; ///< Processor cores that the node may use.
};

/** Number of nodes that watch the store for all others; with as many nodes or fewer, each watches it itself. */
constexpr std::size_t observerCount = 12;

/**
 * Returns the observers among the live nodes \a candidates.
 *
 * Those of \a current that are live stay, so that the other nodes keep theirs.
 * Vacant places go to the zones with the fewest observers, and there to the
 * nodes with the most processor.
 */
[[nodiscard]] auto selectObservers(const std::vector<Address>& current, std::vector<ObserverCandidate> candidates) -> std::vector<Address>;

/** Returns \a observers in the order in which the node \a nodeId turns to them; nodes are spread evenly over the first places. */
[[nodiscard]] auto observersByPreference(const std::vector<Address>& observers, const std::string& nodeId) -> std::vector<Address>;

} // namespace Primrosefork
