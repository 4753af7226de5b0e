#include "crowdcaller.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace Primrosefork::IntakeTest {

namespace {

auto isTemporary(int error) -> bool
{
    return error == EAGAIN || error == EWOULDBLOCK || error == ENOTCONN || error == EINPROGRESS;
}

} // namespace

CrowdCaller::CrowdCaller(const Address& address, std::shared_ptr<const std::string> bytes)
    : descriptor(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    , bytes(std::move(bytes))
{
    sockaddr_in remote {};
    remote.sin_family = AF_INET;
    remote.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &remote.sin_addr);
    this->hasEnded = connect(this->descriptor, reinterpret_cast<const sockaddr*>(&remote), sizeof remote) != 0 && errno != EINPROGRESS;
}

CrowdCaller::~CrowdCaller()
{
    close(this->descriptor);
}

auto CrowdCaller::step(std::size_t most) -> std::size_t
{
    if (this->hasEnded)
        return 0;
    std::array<char, 4'096> answer; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by recv
    const auto received = recv(this->descriptor, answer.data(), answer.size(), 0);
    if (received == 0 || (received < 0 && !isTemporary(errno)))
        this->hasEnded = true;
    const auto count = std::min(most, this->bytes->size() - this->position);
    if (this->hasEnded || count == 0)
        return 0;
    const auto sent = send(this->descriptor, this->bytes->data() + this->position, count, MSG_NOSIGNAL);
    if (sent < 0) {
        this->hasEnded = !isTemporary(errno);
        return 0;
    }
    this->position += static_cast<std::size_t>(sent);
    return static_cast<std::size_t>(sent);
}

} // namespace Primrosefork::IntakeTest
