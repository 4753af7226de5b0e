#include "usagerecord.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace Primrosefork {

namespace {

using Json = nlohmann::json;

constexpr auto epochField = "epoch"; ///< Epoch of the store in which the record was written.
constexpr auto closedField = "closed";
constexpr std::size_t keptWindows = 6; ///< Number of windows in the record; older ones are no longer due.
constexpr std::size_t keptCertain = 2 * keptWindows;

/** Returns the counts in \a json, or nothing when they are not a number for each workspace. */
auto readCounts(const Json& json) -> std::optional<UsageCounts>
{
    if (!json.is_object())
        return std::nullopt;
    UsageCounts counts;
    for (const auto& [workspace, count] : json.items()) {
        if (!count.is_number_unsigned())
            return std::nullopt;
        counts[workspace] = count.template get<std::uint64_t>();
    }
    return counts;
}

auto readWindow(const std::string& name) -> std::optional<UsageWindow>
{
    UsageWindow window = 0;
    const auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), window);
    return error == std::errc() && end == name.data() + name.size() ? std::optional(window) : std::nullopt;
}

auto dropOldest(std::map<UsageWindow, UsageCounts>& windows, std::size_t kept) -> void
{
    while (windows.size() > kept)
        windows.erase(windows.begin());
}

} // namespace

auto UsageRecord::read(const std::optional<std::string>& text, std::uint64_t readEpoch, UsageWindow lastBefore) -> std::vector<std::string>
{
    this->release();
    this->hasRecord = true;
    this->epoch = readEpoch;
    std::vector<std::string> unreadable;
    const auto json = Json::parse(text.value_or(""), nullptr, false);
    std::uint64_t writtenIn = 0;
    if (json.is_object()) {
        for (const auto& [name, value] : json.items()) {
            if (name == epochField) {
                writtenIn = value.is_number_unsigned() ? value.get<std::uint64_t>() : 0;
                continue;
            }
            if (name == closedField) {
                this->closed = value.is_number_integer() ? value.get<UsageWindow>() : 0;
                continue;
            }
            const auto window = readWindow(name);
            auto counts = readCounts(value);
            if (window && counts)
                this->windows[*window] = std::move(*counts);
            else
                unreadable.push_back(name);
        }
    }
    this->outdated = writtenIn < readEpoch;
    if (this->outdated) {
        this->closed = std::max(this->closed, lastBefore);
        if (!this->windows.empty())
            this->windows.erase(std::prev(this->windows.end()));
    }
    this->keepCertain(this->windows);
    return unreadable;
}

auto UsageRecord::keepCertain(const std::map<UsageWindow, UsageCounts>& acknowledged) -> void
{
    this->certain.insert(acknowledged.begin(), acknowledged.end());
    dropOldest(this->certain, keptCertain);
}

auto UsageRecord::acknowledge(const Proposal& proposal) -> void
{
    this->windows = proposal.windows;
    this->outdated = false;
    this->keepCertain(proposal.windows);
}

auto UsageRecord::release() -> void
{
    this->windows.clear();
    this->closed = 0;
    this->hasRecord = false;
    this->outdated = false;
}

auto UsageRecord::countsOf(UsageWindow window) const -> const UsageCounts*
{
    const auto found = this->windows.find(window);
    return found == this->windows.end() ? nullptr : &found->second;
}

auto UsageRecord::mayStore(UsageWindow window) const -> bool
{
    if (!this->hasRecord || this->windows.contains(window))
        return false;
    // New counts are added in the order of the windows, so that only the newest window of a record can be that of its last write.
    const auto isNewest = this->windows.empty() || window > this->windows.rbegin()->first;
    return this->certain.contains(window) || (window > this->closed && isNewest);
}

auto UsageRecord::propose(UsageWindow window, const UsageCounts& counts) const -> Proposal
{
    auto proposed = this->windows;
    const auto known = this->certain.find(window);
    proposed[window] = known != this->certain.end() ? known->second : counts;
    dropOldest(proposed, keptWindows);
    return this->encode(std::move(proposed));
}

auto UsageRecord::renewed() const -> Proposal
{
    return this->encode(this->windows);
}

auto UsageRecord::encode(std::map<UsageWindow, UsageCounts> proposed) const -> Proposal
{
    Proposal proposal { std::move(proposed), {} };
    auto json = Json::object();
    for (const auto& [number, entry] : proposal.windows)
        json[std::to_string(number)] = entry;
    json[epochField] = this->epoch;
    json[closedField] = this->closed;
    proposal.text = json.dump(-1, ' ', false, Json::error_handler_t::replace);
    return proposal;
}

} // namespace Primrosefork
