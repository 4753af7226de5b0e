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

/** What the leader knows of one node. */
struct KnownNode {
    NodeReport report;
    EventLoop::TimePoint heard;
    std::uint64_t session = 0;
    std::uint32_t sequence = 0;
};

/** What the leader knows of all nodes, by their ids. */
using KnownNodes = std::map<std::string, KnownNode>;

/**
 * Carries the nodes' reports to the leader and its answers back, by datagrams
 * that are authenticated with a key which the nodes keep in the store.
 */
class CoordinationController : public StateSource {
public:
    using ReportSource = std::function<NodeReport()>;

    CoordinationController(EventLoop&, KeyValueStore&, const GatewaySettings&, GatewayBoard&, QuotaController&, Metrics&, const EventLog&, ReportSource);
    ~CoordinationController() override;

    auto begin() -> std::error_code;

    /** Returns what is known of the nodes; of use on the leader. */
    [[nodiscard]] auto nodes() const -> const KnownNodes& { return this->known; }

    /** Emitted when the leader read the store at a moment and found this revision of the configuration. */
    sigc::signal<void, StoreRevision, BootClock::time_point> configurationConfirmed;

    /** Emitted when the leader answered, with the revision of the newest change of the registry that it has seen. */
    sigc::signal<void, StoreRevision> leaderAnswered;

    [[nodiscard]] auto stateName() const -> std::string override { return "coordination"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto fetchKey() -> void;
    auto createKey() -> void;
    auto setKey(const std::string& secret) -> void;
    auto fetchNodeCount() -> void;
    auto recordNodeCount(std::size_t nodes) -> void;
    auto report() -> void;
    auto received(const Address& sender, std::span<const std::uint8_t> datagram) -> void;
    auto takeReport(const FleetMessage&) -> bool;
    auto takeAnswer(const FleetAnswer&) -> void;
    auto ask(const QuotaQuestion&) -> void;
    auto sumReports() -> void;
    auto divideEngines() -> void;
    [[nodiscard]] auto answerFor(const std::string& nodeId, std::uint32_t reportSequence) const -> FleetAnswer;
    [[nodiscard]] auto liveNodes() const -> std::size_t;
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
    KnownNodes known;
    std::size_t heardNodes = 0; ///< On the leader, as of its last own report.
    std::map<std::string, double> totals; ///< Asked a second of all nodes, by workspace; as of the same.
    std::map<std::string, StreamPartition> partitions; ///< On the leader, by service.
    std::vector<StreamEngines> streamEngines;
    std::uint64_t session;
    std::uint32_t sequence;
    std::uint32_t lastReport = 0; ///< Its sequence, and when it was sent.
    BootClock::time_point lastReportSent;
    std::size_t recordedNodes = 0; ///< As the store has it.
    StoreRevision nodesRevision = 0;
    std::size_t changedNodes = 0; ///< Another number, and since when it was seen.
    EventLoop::TimePoint changedSince;
    bool isRecording = false;
    std::shared_ptr<bool> isAlive;
};

} // namespace Primrosefork
