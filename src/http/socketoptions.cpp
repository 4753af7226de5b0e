#include "socketoptions.h"

#include <chrono>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::chrono::seconds probeIdleTime = 1s; ///< Idle time before the first keep-alive probe.
constexpr std::chrono::seconds probeInterval = 1s; ///< Time between two keep-alive probes.
constexpr int maxUnansweredProbes = 2; ///< Number of unanswered probes that end the connection.
constexpr std::chrono::milliseconds unacknowledgedTimeout = 3s; ///< Longest time that sent bytes stay unacknowledged; enough for several retransmissions of a lost packet.

auto setOption(int socket, int level, int option, int value) -> void
{
    // A failure is ignored, because the caller's own timeouts still apply.
    static_cast<void>(setsockopt(socket, level, option, &value, sizeof value));
}

} // namespace

auto enableDeadPeerDetection(int socket) -> void
{
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(probeIdleTime.count()));
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(probeInterval.count()));
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, maxUnansweredProbes);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(unacknowledgedTimeout.count()));
}

auto disableNagle(int socket) -> void
{
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
}

} // namespace Primrosefork
