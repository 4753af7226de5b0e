#pragma once

#include "bodyadmission.h"
#include "intakesettings.h"

#include <cstddef>
#include <cstdint>
#include <limits>

namespace Primrosefork {

/** What all connections of callers share about the requests that they take in. */
struct Intake {
    /** \a budget is the limit of all buffers, in bytes. */
    Intake(const IntakeSettings& settings, std::size_t budget)
        : settings(settings)
        , bodies(budget)
    {
    }

    IntakeSettings settings;
    BodyAdmission bodies;
    std::size_t descriptorLimit = std::numeric_limits<std::size_t>::max(); ///< Number of open descriptors at which connections are closed for new ones.
    std::size_t otherDescriptors = 0; ///< Number of open descriptors that are no connections of callers, as counted last.
    std::uint64_t refusedBodies = 0; ///< Requests refused because admitted bodies fill their part of the budget.
    std::uint64_t slowBodies = 0; ///< Requests refused because their bodies arrived too slowly.
    std::uint64_t closedConnections = 0; ///< Connections closed to free descriptors for new ones.
};

} // namespace Primrosefork
