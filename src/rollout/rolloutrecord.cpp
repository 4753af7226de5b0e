#include "rolloutrecord.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>

namespace Primrosefork {

namespace {

using Json = nlohmann::json;

constexpr std::uint64_t maxMilliseconds = 86'400'000; ///< Bound of the times of an order.
constexpr std::size_t maxRollouts = 256; ///< Entries of the record that are read.

auto readCount(const Json& item, const char* key, std::uint64_t maximum) -> std::optional<std::uint64_t>
{
    const auto found = item.find(key);
    if (found == item.end() || !found->is_number_unsigned() || found->get<std::uint64_t>() > maximum)
        return std::nullopt;
    return found->get<std::uint64_t>();
}

auto readText(const Json& item, const char* key) -> std::optional<std::string>
{
    const auto found = item.find(key);
    return found != item.end() && found->is_string() ? std::optional(found->get<std::string>()) : std::nullopt;
}

auto readPhase(const Json& item) -> std::optional<RolloutPhase>
{
    const auto text = readText(item, "phase");
    for (auto number = 0; number <= static_cast<int>(RolloutPhase::RolledBack); ++number) {
        if (text == nameOf(static_cast<RolloutPhase>(number)))
            return static_cast<RolloutPhase>(number);
    }
    return std::nullopt;
}

auto readProgress(const Json& item) -> std::optional<RolloutProgress>
{
    if (!item.is_object())
        return std::nullopt;
    constexpr auto anyCount = std::numeric_limits<std::uint64_t>::max();
    const auto service = readText(item, "service");
    const auto version = readText(item, "version");
    const auto order = readCount(item, "order", anyCount);
    const auto duration = readCount(item, "duration_ms", maxMilliseconds);
    const auto left = readCount(item, "left_ms", maxMilliseconds);
    const auto step = readCount(item, "step", std::numeric_limits<std::uint32_t>::max());
    const auto phase = readPhase(item);
    const auto share = item.find("share");
    const auto received = readCount(item, "received", anyCount);
    const auto sent = readCount(item, "sent", anyCount);
    if (!service || !version || !order || !duration || !left || !step || !phase || !received || !sent || share == item.end() || !share->is_number())
        return std::nullopt;
    RolloutProgress progress { *service, *version, *order, std::chrono::milliseconds(*duration), std::chrono::milliseconds(*left), static_cast<std::uint32_t>(*step), *phase, 0, *received, *sent };
    progress.share = std::clamp(share->get<double>(), 0.0, 1.0);
    return progress;
}

} // namespace

auto encodeRolloutRecord(const std::vector<RolloutProgress>& rollouts) -> std::string
{
    auto list = Json::array();
    for (const auto& entry : rollouts) {
        list.push_back({ { "service", entry.service }, { "version", entry.version }, { "order", entry.order }, { "duration_ms", entry.duration.count() },
            { "left_ms", entry.left.count() }, { "step", entry.step }, { "phase", nameOf(entry.phase) }, { "share", entry.share }, { "received", entry.received }, { "sent", entry.sent } });
    }
    return list.dump(-1, ' ', false, Json::error_handler_t::replace);
}

auto decodeRolloutRecord(const std::string& text) -> std::vector<RolloutProgress>
{
    std::vector<RolloutProgress> rollouts;
    const auto list = Json::parse(text, nullptr, false);
    if (!list.is_array())
        return rollouts;
    for (const auto& item : list) {
        auto progress = readProgress(item);
        if (progress && rollouts.size() < maxRollouts)
            rollouts.push_back(std::move(*progress));
    }
    return rollouts;
}

auto isLater(const RolloutProgress& first, const RolloutProgress& second) -> bool
{
    // An outcome is final: a version that was rolled back must not get requests again because of a higher step.
    if (isOver(first.phase) != isOver(second.phase) && first.order == second.order)
        return isOver(first.phase);
    return first.step > second.step;
}

} // namespace Primrosefork
