#pragma once

#include <cstddef>

namespace Primrosefork {

/** The cost of requests that wait for admission. */
struct AdmissionCost {
    double microseconds = 0; ///< For one request to be added and one to be taken, the median of several repeats.
    double bytes = 0; ///< Memory of one waiting request in the queue, without its body.
};

/** Returns the cost while \a waiting requests of 200 workspaces wait. */
[[nodiscard]] auto measureAdmission(std::size_t waiting) -> AdmissionCost;

} // namespace Primrosefork
