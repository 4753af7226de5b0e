#include "changelog.h"

#include "hash.h"

#include <algorithm>

namespace Primrosefork {

namespace {

constexpr std::size_t maxDeletions = 2'000; ///< Several replacements of all servers of a large deployment.

auto sizeOf(const StoreEntry& entry) -> std::size_t
{
    return entry.key.size() + entry.value.size() + sizeof(entry.revision);
}

auto hashOf(const StoreEntry& entry) -> std::uint64_t
{
    return hash64(entry.key + "/" + std::to_string(entry.revision));
}

} // namespace

auto ChangeLog::listed(const StoreListing& listing) -> void
{
    std::set<std::string> present;
    for (const auto& entry : listing.entries)
        present.insert(entry.key);
    std::vector<std::string> missing;
    for (const auto& [key, entry] : this->entries) {
        if (!entry.isDeleted && !present.contains(key))
            missing.push_back(key);
    }
    if (this->newest == 0)
        this->oldest = listing.revision;
    for (const auto& entry : listing.entries)
        this->add(entry);
    for (auto& key : missing)
        this->add({ std::move(key), "", listing.revision, true });
    this->completeUpTo(listing.revision);
    this->forgetOldDeletions();
}

auto ChangeLog::changed(std::span<const StoreEntry> changes) -> void
{
    for (const auto& entry : changes) {
        this->add(entry);
        this->completeUpTo(entry.revision);
    }
    this->forgetOldDeletions();
}

auto ChangeLog::completeUpTo(StoreRevision revision) -> void
{
    this->newest = std::max(this->newest, revision);
}

auto ChangeLog::add(StoreEntry entry) -> void
{
    auto& known = this->entries[entry.key];
    if (known.revision >= entry.revision)
        return;
    this->order.erase({ known.revision, entry.key });
    this->order.emplace(entry.revision, entry.key);
    if (known.isDeleted)
        --this->deletions;
    else if (known.revision > 0)
        this->presentDigest ^= hashOf(known);
    if (entry.isDeleted)
        ++this->deletions;
    else
        this->presentDigest ^= hashOf(entry);
    known = std::move(entry);
}

auto ChangeLog::forgetOldDeletions() -> void
{
    for (auto place = this->order.begin(); this->deletions > maxDeletions && place != this->order.end();) {
        const auto found = this->entries.find(place->second);
        if (!found->second.isDeleted) {
            ++place;
            continue;
        }
        this->oldest = std::max(this->oldest, found->second.revision);
        this->entries.erase(found);
        place = this->order.erase(place);
        --this->deletions;
    }
}

auto ChangeLog::changesAfter(StoreRevision revision, std::size_t maxBytes) const -> std::optional<ChangeBatch>
{
    if (this->newest == 0 || revision < this->oldest)
        return std::nullopt;
    ChangeBatch batch;
    batch.upTo = this->newest;
    std::size_t size = 0;
    for (auto place = this->order.lower_bound({ revision + 1, "" }); place != this->order.end(); ++place) {
        const auto& entry = this->entries.at(place->second);
        size += sizeOf(entry);
        // Changes of one revision stay together, since the receiver continues after the last complete one.
        if (size > maxBytes && !batch.entries.empty() && batch.entries.back().revision != entry.revision) {
            batch.upTo = batch.entries.back().revision;
            break;
        }
        batch.entries.push_back(entry);
    }
    return batch;
}

} // namespace Primrosefork
