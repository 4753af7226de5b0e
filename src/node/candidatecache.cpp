#include "candidatecache.h"

#include "candidates.h"

#include <sigc++/adaptors/hide.h>
#include <sigc++/functors/mem_fun.h>

namespace Primrosefork {

namespace {

constexpr char separator = '\n'; ///< Stands in no name.

auto keyOf(const ServiceRecord& service, RouteKind kind) -> std::string
{
    const auto& parameters = service.parameters;
    std::string key = kind == RouteKind::Plain ? "plain" : "model";
    if (kind == RouteKind::Model && !parameters.models.empty())
        key += separator + parameters.models.front().model + separator + parameters.models.front().version;
    for (const auto& pool : parameters.backendPools)
        key += separator + pool;
    key += separator;
    for (const auto& drained : parameters.drainedBackends)
        key += separator + drained;
    return key;
}

} // namespace

CandidateCache::CandidateCache(Blackboard& blackboard)
    : blackboard(blackboard)
{
    blackboard.backendServers.changed.connect(sigc::hide(sigc::mem_fun(*this, &CandidateCache::clear)));
    blackboard.reclaimNotices.changed.connect(sigc::hide(sigc::mem_fun(*this, &CandidateCache::clear)));
    blackboard.configuration.changed.connect(sigc::hide(sigc::mem_fun(*this, &CandidateCache::clear)));
}

auto CandidateCache::find(const ServiceRecord& service, RouteKind kind) -> const CandidateList&
{
    auto key = keyOf(service, kind);
    const auto found = this->lists.find(key);
    if (found != this->lists.end())
        return found->second;
    return this->lists.emplace(std::move(key), CandidateList(findCandidates(this->blackboard, service, kind, {}))).first->second;
}

} // namespace Primrosefork
