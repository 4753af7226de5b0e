#pragma once

#include "address.h"
#include "eventloop.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

struct bufferevent;
struct evconnlistener;

namespace Primrosefork::Testkit {

/** What a scripted server does after a request. */
struct ScriptedAnswer {
    std::string bytes; ///< Written as they stand.
    bool closes = false;
};

/**
 * A backend server that answers each request with the bytes of a script, also
 * with such as no sound server would send.
 */
class ScriptedServer {
public:
    using Script = std::function<ScriptedAnswer(const std::string& request)>;

    ScriptedServer(EventLoop&, const Address&, Script);
    ~ScriptedServer();
    ScriptedServer(const ScriptedServer&) = delete;
    auto operator=(const ScriptedServer&) -> ScriptedServer& = delete;

    /** Closes all connections, as a server that ends does. */
    auto closeAll() -> void;

    /** Every request that came, head and body. */
    std::vector<std::string> requests;

    /** How many connections were closed by the other side. */
    int closedByPeer = 0;

private:
    auto accepted(int socket) -> void;
    auto readable(bufferevent*) -> void;

    EventLoop& loop;
    Script script;
    evconnlistener* listener;
    std::map<bufferevent*, std::string> inputs;
};

/** Returns the value of the header \a name of \a message, or an empty text. */
[[nodiscard]] auto headerOf(const std::string& message, const std::string& name) -> std::string;

} // namespace Primrosefork::Testkit
