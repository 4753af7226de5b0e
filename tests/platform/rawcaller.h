#pragma once

#include "address.h"
#include "eventloop.h"

#include <string>

struct bufferevent;

namespace Primrosefork::Testkit {

/**
 * A connection that sends bytes as they stand and keeps what comes back.
 */
class RawCaller {
public:
    RawCaller(EventLoop&, const Address&);
    ~RawCaller();
    RawCaller(const RawCaller&) = delete;
    auto operator=(const RawCaller&) -> RawCaller& = delete;

    auto send(const std::string& bytes) -> void;

    /** Closes the connection from this side. */
    auto close() -> void;

    std::string received;
    bool isClosed = false; ///< By the other side.

private:
    bufferevent* stream;
};

} // namespace Primrosefork::Testkit
