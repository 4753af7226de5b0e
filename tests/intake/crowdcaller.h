#pragma once

#include "address.h"

#include <cstddef>
#include <memory>
#include <string>

namespace Primrosefork::IntakeTest {

/**
 * One of many callers that send the same bytes; it keeps no copy of them and
 * ignores the answer.
 */
class CrowdCaller {
public:
    /** Connects to \a address, without waiting, to send \a bytes. */
    CrowdCaller(const Address& address, std::shared_ptr<const std::string> bytes);
    ~CrowdCaller();
    CrowdCaller(const CrowdCaller&) = delete;
    auto operator=(const CrowdCaller&) -> CrowdCaller& = delete;

    /** Sends up to \a most bytes and drops what was received; returns the number of bytes that the socket took. */
    auto step(std::size_t most) -> std::size_t;

    /** Returns whether the other side has closed the connection. */
    [[nodiscard]] auto isEnded() const -> bool { return this->hasEnded; }

private:
    int descriptor;
    std::shared_ptr<const std::string> bytes;
    std::size_t position = 0; ///< Number of bytes that were sent.
    bool hasEnded = false;
};

} // namespace Primrosefork::IntakeTest
