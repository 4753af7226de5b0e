#pragma once

#include "execution.h"
#include "httpmessage.h"

#include <string>

namespace Primrosefork {

/**
 * The reason why a caller's request is not answered, and whether it was run, as
 * far as known.
 */
struct Refusal {
    int status = HttpStatus::internalError;
    std::string code; ///< One of the error codes listed in docs/CALLERS.md.
    Execution execution = Execution::NotRun;
    std::string message; ///< Explanation for the caller.
};

/** Returns the response for \a refusal, in the format described in docs/CALLERS.md. */
[[nodiscard]] auto toResponse(const Refusal& refusal) -> HttpResponse;

} // namespace Primrosefork
