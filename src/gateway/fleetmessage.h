#pragma once

#include "usageledger.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Primrosefork {

/** What a node tells of one workspace. */
struct WorkspaceReport {
    std::string workspace;
    double askedPerSecond = 0; ///< Units of its quota.
};

/** The requests that began in one accounting window, on one node. */
struct WindowReport {
    UsageWindow window = 0;
    UsageCounts counts;
};

/** What a node tells of the load that it brings to one service. */
struct ServiceReport {
    std::string service;
    double readTokensPerSecond = 0; ///< Prompt tokens that engines had to read.
    double engineTokensPerSecond = 0; ///< That one engine reads, by this node's measure; 0 is not known.
    std::int64_t open = 0; ///< Requests at servers.
    std::int64_t waiting = 0; ///< For a server.
};

/** A node's report to the leader. */
struct NodeReport {
    std::vector<WorkspaceReport> workspaces;
    std::vector<WindowReport> windows;
    std::vector<ServiceReport> services;
};

/** A part of a workspace's quota. */
struct QuotaShare {
    std::string workspace;
    double share = 0;
};

/** The leader's answer to a report. */
struct FleetAnswer {
    std::uint32_t nodes = 1;
    std::vector<QuotaShare> shares;
};

/** One datagram between a node and the leader; one of report and answer is set. */
struct FleetMessage {
    std::string sender;
    std::uint64_t session = 0; ///< Of the sender's process.
    std::uint32_t sequence = 0;
    std::optional<NodeReport> report;
    std::optional<FleetAnswer> answer;
};

/** Returns \a message as bytes. */
[[nodiscard]] auto encodeFleetMessage(const FleetMessage& message) -> std::string;

/** Returns the message in \a bytes, or nothing when it is not one. */
[[nodiscard]] auto decodeFleetMessage(std::string_view bytes) -> std::optional<FleetMessage>;

} // namespace Primrosefork
