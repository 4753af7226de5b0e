#pragma once

#include "intakesettings.h"

#include <chrono>
#include <cstddef>

namespace Primrosefork {

/**
 * Returns the time that is left for the next bytes of a body of which \a bytes
 * have arrived \a age after its headers; zero or less when the body is too slow.
 *
 * A body may pause at any point within \a grace, and has the time beyond it that
 * its bytes take at the least rate.
 */
[[nodiscard]] auto bodyTimeLeft(const IntakeSettings& settings, std::chrono::milliseconds grace, std::size_t bytes, std::chrono::milliseconds age) -> std::chrono::milliseconds;

} // namespace Primrosefork
