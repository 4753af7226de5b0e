#include "candidatecache.h"

#include "candidates.h"

#include <sigc++/adaptors/hide.h>
#include <sigc++/functors/mem_fun.h>

namespace Primrosefork {

namespace {

constexpr char separator = '\n'; ///< A newline occurs in no name, so that keys are unambiguous.

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
    blackboard.peerNotices.changed.connect(sigc::hide(sigc::mem_fun(*this, &CandidateCache::clear)));
    blackboard.backendSubset.changed.connect(sigc::hide(sigc::mem_fun(*this, &CandidateCache::clear)));
    blackboard.configuration.changed.connect(sigc::hide(sigc::mem_fun(*this, &CandidateCache::clear)));
}

auto CandidateCache::find(const ServiceRecord& service, RouteKind kind) -> const CandidateList&
{
    // The request holds the record of its arrival, which may be older than the last change, such as the drain of a backend server.
    const auto* current = this->blackboard.configuration.value().service(service.workspace, service.name);
    const auto& record = current ? *current : service;
    auto key = keyOf(record, kind);
    const auto found = this->lists.find(key);
    if (found != this->lists.end())
        return found->second;
    return this->lists.emplace(std::move(key), CandidateList(findCandidates(this->blackboard, record, kind, {}))).first->second;
}

} // namespace Primrosefork
