#include "quarantinecontroller.h"

#include "eventlog.h"
#include "metrics.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto gatherTime = 1'200ms; ///< Time in which each node has reported its quarantined parts to a new coordinator.
constexpr auto decisionPeriod = 100ms; ///< Shortest time between two decisions, however many reports arrive.
constexpr std::chrono::milliseconds maxQuarantine = 10min; ///< Longest time taken over from an answer or from the store's record.
constexpr int hexadecimal = 16;

auto hexText(std::uint64_t part) -> std::string
{
    std::array<char, 2 * sizeof(part)> text {};
    const auto result = std::to_chars(text.data(), text.data() + text.size(), part, hexadecimal);
    return { text.data(), result.ptr };
}

auto readHex(const std::string& text) -> std::optional<std::uint64_t>
{
    std::uint64_t part = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), part, hexadecimal);
    return error == std::errc() && end == text.data() + text.size() ? std::optional(part) : std::nullopt;
}

/** Returns the names of the \a verdicts' quarantined parts as one text, to notice a change. */
auto partNames(const std::vector<PromptVerdict>& verdicts) -> std::string
{
    std::string names;
    for (const auto& verdict : verdicts) {
        for (const auto& entry : verdict.quarantined)
            names += verdict.service + "/" + hexText(entry.part) + " ";
    }
    return names;
}

} // namespace

QuarantineController::QuarantineController(KeyValueStore& store, Metrics& metrics, const EventLog& log)
    : store(store)
    , metrics(metrics)
    , log(log)
    , isAlive(std::make_shared<bool>(true))
{
}

QuarantineController::~QuarantineController()
{
    *this->isAlive = false;
}

auto QuarantineController::attemptLost(const std::string& service, std::span<const PromptPart> parts, const std::string& serverId, TimePoint now) -> void
{
    this->evidence.attemptLost(service, parts, serverId, now);
}

auto QuarantineController::attemptBegan(const std::string& service, std::span<const PromptPart> parts, TimePoint now) -> void
{
    this->evidence.attemptBegan(service, parts, now);
}

auto QuarantineController::quarantineLeft(const std::string& service, std::span<const PromptPart> parts, TimePoint now) const -> std::optional<std::chrono::milliseconds>
{
    if (this->quarantined.empty() || parts.empty())
        return std::nullopt;
    std::optional<std::chrono::milliseconds> longest;
    for (const auto& part : parts.first(parts.size() - 1)) {
        const auto found = this->quarantined.find({ service, part.id });
        if (found != this->quarantined.end() && found->second > now)
            longest = std::max(longest.value_or(0ms), std::chrono::ceil<std::chrono::milliseconds>(found->second - now));
    }
    return longest;
}

auto QuarantineController::makeReport(TimePoint now) -> std::vector<PromptEvidence>
{
    auto report = this->evidence.report(now);
    std::erase_if(this->quarantined, [now](const auto& entry) { return entry.second <= now; });
    for (const auto& [key, until] : this->quarantined) {
        auto found = std::find_if(report.begin(), report.end(), [&key = key](const PromptEvidence& entry) { return entry.service == key.first; });
        if (found == report.end()) {
            report.emplace_back().service = key.first;
            found = std::prev(report.end());
        }
        found->quarantined.push_back({ key.second, std::chrono::ceil<std::chrono::milliseconds>(until - now) });
    }
    return report;
}

auto QuarantineController::takeRole(Role next, TimePoint now) -> void
{
    if (std::exchange(this->role, next) == next || next == Role::Member)
        return;
    this->roleSince = now;
    this->decisions = {};
    this->recorded = this->quarantined.empty() && this->recordRevision == 0 ? std::optional<std::string>("") : std::nullopt;
    for (const auto& [key, until] : this->quarantined)
        this->decisions.adopt(key.first, { { key.second, std::chrono::ceil<std::chrono::milliseconds>(until - now) } }, now);
}

auto QuarantineController::coordinationBegan(std::uint64_t fence) -> void
{
    // Another node may have coordinated since: the role begins anew with the next report.
    if (std::exchange(this->coordinationFence, fence) != fence)
        this->role = Role::Member;
}

auto QuarantineController::reportReceived(const std::string& nodeId, const std::vector<PromptEvidence>& evidence, TimePoint now) -> void
{
    this->takeRole(Role::Coordinator, now);
    if (now - this->roleSince < gatherTime) {
        for (const auto& entry : evidence)
            this->decisions.adopt(entry.service, entry.quarantined, now);
    }
    this->decisions.reportReceived(nodeId, evidence, now);
    if (now - this->lastDecision >= decisionPeriod)
        this->decide(now);
}

auto QuarantineController::decide(TimePoint now) -> void
{
    this->lastDecision = now;
    for (const auto& change : this->decisions.decide(now)) {
        this->log.write(change.isQuarantined ? Event::PromptQuarantined : Event::PromptReleased,
            { { "service", change.service }, { "part", hexText(change.part) }, { "crashes", std::to_string(change.crashes) }, { "loss_rate", std::to_string(change.lossRate) } });
    }
}

auto QuarantineController::addToAnswer(FleetAnswer& answer, TimePoint now) const -> void
{
    answer.prompts = this->decisions.verdicts(now);
    answer.hasAllQuarantines = this->role == Role::Coordinator && now - this->roleSince >= gatherTime;
}

auto QuarantineController::applyAnswer(const FleetAnswer& answer, TimePoint now) -> void
{
    // The coordinator's answer to itself has no number.
    if (answer.reportSequence != 0)
        this->takeRole(Role::Member, now);
    if (answer.hasAllQuarantines)
        this->quarantined.clear();
    for (const auto& verdict : answer.prompts) {
        for (const auto& entry : verdict.quarantined) {
            if (this->quarantined.size() < maxQuarantinedParts || this->quarantined.contains({ verdict.service, entry.part }))
                this->quarantined[{ verdict.service, entry.part }] = now + std::clamp(entry.left, 0ms, maxQuarantine);
        }
    }
    this->evidence.setQuestioned(answer.prompts);
    this->metrics.setGauge("prompts_quarantined", static_cast<double>(this->quarantined.size()));
}

auto QuarantineController::decideAlone(const std::string& nodeId, const std::vector<PromptEvidence>& evidence, TimePoint now) -> void
{
    this->takeRole(Role::Alone, now);
    this->decisions.reportReceived(nodeId, evidence, now);
    this->decide(now);
    FleetAnswer answer;
    answer.prompts = this->decisions.verdicts(now);
    this->applyAnswer(answer, now);
}

auto QuarantineController::applyRecord(const StoreEntry& entry, TimePoint now) -> void
{
    this->recordRevision = entry.revision;
    const auto list = nlohmann::json::parse(entry.value, nullptr, false);
    if (!list.is_array())
        return;
    for (const auto& item : list) {
        if (!item.is_object() || !item.contains("service") || !item.contains("part") || !item.contains("left_ms"))
            continue;
        if (!item["service"].is_string() || !item["part"].is_string() || !item["left_ms"].is_number_unsigned())
            continue;
        const auto part = readHex(item["part"].get<std::string>());
        // The time counts from now, since the clocks of two processes may differ: a quarantine may last longer, but never ends early.
        const auto left = std::min<std::uint64_t>(item["left_ms"].get<std::uint64_t>(), maxQuarantine.count());
        if (part && this->quarantined.size() < maxQuarantinedParts)
            this->quarantined[{ item["service"].get<std::string>(), *part }] = now + std::chrono::milliseconds(left);
    }
}

auto QuarantineController::recordRestored(StoreRevision revision) -> void
{
    this->recordRevision = revision;
    if (revision != 0 || !this->recorded.value_or("").empty())
        this->recorded.reset();
}

auto QuarantineController::recordChanges(TimePoint now) -> void
{
    const auto verdicts = this->decisions.verdicts(now);
    auto names = partNames(verdicts);
    if (names == this->recorded || now - this->roleSince < gatherTime || std::exchange(this->isRecording, true))
        return;
    auto list = nlohmann::json::array();
    for (const auto& verdict : verdicts) {
        for (const auto& entry : verdict.quarantined)
            list.push_back({ { "service", verdict.service }, { "part", hexText(entry.part) }, { "left_ms", entry.left.count() } });
    }
    const auto text = list.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    this->store.compareAndSwap({ quarantineKey, this->recordRevision, text, 0 }, [this, names = std::move(names), alive = this->isAlive](std::error_code error, const StoreSwapResult& result) {
        if (!*alive)
            return;
        this->isRecording = false;
        if (error)
            return;
        this->recordRevision = result.current.revision;
        if (result.isSwapped)
            this->recorded = names;
    });
}

auto QuarantineController::dumpState() const -> nlohmann::json
{
    const auto now = std::chrono::steady_clock::now();
    auto refused = nlohmann::json::array();
    for (const auto& [key, until] : this->quarantined)
        refused.push_back({ { "service", key.first }, { "part", hexText(key.second) }, { "left_ms", std::chrono::duration_cast<std::chrono::milliseconds>(until - now).count() } });
    return { { "refused", std::move(refused) }, { "suspects", this->evidence.dumpState(now) } };
}

} // namespace Primrosefork
