#pragma once

#include "intakesettings.h"

#include <cstddef>

namespace Primrosefork {

/**
 * Returns the number of open descriptors at which connections of callers are
 * closed for new ones: that of the settings, or else three quarters of
 * \a processLimit, so that servers, the store and files have the rest.
 */
[[nodiscard]] auto callerDescriptorLimit(const IntakeSettings& settings, std::size_t processLimit) -> std::size_t;

/** Returns the number of descriptors that this process has open; 0 if it is not known. */
[[nodiscard]] auto openDescriptorCount() -> std::size_t;

/** Returns the number of descriptors that this process may open. */
[[nodiscard]] auto processDescriptorLimit() -> std::size_t;

} // namespace Primrosefork
