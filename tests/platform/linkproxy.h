#pragma once

#include "address.h"
#include "eventloop.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

struct bufferevent;
struct evconnlistener;

namespace Primrosefork::Testkit {

/** What a link does to the bytes that it transmits. */
enum class LinkFault : std::uint8_t {
    None,
    Delays, ///< All bytes arrive later.
    HoldsRequests, ///< Bytes to the server arrive when the fault ends.
    HoldsAnswers, ///< Bytes from the server arrive when the fault ends.
};

/**
 * A network link to a server, with faults that neither side causes: a listener
 * that passes bytes on between its own connections and connections to the server.
 */
class LinkProxy {
public:
    static constexpr std::chrono::milliseconds delay { 150 }; ///< One way, while the link delays.

    LinkProxy(EventLoop&, Address listen, Address server);
    ~LinkProxy();
    LinkProxy(const LinkProxy&) = delete;
    auto operator=(const LinkProxy&) -> LinkProxy& = delete;

    auto setFault(LinkFault) -> void;

    /** Resets all connections and refuses new ones, like the host of a process that died. */
    auto stop() -> void;
    auto start() -> void;

    /** Resets all connections; new ones are accepted. */
    auto reset() -> void;

    [[nodiscard]] auto address() const -> const Address& { return this->listenAddress; }

    std::function<void(const std::string& bytes)> requestHarmed; ///< Called for bytes to the server that a fault holds up.

private:
    /** One way of a connection. */
    struct Way {
        struct Piece {
            EventLoop::TimePoint due;
            std::string bytes;
        };

        bufferevent* from = nullptr;
        bufferevent* to = nullptr;
        std::deque<Piece> pieces;
        bool hasEnded = false; ///< Whether the sender has closed its side.
        bool isToServer = false;
    };

    struct Connection {
        Way request;
        Way answer;
    };

    auto accepted(int socket) -> void;
    auto readable(bufferevent*) -> void;
    auto ended(bufferevent*) -> void;
    auto deliver() -> void;
    [[nodiscard]] auto isHeld(const Way&) const -> bool;
    [[nodiscard]] auto wayFrom(const bufferevent*) -> Way*;
    auto close(Connection&) -> void;

    EventLoop& loop;
    Address listenAddress;
    Address server;
    evconnlistener* listener = nullptr;
    LinkFault fault = LinkFault::None;
    std::vector<std::unique_ptr<Connection>> connections;
    Timer timer;
};

} // namespace Primrosefork::Testkit
