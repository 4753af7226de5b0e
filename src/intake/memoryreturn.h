#pragma once

#include <chrono>
#include <cstddef>

namespace Primrosefork {

/**
 * Decides when freed memory is returned to the system: after the buffers have
 * shrunk by a minimum, at most once a second, as it takes processor time.
 */
class MemoryReturn {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /** \a minimum is the number of bytes by which the buffers have to shrink. */
    explicit MemoryReturn(std::size_t minimum)
        : minimum(minimum)
    {
    }

    /** Returns whether memory is to be returned \a now, with \a buffered bytes and the largest number \a peak since the last call. */
    auto isDue(std::size_t buffered, std::size_t peak, TimePoint now) -> bool;

private:
    std::size_t minimum;
    std::size_t highest = 0; ///< Largest number of buffered bytes since memory was returned.
    TimePoint last;
};

} // namespace Primrosefork
