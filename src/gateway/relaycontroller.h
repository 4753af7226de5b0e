#pragma once

#include "eventloop.h"
#include "fleetmessage.h"
#include "gatewayboard.h"
#include "gatewaysettings.h"
#include "statesource.h"
#include "storewatcher.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <sigc++/signal.h>
#include <string>
#include <vector>

namespace Primrosefork {

class EventLog;
class Metrics;

/**
 * Relays the changes of the store between nodes, so that calls to the store do
 * not grow with their number.
 *
 * An observer watches the store and replies to the requests of other nodes. A
 * node that is no observer requests the changes from one of them several times a
 * second, and turns to another one when it does not reply or its knowledge is old.
 * So does an observer whose own calls bring nothing, until the store serves it
 * again; knowledge keeps its age on the way, so that two observers which follow each
 * other notice that it grows old.
 */
class RelayController : public StateSource {
public:
    /** The watchers of the relayed prefixes, in the order of RelayTopic. */
    using Watchers = std::array<StoreWatcher*, 3>;

    RelayController(EventLoop&, const GatewaySettings&, GatewayBoard&, Watchers, Metrics&, const EventLog&);

    auto begin() -> void;

    /** Returns the replies to a request that another node sent to this one; each fits into one datagram. */
    [[nodiscard]] auto replyTo(const RelayRequest&) const -> std::vector<RelayReply>;

    /** Applies an observer's reply to a request of this node. */
    auto applyReply(const RelayReply&) -> void;

    /** Returns the watcher of the prefix \a topic. */
    [[nodiscard]] auto watcher(RelayTopic topic) const -> const StoreWatcher& { return *this->watchers.at(static_cast<std::size_t>(topic)); }

    /** Emitted with a request and the address of the observer that it is to be sent to. */
    sigc::signal<void, const Address&, const RelayRequest&> requestIssued;

    /** Emitted with the revision of the configuration that an observer applies, and a time that is not later than that at which it was the newest. */
    sigc::signal<void, StoreRevision, BootClock::time_point> configurationConfirmed;

    [[nodiscard]] auto stateName() const -> std::string override { return "relay"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto tick() -> void;
    auto sendRequest() -> void;
    auto roleChanged(bool present) -> void;
    auto updateExpectation() -> void;
    auto selectNextObserver() -> void;
    [[nodiscard]] auto isFollowing(BootClock::time_point now) const -> bool;
    [[nodiscard]] auto isBehind(BootClock::time_point now) const -> bool;
    [[nodiscard]] auto partOf(RelayTopic, StoreRevision position, std::uint64_t digest, BootClock::time_point now) const -> std::optional<RelayPart>;
    auto applyPart(const RelayPart&, BootClock::time_point sentAt) -> bool;

    const GatewaySettings& settings;
    GatewayBoard& board;
    Watchers watchers;
    Metrics& metrics;
    const EventLog& log;
    Timer timer;
    std::vector<Address> preferred; ///< The observers, other than this node, in the order of preference.
    std::size_t selected = 0; ///< Index of the observer in use.
    bool isObserver = true; ///< Role as of the last tick.
    bool expectsRelay = false; ///< Whether observers relay the store's changes to this node, or are expected to do so soon.
    bool isReplyPending = false; ///< Whether the last request has not been replied to.
    std::uint32_t number = 0; ///< Number of the last request.
    BootClock::time_point lastRequest; ///< Time at which it was sent.
    std::map<std::uint32_t, BootClock::time_point> sentAt; ///< Times at which the last requests were sent, by number.
};

} // namespace Primrosefork
