#include "admissionpolicy.h"

#include <algorithm>
#include <utility>

namespace Primrosefork {

CountAdmissionPolicy::CountAdmissionPolicy(std::size_t maxRunning)
    : maxRunning(maxRunning)
{
}

auto CountAdmissionPolicy::submit(const AdmissionRequest& request, TimePoint /*now*/) -> void
{
    if (this->running >= this->maxRunning) {
        this->verdicts.push_back({ request.id, AdmissionOutcome::Overloaded });
        return;
    }
    ++this->running;
    this->verdicts.push_back({ request.id, AdmissionOutcome::Admitted });
}

auto CountAdmissionPolicy::withdraw(std::uint64_t id) -> void
{
    const auto found = std::find_if(this->verdicts.begin(), this->verdicts.end(),
        [id](const auto& verdict) { return verdict.id == id; });
    if (found == this->verdicts.end())
        return;
    if (found->outcome == AdmissionOutcome::Admitted)
        --this->running;
    this->verdicts.erase(found);
}

auto CountAdmissionPolicy::ended(std::uint64_t /*id*/, std::int64_t /*tokens*/, TimePoint /*now*/) -> void
{
    --this->running;
}

auto CountAdmissionPolicy::advance(TimePoint /*now*/) -> std::vector<AdmissionVerdict>
{
    return std::exchange(this->verdicts, {});
}

} // namespace Primrosefork
