#pragma once

#include "quotaledger.h"
#include "usageledger.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Primrosefork {

/** What a node tells of one workspace. */
struct WorkspaceReport {
    std::string workspace;
    float askedPerSecond = 0; ///< Units of its quota.
    double ownUnits = 0; ///< Let through by the node's own decision since it started.
    RecentUse recentUse; ///< Told to a new leader only.
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
    std::int64_t openStreams = 0; ///< Long streams among the open requests.
};

/** A node's report to the leader. */
struct NodeReport {
    std::chrono::milliseconds upTime { 0 }; ///< Of the node's process.
    std::vector<WorkspaceReport> workspaces;
    std::vector<WindowReport> windows;
    std::vector<ServiceReport> services;
};

/** A part of a workspace's quota. */
struct QuotaShare {
    std::string workspace;
    double share = 0;
};

/** The engines of a service that serve long streams. */
struct StreamEngines {
    std::string service;
    std::int64_t count = 0;
};

/** The leader's answer to a report. */
struct FleetAnswer {
    std::uint32_t nodes = 1;
    std::uint32_t reportSequence = 0; ///< Of the report that this answers.
    std::uint64_t configurationRevision = 0; ///< The newest, by the leader's last read of the store; 0 is not known.
    std::chrono::milliseconds configurationAge { 0 }; ///< Since that read was asked for.
    std::uint64_t registryRevision = 0; ///< Of the newest change that the leader has seen.
    std::vector<QuotaShare> shares;
    std::vector<StreamEngines> streamEngines;
};

/** A node's question whether a workspace may use units of its quota. */
struct QuotaQuestion {
    std::uint32_t number = 0; ///< Of the node's process.
    std::string workspace;
    double units = 0;
};

/** What the leader says to such a question. */
enum class QuotaVerdict : std::uint8_t {
    Granted,
    Refused,
    Unknown, ///< This node doesn't keep the account now.
};

/** The answer to a question. */
struct QuotaGrant {
    std::uint32_t number = 0;
    QuotaVerdict verdict = QuotaVerdict::Unknown;
    std::chrono::milliseconds wait { 0 }; ///< When refused: until the units are there.
};

/** One datagram between a node and the leader; one of the optional parts is set. */
struct FleetMessage {
    std::string sender;
    std::uint64_t session = 0; ///< Of the sender's process.
    std::uint32_t sequence = 0;
    std::optional<NodeReport> report;
    std::optional<FleetAnswer> answer;
    std::optional<QuotaQuestion> question;
    std::optional<QuotaGrant> grant;
};

/** Returns \a message as bytes. */
[[nodiscard]] auto encodeFleetMessage(const FleetMessage& message) -> std::string;

/** Returns the message in \a bytes, or nothing when it is not one. */
[[nodiscard]] auto decodeFleetMessage(std::string_view bytes) -> std::optional<FleetMessage>;

} // namespace Primrosefork
