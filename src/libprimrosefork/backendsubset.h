#pragma once

#include "backendserver.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace Primrosefork {

/** A live node as the choice of subsets sees it. */
struct SubsetNode {
    std::string id;
    std::string zone;
    std::string region;

    auto operator==(const SubsetNode&) const -> bool = default;
};

/** How large subsets are. */
struct SubsetOptions {
    std::size_t serversPerNode = 40; ///< Of one pool, in the mean.
    std::size_t fewestNodesPerServer = 3;
};

/** The backend servers that a node works with, by id. */
using BackendSubsetIds = std::set<std::string>;

/**
 * Chooses the part of each pool that a node works with.
 *
 * Each server takes the same number of nodes, those that rank highest for it by
 * rendezvous hashing: so the load of the servers is even, and little changes
 * when a node or a server comes or goes. Up to half of the nodes are of the
 * server's own zone. Nodes with the same view choose without asking each other.
 */
class BackendSubset {
public:
    explicit BackendSubset(const SubsetOptions& options = {});

    /**
     * Returns the servers of \a servers that the node \a self works with among
     * the live \a nodes. Each step of \a widening doubles the nodes of a
     * server; a wider subset contains the narrower ones.
     */
    [[nodiscard]] auto select(const std::string& self, const std::vector<SubsetNode>& nodes, const BackendServers& servers, unsigned widening = 0) const
        -> BackendSubsetIds;

private:
    SubsetOptions options;
};

} // namespace Primrosefork
