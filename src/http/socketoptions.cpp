#include "socketoptions.h"

#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::chrono::seconds probeIdle = 1s; ///< Without a byte before the first probe.
constexpr std::chrono::seconds probeInterval = 1s;
constexpr int probeCount = 2; ///< Unanswered ones that end the connection.
constexpr std::chrono::milliseconds unacknowledged = 3s; ///< For bytes sent; a loss is sent again several times before.

auto setOption(int socket, int level, int option, int value) -> void
{
    // An option that can't be set leaves the caller's own timeouts.
    static_cast<void>(setsockopt(socket, level, option, &value, sizeof value));
}

} // namespace

auto detectSilence(int socket) -> void
{
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(probeIdle.count()));
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(probeInterval.count()));
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, probeCount);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(unacknowledged.count()));
}

auto sendWithoutDelay(int socket) -> void
{
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
}

} // namespace Primrosefork
