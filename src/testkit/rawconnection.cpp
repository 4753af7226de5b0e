#include "rawconnection.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

namespace Primrosefork::Testkit {

RawConnection::RawConnection(const Address& address)
    : descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &name.sin_addr);
    this->hasEnded = connect(this->descriptor, reinterpret_cast<const sockaddr*>(&name), sizeof name) != 0;
}

RawConnection::~RawConnection()
{
    if (this->descriptor >= 0)
        close(this->descriptor);
}

auto RawConnection::send(std::string_view bytes) -> void
{
    while (!bytes.empty()) {
        const auto sent = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
}

auto RawConnection::poll() -> void
{
    std::array<char, 65'536> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by recv
    while (!this->hasEnded) {
        const auto size = recv(this->descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (size > 0) {
            this->data.append(buffer.data(), static_cast<std::size_t>(size));
            continue;
        }
        this->hasEnded = size == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
        return;
    }
}

auto RawConnection::reset() -> void
{
    const linger immediately { 1, 0 };
    setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
    close(this->descriptor);
    this->descriptor = -1;
    this->hasEnded = true;
}

} // namespace Primrosefork::Testkit
