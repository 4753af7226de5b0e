#pragma once

#include "address.h"

#include <string>
#include <string_view>

namespace Primrosefork::Testkit {

/**
 * A TCP connection that sends exactly the given bytes, for tests of malformed
 * requests and other misbehaviour of clients.
 */
class RawConnection {
public:
    explicit RawConnection(const Address&);
    ~RawConnection();
    RawConnection(const RawConnection&) = delete;
    auto operator=(const RawConnection&) -> RawConnection& = delete;

    /** Sends all of \a bytes unless the connection fails; blocks while the socket buffer is full. */
    auto send(std::string_view bytes) -> void;

    /** Reads the bytes that have arrived without blocking; call it repeatedly. */
    auto poll() -> void;

    /** Closes the connection with a TCP reset. */
    auto reset() -> void;

    /** Returns all bytes that were read. */
    [[nodiscard]] auto received() const -> const std::string& { return this->data; }

    /** Returns whether the connection could not be opened or was closed by either side. */
    [[nodiscard]] auto isEnded() const -> bool { return this->hasEnded; }

private:
    int descriptor;
    std::string data;
    bool hasEnded = false;
};

} // namespace Primrosefork::Testkit
