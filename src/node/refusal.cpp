#include "refusal.h"

#include <nlohmann/json.hpp>

namespace Primrosefork {

auto toResponse(const Refusal& refusal) -> HttpResponse
{
    const nlohmann::json body { { "error", refusal.code }, { "execution", nameOf(refusal.execution) }, { "message", refusal.message } };
    HttpResponse response { refusal.status, { { "Content-Type", "application/json" } }, body.dump() + "\n" };
    if (refusal.status == HttpStatus::unavailable || refusal.status == HttpStatus::tooManyRequests)
        response.headers.add("Retry-After", "1");
    return response;
}

} // namespace Primrosefork
