#pragma once

#include "eventloop.h"
#include "fleetmessage.h"
#include "gatewayboard.h"
#include "gatewaysettings.h"
#include "keyvaluestore.h"
#include "peerkeyring.h"
#include "quotacontroller.h"
#include "statesource.h"
#include "streampartition.h"
#include "udpsocket.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <sigc++/signal.h>
#include <string>
#include <system_error>

namespace Primrosefork {

class EventLog;
class Metrics;

/** The newest report that the leader has of one node. */
struct NodeRecord {
    NodeReport report;
    EventLoop::TimePoint receivedAt; ///< Time at which the report arrived.
    std::uint64_t session = 0; ///< Random number that identifies the process of the node.
    std::uint32_t sequence = 0; ///< Sequence number of the message with the report.
};

/** The newest reports of all nodes, by node id. */
using NodeRecords = std::map<std::string, NodeRecord>;

/**
 * Sends this node's reports to the leader and answers the reports of the other
 * nodes while this node leads, by datagrams that are authenticated with a key
 * which the nodes share through the store.
 */
class CoordinationController : public StateSource {
public:
    using ReportSource = std::function<NodeReport()>;

    CoordinationController(EventLoop&, KeyValueStore&, const GatewaySettings&, GatewayBoard&, QuotaController&, Metrics&, const EventLog&, ReportSource);
    ~CoordinationController() override;

    auto begin() -> std::error_code;

    /** Returns the newest reports of all nodes; complete on the leader only. */
    [[nodiscard]] auto nodes() const -> const NodeRecords& { return this->nodeRecords; }

    /** Emitted with the revision of the configuration that the leader last read from the store, and a time that is not later than that read. */
    sigc::signal<void, StoreRevision, BootClock::time_point> configurationConfirmed;

    /** Emitted when the leader answered a report, with the revision of the newest change of the registry that it has seen. */
    sigc::signal<void, StoreRevision> leaderAnswered;

    [[nodiscard]] auto stateName() const -> std::string override { return "coordination"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto fetchKey() -> void;
    auto createKey() -> void;
    auto setKey(const std::string& secret) -> void;
    auto fetchNodeCount() -> void;
    auto recordNodeCount(std::size_t nodes) -> void;
    auto sendReport() -> void;
    auto datagramReceived(const Address& sender, std::span<const std::uint8_t> datagram) -> void;
    auto storeReport(const FleetMessage&) -> bool;
    auto applyAnswer(const FleetAnswer&) -> void;
    auto sendQuotaRequest(const QuotaRequest&) -> void;
    auto sumReports() -> void;
    auto partitionEngines() -> void;
    [[nodiscard]] auto answerFor(const std::string& nodeId, std::uint32_t reportSequence) const -> FleetAnswer;
    [[nodiscard]] auto countLiveNodes() const -> std::size_t;
    auto send(const Address&, FleetMessage) -> void;

    EventLoop& loop;
    KeyValueStore& store;
    const GatewaySettings& settings;
    GatewayBoard& board;
    QuotaController& quotas;
    Metrics& metrics;
    const EventLog& log;
    ReportSource reportSource;
    SectionWriter<FleetShare> share;
    UdpSocket socket;
    Timer keyTimer;
    Timer countTimer;
    Timer reportTimer;
    std::optional<PeerKeyring> keyring;
    NodeRecords nodeRecords;
    std::size_t liveNodeCount = 0; ///< Number of nodes that report; updated on the leader with each report of its own.
    std::map<std::string, double> totalDemand; ///< Quota units requested from all nodes per second, by workspace; updated with liveNodeCount.
    std::map<std::string, StreamPartition> streamPartitions; ///< Partition of each service's engines, by service; used on the leader.
    std::vector<StreamEngines> streamEngines; ///< Result of the last partition, which goes into the answers.
    std::uint64_t session; ///< Random number that identifies this process.
    std::uint32_t sequence; ///< Sequence number of the last message sent.
    std::uint32_t lastReportSequence = 0; ///< Sequence number of the last report sent to the leader; 0 before the first one.
    BootClock::time_point lastReportTime; ///< Time at which that report was sent.
    std::size_t recordedNodeCount = 0; ///< Number of nodes in the store's record, as last read or written.
    StoreRevision nodeCountRevision = 0; ///< Revision of that record; 0 when there is none.
    std::size_t pendingNodeCount = 0; ///< Number of live nodes as of the last check; recorded once it has been stable.
    EventLoop::TimePoint pendingSince; ///< Time at which that number last changed.
    bool isRecording = false;
    std::shared_ptr<bool> isAlive;
};

} // namespace Primrosefork
