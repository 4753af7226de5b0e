#include "forwardrequest.h"

#include <algorithm>

namespace Primrosefork {

namespace {

constexpr std::int64_t lowestPriority = 9;
constexpr std::int64_t routePriorities = 3; ///< Number of route priorities within each workspace priority.

} // namespace

auto ForwardRequest::priority() const -> std::int64_t
{
    const auto routePriority = std::min(this->route->priority, routePriorities - 1);
    const auto workspacePriority = this->workspace ? this->workspace->priority.value_or(0) : 0;
    return std::min(lowestPriority, workspacePriority * routePriorities + routePriority);
}

auto ForwardRequest::routingRequest() const -> RoutingRequest
{
    RoutingRequest request;
    request.id = this->id;
    request.promptTokens = this->fields.promptTokens;
    request.expectedTokens = this->fields.outputTokens;
    request.promptParts = this->fields.promptParts;
    return request;
}

} // namespace Primrosefork
