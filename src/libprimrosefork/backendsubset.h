#pragma once

#include "backendserver.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace Primrosefork {

/** The properties of a live node on which the selection of subsets depends. */
struct SubsetNode {
    std::string id;
    std::string zone;
    std::string region;

    auto operator==(const SubsetNode&) const -> bool = default;
};

/** The size of the subsets. */
struct SubsetOptions {
    std::size_t serversPerNode = 40; ///< Mean number of servers of one pool that a node works with.
    std::size_t minNodesPerServer = 3;
};

/** The ids of the backend servers that a node works with. */
using BackendSubsetIds = std::set<std::string>;

/**
 * Selects the part of each pool that a node works with.
 *
 * Each server is assigned the same number of nodes, those that rank highest for it
 * by rendezvous hashing. The load of the servers is therefore even, and few
 * assignments change when a node or a server is added or removed. Up to half of a
 * server's nodes are taken from its own zone first. Nodes with the same view of the
 * cluster select consistently without communicating.
 */
class BackendSubset {
public:
    explicit BackendSubset(const SubsetOptions& options = {});

    /**
     * Returns the ids of those \a servers that the node \a self works with, given
     * the live \a nodes. Each step of \a widening doubles the number of nodes per
     * server; a wider subset contains the narrower ones.
     */
    [[nodiscard]] auto select(const std::string& self, const std::vector<SubsetNode>& nodes, const BackendServers& servers, unsigned widening = 0) const
        -> BackendSubsetIds;

private:
    SubsetOptions options;
};

} // namespace Primrosefork
