#include "promptquarantine.h"

#include <algorithm>
#include <cmath>
#include <optional>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::chrono::milliseconds quarantineTime = 10min;
constexpr std::size_t minQuestionedCrashes = 2; ///< Crashes at which the nodes are asked for the last begin of a part.
constexpr std::size_t minCrashes = 4; ///< Fewest crashes that put a part under quarantine.
constexpr std::size_t maxCrashesPerServer = 2; ///< Crashes of one server that count, since a faulty server crashes on any prompt.
constexpr auto sameEventTime = 250ms; ///< Crashes of several servers within this time may have one cause, so that they count as one.
constexpr std::size_t minRivalCrashes = 5; ///< Crashes from which on a part may also be the cause of other losses.
constexpr std::size_t maxRivals = 3; ///< Parts that may be the cause of other losses; few, since in a bad pool many parts have losses by chance.
constexpr double minLossRate = 0.02; ///< Rate of losses assumed of a service that has fewer.
constexpr double maxProbability = 1e-6; ///< Probability of the evidence for a sound part below which it is quarantined; each attempt is another chance to be wrong.
constexpr std::size_t recentSlots = 30; ///< Slots whose losses are the present rate, the newest ones.
constexpr auto afterCrashes = 2s; ///< Time after the last crash of a part that still counts for the rate at which attempts were lost around its crashes.
constexpr auto liveTime = 1'200ms; ///< Time after its last report, two report periods long, for which a node's answer to a question is waited for.
constexpr auto maxQuestionTime = 1'500ms; ///< Time after which a decision no longer waits for a node.
constexpr std::size_t maxNodes = 4'096;
constexpr std::size_t maxKnownBegins = 1'024;

auto isSameCrash(std::uint32_t server, std::chrono::steady_clock::time_point moment, std::uint32_t otherServer, std::chrono::steady_clock::time_point otherMoment) -> bool
{
    return server == otherServer && std::chrono::abs(moment - otherMoment) <= sameCrashTime;
}

} // namespace

auto PromptQuarantine::reportReceived(const std::string& node, std::vector<PromptEvidence> evidence, TimePoint now) -> void
{
    if (this->nodes.size() >= maxNodes && !this->nodes.contains(node))
        return;
    for (auto& entry : evidence) {
        entry.begun.resize(std::min(entry.begun.size(), evidenceSlots));
        entry.lost.resize(std::min(entry.lost.size(), evidenceSlots));
        entry.crashes.resize(std::min(entry.crashes.size(), maxReportedCrashes));
        entry.suspects.resize(std::min(entry.suspects.size(), maxReportedSuspects));
        entry.begins.resize(std::min(entry.begins.size(), maxQuestionedParts));
        for (auto& suspect : entry.suspects)
            suspect.losses.resize(std::min(suspect.losses.size(), maxReportedLosses));
    }
    this->nodes[node] = { now, std::move(evidence) };
}

auto PromptQuarantine::adopt(const std::string& service, const std::vector<QuarantinedPart>& parts, TimePoint now) -> void
{
    for (const auto& entry : parts) {
        const auto until = now + std::clamp<std::chrono::milliseconds>(entry.left, 0ms, quarantineTime);
        const auto found = this->quarantined.find({ service, entry.part });
        if (found != this->quarantined.end())
            found->second = std::min(found->second, until);
        else if (this->quarantined.size() < maxQuarantinedParts)
            this->quarantined[{ service, entry.part }] = until;
    }
}

auto PromptQuarantine::expire(TimePoint now) -> std::vector<QuarantineChange>
{
    std::erase_if(this->nodes, [now](const auto& entry) { return now - entry.second.received > evidenceLifetime; });
    std::erase_if(this->lastBegins, [now](const auto& entry) { return now - entry.second > evidenceLifetime; });
    std::vector<QuarantineChange> changes;
    std::erase_if(this->quarantined, [now, &changes](const auto& entry) {
        if (entry.second > now)
            return false;
        changes.push_back({ entry.first.first, entry.first.second, false, 0, 0 });
        return true;
    });
    return changes;
}

auto PromptQuarantine::serviceNames() const -> std::set<std::string>
{
    std::set<std::string> names;
    for (const auto& [node, evidence] : this->nodes) {
        for (const auto& entry : evidence.services)
            names.insert(entry.service);
    }
    for (const auto& [key, since] : this->questioned)
        names.insert(key.first);
    return names;
}

auto PromptQuarantine::decide(TimePoint now) -> std::vector<QuarantineChange>
{
    auto changes = this->expire(now);
    for (const auto& service : this->serviceNames())
        this->decideService(service, now, changes);
    return changes;
}

auto PromptQuarantine::decideService(const std::string& service, TimePoint now, std::vector<QuarantineChange>& changes) -> void
{
    auto suspects = this->collect(service, now);
    std::vector<Loss> explained;
    for (const auto& suspect : suspects) {
        if (this->quarantined.contains({ service, suspect.part }))
            explained.insert(explained.end(), suspect.losses.begin(), suspect.losses.end());
    }
    std::erase_if(suspects, [this, &service](const Suspect& suspect) { return this->quarantined.contains({ service, suspect.part }); });
    const auto removeExplained = [&explained](Suspect& suspect) {
        std::erase_if(suspect.losses, [&explained](const Loss& loss) {
            return std::any_of(explained.begin(), explained.end(), [&loss](const Loss& other) { return isSameCrash(loss.server, loss.moment, other.server, other.moment); });
        });
        countCrashes(suspect);
    };
    for (auto& suspect : suspects)
        removeExplained(suspect);
    // Of parts with the same crashes the later one in the prompt is the more specific one.
    std::sort(suspects.begin(), suspects.end(), [](const Suspect& left, const Suspect& right) { return std::pair(left.crashes, left.position) > std::pair(right.crashes, right.position); });
    this->question(service, suspects, now);
    std::size_t rivals = 0;
    for (auto& suspect : suspects) {
        removeExplained(suspect);
        const auto isJudged = suspect.crashes >= minCrashes && this->quarantined.size() < maxQuarantinedParts && this->isHeard(service, suspect.part, now);
        const auto rate = isJudged ? this->lossRate(service, suspect, withRivals(explained, suspects, suspect)) : 1.0;
        const auto isCause = std::pow(rate, static_cast<double>(suspect.crashes)) < maxProbability;
        // What another part may have caused is no evidence against the weaker ones, which were lost beside it.
        if (isCause || (suspect.crashes >= minRivalCrashes && rivals++ < maxRivals))
            explained.insert(explained.end(), suspect.losses.begin(), suspect.losses.end());
        if (!isCause)
            continue;
        this->quarantined[{ service, suspect.part }] = now + quarantineTime;
        this->questioned.erase({ service, suspect.part });
        changes.push_back({ service, suspect.part, true, suspect.crashes, rate });
    }
}

auto PromptQuarantine::withRivals(std::vector<Loss> losses, const std::vector<Suspect>& suspects, const Suspect& judged) -> std::vector<Loss>
{
    std::size_t rivals = 0;
    for (const auto& suspect : suspects) {
        if (suspect.part == judged.part || suspect.crashes < minRivalCrashes)
            continue;
        if (rivals++ == maxRivals)
            break;
        losses.insert(losses.end(), suspect.losses.begin(), suspect.losses.end());
    }
    return losses;
}

auto PromptQuarantine::merge(const PromptEvidence& entry, TimePoint received, std::map<std::uint64_t, Suspect>& merged) -> void
{
    for (const auto& reported : entry.suspects) {
        auto& suspect = merged[reported.part];
        suspect.part = reported.part;
        suspect.position = std::max(suspect.position, reported.position);
        for (const auto& loss : reported.losses)
            suspect.losses.push_back({ loss.server, received - loss.age });
    }
    for (const auto& begin : entry.begins) {
        if (!begin.age || (this->lastBegins.size() >= maxKnownBegins && !this->lastBegins.contains({ entry.service, begin.part })))
            continue;
        auto& last = this->lastBegins[{ entry.service, begin.part }];
        last = std::max(last, received - *begin.age);
    }
}

auto PromptQuarantine::collect(const std::string& service, TimePoint now) -> std::vector<Suspect>
{
    std::map<std::uint64_t, Suspect> merged;
    for (const auto& [node, evidence] : this->nodes) {
        for (const auto& entry : evidence.services) {
            if (entry.service == service)
                this->merge(entry, evidence.received, merged);
        }
    }
    std::vector<Suspect> suspects;
    for (auto& [part, suspect] : merged) {
        const auto begin = this->lastBegins.find({ service, part });
        const auto cleared = begin == this->lastBegins.end() ? TimePoint::min() : begin->second;
        std::erase_if(suspect.losses, [now, cleared](const Loss& loss) { return now - loss.moment > evidenceLifetime || loss.moment <= cleared; });
        std::sort(suspect.losses.begin(), suspect.losses.end(), [](const Loss& left, const Loss& right) { return left.moment < right.moment; });
        if (!suspect.losses.empty())
            suspects.push_back(std::move(suspect));
    }
    return suspects;
}

auto PromptQuarantine::countCrashes(Suspect& suspect) -> void
{
    suspect.crashes = 0;
    std::optional<TimePoint> last;
    std::map<std::uint32_t, std::pair<std::size_t, TimePoint>> servers; // Number of counted crashes and time of the last one.
    for (const auto& loss : suspect.losses) {
        auto& [count, moment] = servers[loss.server];
        if (count >= maxCrashesPerServer || (count > 0 && loss.moment - moment < sameCrashTime) || (last && loss.moment - *last < sameEventTime))
            continue;
        if (suspect.crashes++ == 0)
            suspect.firstCrash = loss.moment;
        suspect.lastCrash = loss.moment;
        ++count;
        moment = loss.moment;
        last = loss.moment;
    }
}

auto PromptQuarantine::question(const std::string& service, const std::vector<Suspect>& suspects, TimePoint now) -> void
{
    std::set<std::uint64_t> parts;
    for (const auto& suspect : suspects) {
        if (suspect.crashes >= minQuestionedCrashes && parts.size() < maxQuestionedParts)
            parts.insert(suspect.part);
    }
    std::erase_if(this->questioned, [&service, &parts](const auto& entry) { return entry.first.first == service && !parts.contains(entry.first.second); });
    for (const auto part : parts)
        this->questioned.try_emplace({ service, part }, now);
}

auto PromptQuarantine::isHeard(const std::string& service, std::uint64_t part, TimePoint now) const -> bool
{
    const auto question = this->questioned.find({ service, part });
    if (question == this->questioned.end())
        return false;
    if (now - question->second >= maxQuestionTime)
        return true;
    return std::all_of(this->nodes.begin(), this->nodes.end(), [&service, part, now](const auto& node) {
        const auto& [received, services] = node.second;
        const auto answers = [&service, part](const PromptEvidence& entry) {
            return entry.service == service && std::any_of(entry.begins.begin(), entry.begins.end(), [part](const PromptBegin& begin) { return begin.part == part; });
        };
        return now - received > liveTime || std::any_of(services.begin(), services.end(), answers);
    });
}

auto PromptQuarantine::lossRate(const std::string& service, const Suspect& suspect, const std::vector<Loss>& explained) const -> double
{
    Attempts recent;
    Attempts around; // From the first crash until shortly after the last one: the whole service may have been out of order then.
    const auto end = suspect.lastCrash + afterCrashes;
    const auto coincides = [&suspect, &explained](std::uint32_t server, TimePoint moment) {
        const auto isSame = [server, moment](const Loss& loss) { return isSameCrash(server, moment, loss.server, loss.moment); };
        return std::any_of(suspect.losses.begin(), suspect.losses.end(), isSame) || std::any_of(explained.begin(), explained.end(), isSame);
    };
    for (const auto& [node, evidence] : this->nodes) {
        for (const auto& entry : evidence.services) {
            if (entry.service != service)
                continue;
            for (std::size_t slot = 0; slot < entry.begun.size() && slot < entry.lost.size(); ++slot) {
                const auto slotStart = evidence.received - evidenceSlot * (static_cast<std::int64_t>(slot) + 1);
                recent.begun += slot < recentSlots ? entry.begun[slot] : 0;
                recent.lost += slot < recentSlots ? entry.lost[slot] : 0;
                around.begun += slotStart >= suspect.firstCrash && slotStart < end ? entry.begun[slot] : 0;
                around.lost += slotStart + evidenceSlot >= suspect.firstCrash && slotStart < end ? entry.lost[slot] : 0;
            }
            for (const auto& crash : entry.crashes) {
                const auto moment = evidence.received - crash.age;
                if (!coincides(crash.server, moment))
                    continue;
                recent.lost -= crash.age <= evidenceSlot * static_cast<std::int64_t>(recentSlots) ? crash.losses : 0;
                around.lost -= moment >= suspect.firstCrash - evidenceSlot && moment < end ? crash.losses : 0;
            }
        }
    }
    recent.lost = std::max(0.0, recent.lost);
    around.lost = std::max(0.0, around.lost) + 1;
    return std::max({ minLossRate, recent.begun + recent.lost > 0 ? recent.lost / (recent.begun + recent.lost) : 1.0, around.lost / (around.begun + around.lost) });
}

auto PromptQuarantine::verdicts(TimePoint now) const -> std::vector<PromptVerdict>
{
    std::map<std::string, PromptVerdict> services;
    for (const auto& [key, since] : this->questioned)
        services[key.first].questioned.push_back(key.second);
    for (const auto& [key, until] : this->quarantined) {
        if (until > now)
            services[key.first].quarantined.push_back({ key.second, std::chrono::ceil<std::chrono::milliseconds>(until - now) });
    }
    std::vector<PromptVerdict> verdicts;
    for (auto& [service, verdict] : services) {
        verdict.service = service;
        verdicts.push_back(std::move(verdict));
    }
    return verdicts;
}

} // namespace Primrosefork
