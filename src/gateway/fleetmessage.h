#pragma once

#include "address.h"
#include "keyvaluestore.h"
#include "loadanswer.h"
#include "overflowshare.h"
#include "promptevidence.h"
#include "quotaledger.h"
#include "rolloutreport.h"
#include "serverlimits.h"
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
    double requestsPerSecond = 0; ///< Requests of callers per second, whether they were served or refused for want of a server.
    double promptTokensPerSecond = 0; ///< Prompt tokens per second of the requests that were sent to engines, cached ones included; 0 when requests do not leave their zone.
};

/** A node's report to the leader. */
struct NodeReport {
    std::chrono::milliseconds upTime { 0 }; ///< Time since the node's process started.
    std::uint64_t term = 0; ///< Term of the leader that the node knows; the recent use in the report is complete for that leader.
    std::string zone; ///< Data centre of the node.
    double processorShare = 0; ///< Processor cores that the node may use.
    std::uint64_t settingsDigest = 0; ///< Digest of the settings that the node runs.
    std::uint64_t configurationRevision = 0; ///< Store revision of the configuration in force on the node; 0 when there is none.
    std::vector<WorkspaceReport> workspaces;
    std::vector<WindowReport> windows; ///< The windows whose counts the leader has not confirmed.
    std::vector<ServiceReport> services;
    std::vector<PromptEvidence> prompts; ///< Evidence of prompts that crash servers, by service.
    std::vector<LimitStatement> limits; ///< Limits that servers named or withdrew lately; all that are known for a new leader.
    std::uint64_t limitsDigest = 0; ///< Digest of all limits that the node knows.
    std::optional<std::vector<BackendLoad>> loads; ///< Load that the node puts on backend servers, the largest first; not set when it does not share its load.
    std::optional<std::vector<OverflowShare>> overflow; ///< Shares in force on the node; filled in for a new leader only.
    std::vector<RolloutReport> rollouts; ///< Roll-outs that the node knows of.
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
    std::uint64_t term = 0; ///< Term of the sender's leadership; 0 when it only coordinates because no leader is known.
    std::uint32_t reportSequence = 0; ///< Sequence number of the report that this answers; 0 in the leader's answer to itself.
    std::uint64_t configurationRevision = 0; ///< Newest revision of the configuration in the leader's last read of the store; 0 when unknown.
    std::chrono::milliseconds configurationAge { 0 }; ///< Time since that read was requested.
    std::uint64_t registryRevision = 0; ///< Revision of the newest change of the registry that the leader has seen.
    std::chrono::milliseconds registryAge { 0 }; ///< Time since that was confirmed to be the newest.
    std::vector<QuotaShare> shares; ///< Shares of the workspaces whose requests the node reported.
    double otherShare = 0; ///< Share of each other workspace's quota.
    std::vector<StreamEngines> streamEngines;
    std::vector<Address> observers; ///< Nodes that watch the store and relay its changes.
    std::vector<PromptVerdict> prompts; ///< Prompt parts in question and under quarantine, by service.
    std::vector<ServerPermits> permits; ///< Requests that the node may send to servers with a limit.
    bool hasLimits = false; ///< Whether the limits that the leader knows are listed, since the node knows others.
    bool hasAllLimits = false; ///< Whether the leader knows all limits; a new leader may not know them yet.
    std::vector<LimitStatement> limits;
    std::optional<std::vector<OverflowShare>> overflow; ///< Shares of the node's zone; not set while the leader does not know them.
    bool hasAllRollouts = false; ///< Whether all roll-outs are named; a new leader may not know them yet, and without bounds on the exposure there are none.
    std::vector<RolloutShare> rollouts;
    bool hasAllQuarantines = false; ///< Whether all parts under quarantine are named; a new leader may not know them yet.
    std::optional<LoadAnswer> load; ///< Load of all nodes; not set while the leader does not know it.
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

/** The prefixes of the store that observers relay. */
enum class RelayTopic : std::uint8_t {
    Configuration,
    Registry,
    Leader,
};

/** A node's request to an observer for the changes of the store after those that it knows. */
struct RelayRequest {
    std::uint32_t number = 0; ///< Number of the request, counted by the node's process.
    std::vector<StoreRevision> positions; ///< Revision up to which the node knows all changes, by topic.
    std::vector<std::uint64_t> digests; ///< Digest of the entries that the node knows, by topic.
};

/** Changes of one prefix in an observer's reply. */
struct RelayPart {
    RelayTopic topic = RelayTopic::Configuration;
    std::vector<StoreEntry> entries;
    StoreRevision upTo = 0; ///< Revision up to which the entries are complete.
    bool hasMore = false; ///< Whether the observer knows later changes that did not fit.
    std::chrono::milliseconds age { 0 }; ///< Time since the observer's knowledge was confirmed to be complete.
    std::optional<std::chrono::milliseconds> sinceRecovery; ///< Time since the store answered again after an outage, as far as the observer knows of one; 0 while the store is away for all nodes.
};

/** An observer's reply to a request for changes, or a part of it. */
struct RelayReply {
    std::uint32_t number = 0; ///< Number of the request.
    StoreRevision configurationRevision = 0; ///< Revision of the configuration that the observer applies; 0 when it has none.
    std::chrono::milliseconds configurationAge { 0 }; ///< Time since that was known to be the newest.
    bool isFollowing = false; ///< Whether the observer follows another one at present, because the store does not serve it.
    std::vector<RelayPart> parts; ///< Topics whose changes after the node's position the observer does not know are left out.
};

/** One datagram between two nodes; exactly one of the optional parts is set. */
struct FleetMessage {
    std::string sender;
    std::uint64_t session = 0; ///< Random number that identifies the sender's process.
    std::uint32_t sequence = 0; ///< Sequence number of the message, counted by the sender.
    std::optional<NodeReport> report;
    std::optional<FleetAnswer> answer;
    std::optional<QuotaRequest> quotaRequest;
    std::optional<QuotaReply> quotaReply;
    std::optional<RelayRequest> relayRequest;
    std::optional<RelayReply> relayReply;
};

/** Returns \a message serialised. */
[[nodiscard]] auto encodeFleetMessage(const FleetMessage& message) -> std::string;

/** Returns the message in \a bytes, or nothing when they are not a valid message. */
[[nodiscard]] auto decodeFleetMessage(std::string_view bytes) -> std::optional<FleetMessage>;

} // namespace Primrosefork
