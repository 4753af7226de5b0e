#pragma once

#include "execution.h"
#include "httpmessage.h"

#include <string>

namespace Primrosefork {

/**
 * Why a caller's request is not answered, and what is known of its execution.
 */
struct Refusal {
    int status = HttpStatus::internalError;
    std::string code; ///< One of docs/CALLERS.md.
    Execution execution = Execution::NotRun;
    std::string message;
};

/** Returns \a refusal as the response that docs/CALLERS.md describes. */
[[nodiscard]] auto toResponse(const Refusal& refusal) -> HttpResponse;

} // namespace Primrosefork
