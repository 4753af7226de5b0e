#include "crashevidence.h"

#include "hash.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace Primrosefork {

namespace {

constexpr std::size_t maxSuspects = 256; ///< Suspects that a node keeps of one service.
constexpr std::size_t maxBegins = 4'096; ///< Parts of one service whose last begin a node keeps.
constexpr std::size_t maxParts = 16; ///< Parts of one prompt that are considered, the first ones.

auto sharedParts(std::span<const PromptPart> parts) -> std::span<const PromptPart>
{
    return parts.empty() ? parts : parts.first(std::min(parts.size() - 1, maxParts));
}

auto ageOf(std::chrono::steady_clock::time_point moment, std::chrono::steady_clock::time_point now) -> std::chrono::milliseconds
{
    return std::max(std::chrono::milliseconds(0), std::chrono::duration_cast<std::chrono::milliseconds>(now - moment));
}

auto slotNumber(std::chrono::steady_clock::time_point now) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()) / evidenceSlot;
}

auto increment(std::uint16_t& count) -> void
{
    if (count < std::numeric_limits<std::uint16_t>::max())
        ++count;
}

} // namespace

auto CrashEvidence::slotAt(Service& service, TimePoint now) -> Slot&
{
    const auto number = slotNumber(now);
    auto& slot = service.slots[static_cast<std::size_t>(number) % evidenceSlots];
    if (slot.number != number)
        slot = { number, 0, 0 };
    return slot;
}

auto CrashEvidence::attemptLost(const std::string& serviceName, std::span<const PromptPart> parts, std::string_view server, TimePoint now) -> void
{
    auto& service = this->services[serviceName];
    const auto serverHash = static_cast<std::uint32_t>(hash64(server));
    increment(slotAt(service, now).lost);
    addCrash(service, serverHash, now);
    std::uint8_t position = 0;
    for (const auto& part : sharedParts(parts)) {
        auto& suspect = service.suspects[part.id];
        suspect.position = std::max(suspect.position, position++);
        const auto isSameCrash = std::any_of(
            suspect.losses.begin(), suspect.losses.end(), [serverHash, now](const Loss& loss) { return loss.server == serverHash && now - loss.moment < sameCrashTime; });
        if (!isSameCrash)
            suspect.losses.push_front({ serverHash, now });
        if (suspect.losses.size() > maxReportedLosses)
            suspect.losses.pop_back();
    }
    limitSuspects(service);
}

auto CrashEvidence::addCrash(Service& service, std::uint32_t server, TimePoint now) -> void
{
    for (auto& crash : service.crashes) {
        if (crash.server == server && now - crash.moment < sameCrashTime)
            return increment(crash.losses);
    }
    service.crashes.push_front({ server, now, 1 });
    if (service.crashes.size() > maxReportedCrashes)
        service.crashes.pop_back();
}

auto CrashEvidence::limitSuspects(Service& service) -> void
{
    while (service.suspects.size() > maxSuspects) {
        const auto weakest = std::min_element(service.suspects.begin(), service.suspects.end(), [](const auto& left, const auto& right) {
            return std::pair(left.second.losses.size(), left.second.losses.front().moment) < std::pair(right.second.losses.size(), right.second.losses.front().moment);
        });
        service.suspects.erase(weakest);
    }
}

auto CrashEvidence::attemptBegan(const std::string& serviceName, std::span<const PromptPart> parts, TimePoint now) -> void
{
    auto& service = this->services[serviceName];
    increment(slotAt(service, now).begun);
    for (const auto& part : sharedParts(parts)) {
        service.suspects.erase(part.id);
        service.lastBegins[part.id] = now;
    }
    if (service.lastBegins.size() > std::min(maxBegins, std::max<std::size_t>(service.pruneSize, maxBegins / 4)))
        pruneBegins(service, now);
}

auto CrashEvidence::pruneBegins(Service& service, TimePoint now) -> void
{
    std::erase_if(service.lastBegins, [now](const auto& entry) { return now - entry.second > evidenceLifetime; });
    // The oldest half goes when more parts are in use than fit.
    if (service.lastBegins.size() > maxBegins / 2) {
        std::vector<TimePoint> moments;
        for (const auto& [part, moment] : service.lastBegins)
            moments.push_back(moment);
        const auto middle = moments.begin() + static_cast<std::ptrdiff_t>(moments.size() / 2);
        std::nth_element(moments.begin(), middle, moments.end());
        if (service.lastBegins.size() >= maxBegins)
            std::erase_if(service.lastBegins, [limit = *middle](const auto& entry) { return entry.second < limit; });
    }
    service.pruneSize = service.lastBegins.size() * 2;
}

auto CrashEvidence::setQuestioned(const std::vector<PromptVerdict>& verdicts) -> void
{
    for (auto& [name, service] : this->services)
        service.questioned.clear();
    for (const auto& verdict : verdicts) {
        const auto count = std::min(verdict.questioned.size(), maxQuestionedParts);
        if (count > 0)
            this->services[verdict.service].questioned.assign(verdict.questioned.begin(), verdict.questioned.begin() + static_cast<std::ptrdiff_t>(count));
    }
}

auto CrashEvidence::expire(Service& service, TimePoint now) -> void
{
    for (auto& [part, suspect] : service.suspects)
        std::erase_if(suspect.losses, [now](const Loss& loss) { return now - loss.moment > evidenceLifetime; });
    std::erase_if(service.suspects, [](const auto& entry) { return entry.second.losses.empty(); });
    std::erase_if(service.crashes, [now](const Crash& crash) { return now - crash.moment > evidenceLifetime; });
}

auto CrashEvidence::report(TimePoint now) -> std::vector<PromptEvidence>
{
    std::vector<PromptEvidence> evidence;
    for (auto& [name, service] : this->services) {
        expire(service, now);
        if (!service.suspects.empty() || !service.questioned.empty())
            evidence.push_back(reportOf(name, service, now));
    }
    return evidence;
}

auto CrashEvidence::reportOf(const std::string& name, const Service& service, TimePoint now) -> PromptEvidence
{
    PromptEvidence evidence;
    evidence.service = name;
    const auto newest = slotNumber(now);
    for (std::size_t index = 0; index < evidenceSlots; ++index) {
        const auto number = newest - static_cast<std::int64_t>(index);
        const auto& slot = service.slots[static_cast<std::size_t>(number) % evidenceSlots];
        evidence.begun.push_back(slot.number == number ? slot.begun : 0);
        evidence.lost.push_back(slot.number == number ? slot.lost : 0);
    }
    for (const auto& crash : service.crashes)
        evidence.crashes.push_back({ crash.server, ageOf(crash.moment, now), crash.losses });
    std::vector<std::pair<std::uint64_t, const Suspect*>> ordered;
    for (const auto& [part, suspect] : service.suspects)
        ordered.emplace_back(part, &suspect);
    std::sort(ordered.begin(), ordered.end(), [](const auto& left, const auto& right) {
        return std::pair(left.second->losses.size(), left.second->losses.front().moment) > std::pair(right.second->losses.size(), right.second->losses.front().moment);
    });
    ordered.resize(std::min(ordered.size(), maxReportedSuspects));
    for (const auto& [part, suspect] : ordered) {
        auto& entry = evidence.suspects.emplace_back(PromptSuspect { part, suspect->position, {} });
        for (const auto& loss : suspect->losses)
            entry.losses.push_back({ loss.server, ageOf(loss.moment, now) });
    }
    for (const auto part : service.questioned) {
        const auto begin = service.lastBegins.find(part);
        evidence.begins.push_back({ part, begin == service.lastBegins.end() ? std::nullopt : std::optional(ageOf(begin->second, now)) });
    }
    return evidence;
}

auto CrashEvidence::dumpState(TimePoint now) const -> nlohmann::json
{
    auto list = nlohmann::json::array();
    for (const auto& [name, service] : this->services) {
        for (const auto& suspect : reportOf(name, service, now).suspects)
            list.push_back({ { "service", name }, { "part", suspect.part }, { "losses", suspect.losses.size() }, { "last_loss_ms_ago", suspect.losses.front().age.count() } });
    }
    return list;
}

} // namespace Primrosefork
