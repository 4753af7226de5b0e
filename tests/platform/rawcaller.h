#pragma once

#include "address.h"
#include "eventloop.h"

#include <string>

struct bufferevent;

namespace Primrosefork::Testkit {

/**
 * A client connection that sends raw bytes, also such as are no valid HTTP, and
 * records the bytes that it receives.
 */
class RawCaller {
public:
    RawCaller(EventLoop&, const Address&);
    ~RawCaller();
    RawCaller(const RawCaller&) = delete;
    auto operator=(const RawCaller&) -> RawCaller& = delete;

    auto send(const std::string& bytes) -> void;

    /** Closes the connection from the caller's side. */
    auto close() -> void;

    std::string received; ///< All bytes received so far.
    bool isClosed = false; ///< Whether the other side closed the connection.

private:
    bufferevent* stream;
};

} // namespace Primrosefork::Testkit
