#pragma once

#include "address.h"
#include "eventloop.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct bufferevent;
struct evconnlistener;

namespace Primrosefork::Testkit {

/** Bytes that a scripted server sends some time after a request. */
struct LaterBytes {
    std::chrono::milliseconds delay { 0 }; ///< Time since the piece before it, or since the request.
    std::string bytes;
};

/** What a scripted server does after a request. */
struct ScriptedAnswer {
    std::string bytes; ///< Raw bytes of the answer, sent unchanged.
    bool closes = false; ///< Whether the server closes the connection after the answer.
    bool resets = false; ///< Whether the connection is reset when the server closes it.
    std::string repeated = {}; ///< Bytes that the server sends again and again after the answer, as fast as they are taken, until the connection is closed.
    std::vector<LaterBytes> later = {}; ///< Sent after the answer, one after the other, while the connection is open.
    std::chrono::milliseconds closeDelay { 0 }; ///< Time between the answer and the end of the connection.
    std::string beforeNext = {}; ///< Sent right before the answer to the next request on the connection, like a late copy of this one.
    bool readsOn = false; ///< Whether a server that closes only ends its own side, and goes on reading.
};

/**
 * A backend server that answers each request with the bytes that a script
 * returns, which need not be a valid HTTP answer.
 */
class ScriptedServer {
public:
    using Script = std::function<ScriptedAnswer(const std::string& request)>;

    ScriptedServer(EventLoop&, const Address&, Script);
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer&) = delete;
    auto operator=(const ScriptedServer&) -> ScriptedServer& = delete;

    /** Closes all connections, like a server process that exits. */
    auto closeAll() -> void;

    /** Sends \a bytes on all connections, like a stream that goes on. */
    auto sendToAll(const std::string& bytes) -> void;

    /** Sends \a bytes on the connections whose last request begins with \a start. */
    auto sendTo(const std::string& start, const std::string& bytes) -> void;

    /** Closes the connections whose last request begins with \a start, after what was sent on them. */
    auto closeConnectionsOf(const std::string& start) -> void;

    /** All requests received so far, with head and body. */
    std::vector<std::string> requests;

    /** Whether a request is answered as soon as its head was received. Its connection serves no further one, and its body is read only if the connection stays open. */
    bool answersHeads = false;

    /** Number of connections that the other side closed. */
    int closedByPeer = 0;

    /** Number of bytes that the sockets of all connections have taken. */
    std::size_t sentBytes = 0;

private:
    struct Connection {
        std::string input; ///< Received bytes of incomplete requests.
        std::string lastRequest;
        std::string repeated; ///< Bytes that are sent again and again.
        std::string beforeNext; ///< Bytes that are sent before the next answer.
        std::deque<LaterBytes> later;
        std::unique_ptr<Timer> timer;
        std::chrono::milliseconds closeDelay { 0 };
        bool readsOn = false;
    };

    auto accepted(int socket) -> void;
    [[nodiscard]] auto connectionsOf(const std::string& start) const -> std::vector<bufferevent*>;
    auto readable(bufferevent*) -> void;
    auto written(bufferevent*) -> void;
    auto answer(bufferevent*, const ScriptedAnswer&) -> void;
    auto sendLater(bufferevent*) -> void;
    auto closeAfterOutput(bufferevent*) -> void;
    auto outputSent(bufferevent*) -> void;
    auto endOutput(bufferevent*) -> void;
    auto closedByCaller(bufferevent*) -> void;
    auto close(bufferevent*) -> void;

    EventLoop& loop;
    Script script;
    evconnlistener* listener;
    std::map<bufferevent*, Connection> connections;
};

/** Returns the value of the header \a name in \a message, or an empty text when it is missing. */
[[nodiscard]] auto headerOf(const std::string& message, const std::string& name) -> std::string;

} // namespace Primrosefork::Testkit
