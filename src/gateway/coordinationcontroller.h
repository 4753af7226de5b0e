#pragma once

#include "eventloop.h"
#include "fleetmessage.h"
#include "gatewayboard.h"
#include "gatewaysettings.h"
#include "keyvaluestore.h"
#include "peerkeyring.h"
#include "quarantinecontroller.h"
#include "quotacontroller.h"
#include "relaycontroller.h"
#include "rolloutcontroller.h"
#include "serverlimitcontroller.h"
#include "sharedloadcontroller.h"
#include "statesource.h"
#include "storeepochmonitor.h"
#include "streampartition.h"
#include "udpsocket.h"
#include "unconfirmedwindows.h"

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
    Address address; ///< Address from which the report was sent.
    NodeReport report;
    std::map<UsageWindow, UsageCounts> windows; ///< Counts of the last windows from all reports of the process.
    std::map<UsageWindow, UsageCounts> earlierWindows; ///< Counts of earlier processes of the node.
    EventLoop::TimePoint receivedAt; ///< Time at which the report arrived.
    std::uint64_t session = 0; ///< Random number that identifies the process of the node.
    std::uint64_t earlierSession = 0; ///< Session of the process before; 0 when there was none.
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

    CoordinationController(EventLoop&, KeyValueStore&, const GatewaySettings&, GatewayBoard&, QuotaController&, QuarantineController&, ServerLimitController&, SharedLoadController&, RolloutController&, RelayController&, StoreEpochMonitor&, Metrics&, const EventLog&, ReportSource);
    ~CoordinationController() override;

    auto begin() -> std::error_code;

    /** Returns the newest reports of all nodes; complete on the leader only. */
    [[nodiscard]] auto nodes() const -> const NodeRecords& { return this->nodeRecords; }

    /** Emitted with the revision of the configuration that the leader last read from the store, and a time that is not later than that read. */
    sigc::signal<void, StoreRevision, BootClock::time_point> configurationConfirmed;

    /** Emitted when the leader answered a report, with the revision of the newest change of the registry that it has seen, the time at which that was the newest, and the sender's term. */
    sigc::signal<void, StoreRevision, BootClock::time_point, std::uint64_t> leaderAnswered;

    /** Emitted before the leader answers a node's report, with the report and the answer, to which receivers add their parts. */
    sigc::signal<void, const NodeReport&, FleetAnswer&> answering;

    /** Emitted with each answer of the leader, also its answers to itself. */
    sigc::signal<void, const FleetAnswer&> answered;

    /** Emitted once with the records of all nodes in the store, and the time at which they were requested. */
    sigc::signal<void, const StoreListing&, BootClock::time_point> recordsRead;

    [[nodiscard]] auto stateName() const -> std::string override { return "coordination"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto fetchRecords() -> void;
    auto applyRecords(const StoreListing&) -> void;
    auto storeRestored() -> void;
    auto createKey() -> void;
    auto setKey(const std::string& secret) -> void;
    auto applyNodeCount(const StoreEntry&) -> void;
    auto recordNodeCount(std::size_t nodes) -> void;
    auto sendReport() -> void;
    auto datagramReceived(const Address& sender, std::span<const std::uint8_t> datagram) -> void;
    auto dispatch(const Address& sender, const FleetMessage&) -> void;
    auto storeReport(const Address& sender, const FleetMessage&) -> bool;
    auto applyAnswer(const FleetAnswer&) -> void;
    auto sendQuotaRequest(const QuotaRequest&) -> void;
    auto sumReports() -> void;
    auto updateObservers() -> void;
    auto applyObservers(const std::vector<Address>&) -> void;
    auto leadershipChanged(const Leadership&) -> void;
    auto partitionEngines() -> void;
    auto answerFor(const std::string& nodeId, std::uint32_t reportSequence) -> FleetAnswer;
    [[nodiscard]] auto countLiveNodes() const -> std::size_t;
    auto send(const Address&, FleetMessage) -> void;

    EventLoop& loop;
    KeyValueStore& store;
    const GatewaySettings& settings;
    GatewayBoard& board;
    QuotaController& quotas;
    QuarantineController& quarantines;
    ServerLimitController& limits;
    SharedLoadController& loads;
    RolloutController& rollouts;
    RelayController& relay;
    StoreEpochMonitor& epochs;
    Metrics& metrics;
    const EventLog& log;
    ReportSource reportSource;
    SectionWriter<FleetShare> share;
    SectionWriter<Observers> observers;
    UnconfirmedWindows unconfirmedWindows;
    UdpSocket socket;
    Timer recordTimer;
    Timer keyTimer;
    Timer reportTimer;
    int failedReads = 0; ///< Number of failed reads of the records.
    std::optional<PeerKeyring> keyring;
    std::string keySecret; ///< Secret of the key that the nodes share.
    bool hasReadRecords = false; ///< The records were read since the start.
    NodeRecords nodeRecords;
    std::size_t liveNodeCount = 0; ///< Number of nodes that report; updated on the leader with each report of its own.
    std::map<std::string, double> totalDemand; ///< Quota units requested from all nodes per second, by workspace; updated with liveNodeCount.
    std::map<std::string, StreamPartition> streamPartitions; ///< Partition of each service's engines, by service; used on the leader.
    std::uint64_t term = 0; ///< Term of the leader that this node reports to.
    EventLoop::TimePoint leadingSince; ///< Time at which this node became the leader.
    std::vector<StreamEngines> streamEngines; ///< Result of the last partition, which goes into the answers.
    std::uint64_t session; ///< Random number that identifies this process.
    std::uint32_t sequence; ///< Sequence number of the last message sent.
    std::map<std::uint32_t, BootClock::time_point> reportTimes; ///< Times at which the last reports were sent to the leader, by sequence number.
    std::size_t recordedNodeCount = 0; ///< Number of nodes in the store's record, as last read or written.
    StoreRevision nodeCountRevision = 0; ///< Revision of that record; 0 when there is none.
    std::size_t pendingNodeCount = 0; ///< Number of live nodes as of the last check; recorded once it has been stable.
    EventLoop::TimePoint pendingSince; ///< Time at which that number last changed.
    bool isRecording = false;
    std::shared_ptr<bool> isAlive;
};

} // namespace Primrosefork
