#pragma once

#include "scriptedserver.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

namespace Primrosefork::Testkit {

/** How a server misbehaves. */
enum class ServerFault : std::uint8_t {
    None,
    Silent, ///< Requests run, and get no answer.
    AsksPause, ///< Requests are refused with a pause.
    SaysLeaving, ///< Answers say that the server leaves.
    RepeatsAnswers, ///< Each answer is sent a second time, later, on the same connection.
    CutsAnswers, ///< Answers end in the middle, streams in the middle of an event.
    SendsEndless, ///< Bytes that never become an answer.
    LosesAnswers, ///< Requests run, and the connection is closed.
};

/** Gets told what happens at a server. */
class ServerObserver {
public:
    virtual ~ServerObserver() = default;
    virtual auto requestArrived(const std::string& server, const std::string& request) -> void = 0;
    virtual auto requestRan(const std::string& server, const std::string& request) -> void = 0;

    /** The server will not answer \a request as it should. */
    virtual auto requestHarmed(const std::string& request) -> void = 0;
    virtual auto pauseAsked(const std::string& server, const std::string& request, std::chrono::milliseconds pause) -> void = 0;
    virtual auto leavingSaid(const std::string& server, const std::string& request) -> void = 0;
};

/**
 * A backend server that puts the request id into each answer, and number and
 * total into each event of a stream, and that misbehaves on demand.
 */
class FaultyServer {
public:
    static constexpr auto deadlyPart = "dead"; ///< Prompt part on which the server closes the connection.
    static constexpr std::chrono::milliseconds pause { 1'500 }; ///< Pause that the server asks for.

    FaultyServer(EventLoop&, Address, std::string id, ServerObserver&);

    auto setFault(ServerFault fault) -> void { this->fault = fault; }

    /** Lets the server run \a slots plain calls at once, or any number with 0. It refuses others, and writes a part of the refusals once more before the next answer on the connection. */
    auto setSlots(std::size_t slots) -> void { this->slots = slots; }

    /** Reports the requests that may still run as harmed, when something else than the server holds up its answers. */
    auto harmRecent() -> void;

    /** Closes all connections and stops listening, like a process that dies. */
    auto crash() -> void;
    auto start() -> void;

    [[nodiscard]] auto id() const -> const std::string& { return this->name; }
    [[nodiscard]] auto address() const -> const Address& { return this->listenAddress; }

    /** Returns the number of events of the stream that answers the request \a id. */
    [[nodiscard]] static auto eventCount(const std::string& id) -> int;

    /** Returns the body that answers the request \a id, of a stream or of a plain call. */
    [[nodiscard]] static auto expectedBody(const std::string& id, bool isStream) -> std::string;

private:
    auto answer(const std::string& request) -> ScriptedAnswer;

    /** Returns whether all slots are in use; takes one if not. */
    auto isFull(EventLoop::TimePoint now) -> bool;
    auto misbehave(const std::string& request, const std::string& id) -> ScriptedAnswer;

    EventLoop& loop;
    Address listenAddress;
    std::string name;
    ServerObserver& observer;
    ServerFault fault = ServerFault::None;
    std::size_t slots = 0; ///< 0 when there is no limit.
    std::deque<EventLoop::TimePoint> callEnds; ///< When the calls that hold a slot end.
    std::unique_ptr<ScriptedServer> server;
    std::deque<std::pair<std::string, EventLoop::TimePoint>> recent; ///< Requests that may still run, with their arrival.
};

} // namespace Primrosefork::Testkit
