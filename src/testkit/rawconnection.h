#pragma once

#include "address.h"

#include <string>
#include <string_view>

namespace Primrosefork::Testkit {

/**
 * A TCP connection that sends exactly the bytes it is told to, for tests of
 * what a well-behaved client never does.
 */
class RawConnection {
public:
    explicit RawConnection(const Address&);
    ~RawConnection();
    RawConnection(const RawConnection&) = delete;
    auto operator=(const RawConnection&) -> RawConnection& = delete;

    auto send(std::string_view bytes) -> void;

    /** Takes what has arrived; to be called again and again. */
    auto poll() -> void;

    /** Closes the connection with a reset in place of an orderly end. */
    auto reset() -> void;

    [[nodiscard]] auto received() const -> const std::string& { return this->data; }

    /** Returns whether the other side has ended the connection. */
    [[nodiscard]] auto isEnded() const -> bool { return this->hasEnded; }

private:
    int descriptor;
    std::string data;
    bool hasEnded = false;
};

} // namespace Primrosefork::Testkit
