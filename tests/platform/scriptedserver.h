#pragma once

#include "address.h"
#include "eventloop.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

struct bufferevent;
struct evconnlistener;

namespace Primrosefork::Testkit {

/** What a scripted server does after a request. */
struct ScriptedAnswer {
    std::string bytes; ///< Raw bytes of the answer, sent unchanged.
    bool closes = false; ///< Whether the server closes the connection after the answer.
    bool resets = false; ///< Whether the connection is reset when the server closes it.
    std::string repeated = {}; ///< Bytes that the server sends again and again after the answer, as fast as they are taken, until the connection is closed.
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

    /** All requests received so far, with head and body. */
    std::vector<std::string> requests;

    /** Number of connections that the other side closed. */
    int closedByPeer = 0;

    /** Number of bytes that the sockets of all connections have taken. */
    std::size_t sentBytes = 0;

private:
    auto accepted(int socket) -> void;
    auto readable(bufferevent*) -> void;
    auto written(bufferevent*) -> void;

    EventLoop& loop;
    Script script;
    evconnlistener* listener;
    std::map<bufferevent*, std::string> inputs; ///< Received bytes of incomplete requests, by connection.
    std::map<bufferevent*, std::string> endless; ///< Bytes that are sent again and again, by connection.
};

/** Returns the value of the header \a name in \a message, or an empty text when it is missing. */
[[nodiscard]] auto headerOf(const std::string& message, const std::string& name) -> std::string;

} // namespace Primrosefork::Testkit
