#pragma once

#include "quotaledger.h"
#include "usageledger.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Primrosefork {

/** The part of a node's report about one workspace. */
struct WorkspaceReport {
    std::string workspace;
    float requestedPerSecond = 0; ///< Quota units that callers requested per second.
    double locallyGrantedUnits = 0; ///< Quota units that the node granted without the leader since it started.
    RecentUse recentUse; ///< Recently granted units; filled in for a new leader only.
};

/** The requests that began on one node in one accounting window. */
struct WindowReport {
    UsageWindow window = 0;
    UsageCounts counts;
};

/** The part of a node's report about the load that it puts on one service. */
struct ServiceReport {
    std::string service;
    double readTokensPerSecond = 0; ///< Prompt tokens per second that engines had to read, as expected by the routing policy.
    double engineTokensPerSecond = 0; ///< Prompt tokens per second that one engine reads, as measured by this node; 0 when unknown.
    std::int64_t openRequests = 0; ///< Number of requests that were sent to servers and are not finished.
    std::int64_t waitingRequests = 0; ///< Number of requests that wait for a server.
    std::int64_t openStreams = 0; ///< Number of long streams among all requests of the service.
};

/** A node's report to the leader. */
struct NodeReport {
    std::chrono::milliseconds upTime { 0 }; ///< Time since the node's process started.
    std::vector<WorkspaceReport> workspaces;
    std::vector<WindowReport> windows;
    std::vector<ServiceReport> services;
};

/** The share of a workspace's quota that one node may grant without the leader. */
struct QuotaShare {
    std::string workspace;
    double share = 0; ///< Fraction of the quota, from 0 to 1.
};

/** The engines of a service that serve long streams. */
struct StreamEngines {
    std::string service;
    std::int64_t count = 0; ///< Number of these engines.
};

/** The leader's answer to a report. */
struct FleetAnswer {
    std::uint32_t nodes = 1; ///< Number of live nodes.
    std::uint32_t reportSequence = 0; ///< Sequence number of the report that this answers; 0 in the leader's answer to itself.
    std::uint64_t configurationRevision = 0; ///< Newest revision of the configuration in the leader's last read of the store; 0 when unknown.
    std::chrono::milliseconds configurationAge { 0 }; ///< Time since that read was requested.
    std::uint64_t registryRevision = 0; ///< Revision of the newest change of the registry that the leader has seen.
    std::vector<QuotaShare> shares;
    std::vector<StreamEngines> streamEngines;
};

/** A node's request to the leader for units of a workspace's quota. */
struct QuotaRequest {
    std::uint32_t number = 0; ///< Number of the request, counted by the node's process.
    std::string workspace;
    double units = 0;
};

/** The leader's decision on a request for quota units. */
enum class QuotaVerdict : std::uint8_t {
    Granted,
    Refused,
    NoAccount, ///< The node that was asked has no account of the workspace: it does not lead, or the account is not open.
};

/** The leader's reply to a request for quota units. */
struct QuotaReply {
    std::uint32_t number = 0; ///< Number of the request.
    QuotaVerdict verdict = QuotaVerdict::NoAccount;
    std::chrono::milliseconds wait { 0 }; ///< Time until the units are available; set when the request is refused.
};

/** One datagram between a node and the leader; exactly one of the optional parts is set. */
struct FleetMessage {
    std::string sender;
    std::uint64_t session = 0; ///< Random number that identifies the sender's process.
    std::uint32_t sequence = 0; ///< Sequence number of the message, counted by the sender.
    std::optional<NodeReport> report;
    std::optional<FleetAnswer> answer;
    std::optional<QuotaRequest> quotaRequest;
    std::optional<QuotaReply> quotaReply;
};

/** Returns \a message serialised. */
[[nodiscard]] auto encodeFleetMessage(const FleetMessage& message) -> std::string;

/** Returns the message in \a bytes, or nothing when they are not a valid message. */
[[nodiscard]] auto decodeFleetMessage(std::string_view bytes) -> std::optional<FleetMessage>;

} // namespace Primrosefork
