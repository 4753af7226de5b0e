#include "rolloutstore.h"

#include <utility>

namespace Primrosefork {

namespace {

constexpr auto recordKey = "primrosefork/rollouts";

} // namespace

RolloutStore::RolloutStore(KeyValueStore& store, const TrafficDocuments& documents)
    : store(store)
    , documents(documents)
    , isAlive(std::make_shared<bool>(true))
{
}

RolloutStore::~RolloutStore()
{
    *this->isAlive = false;
}

auto RolloutStore::load() -> void
{
    if ((this->hasRecord && !this->needsRevision) || std::exchange(this->isReading, true))
        return;
    this->store.get(recordKey, [this, alive = this->isAlive](std::error_code error, const std::optional<StoreEntry>& entry) {
        if (!*alive)
            return;
        this->isReading = false;
        if (!error)
            this->recordRead(entry);
    });
}

auto RolloutStore::recordRead(const std::optional<StoreEntry>& entry) -> void
{
    const auto text = entry ? entry->value : std::string();
    if (this->needsRevision) {
        this->needsRevision = false;
        // Only what this object wrote itself may be replaced.
        this->wasOverwritten = text != this->recordText && text != this->attemptedText;
    } else {
        this->loaded = decodeRolloutRecord(text);
    }
    this->recordText = text;
    this->recordRevision = entry ? entry->revision : 0;
    this->hasRecord = true;
}

auto RolloutStore::write(const std::vector<RolloutProgress>& rollouts, std::function<void()> onWritten) -> void
{
    if (!this->mayWrite() || this->needsRevision)
        return;
    this->isWriting = true;
    this->attemptedText = encodeRolloutRecord(rollouts);
    this->store.compareAndSwap({ recordKey, this->recordRevision, this->attemptedText, 0 }, [this, alive = this->isAlive, onWritten = std::move(onWritten)](std::error_code error, const StoreSwapResult& result) {
        if (!*alive)
            return;
        this->isWriting = false;
        if (error) {
            this->needsRevision = true;
            return;
        }
        if (!result.isSwapped) {
            this->wasOverwritten = true;
            return;
        }
        this->recordRevision = result.current.revision;
        this->recordText = this->attemptedText;
        onWritten();
    });
}

auto RolloutStore::publish(const RolloutStatus& status) -> void
{
    this->statuses.push_back(status);
    this->retry();
}

auto RolloutStore::retry() -> void
{
    this->load();
    if (this->statuses.empty() || this->wasOverwritten || std::exchange(this->isPublishing, true))
        return;
    this->store.get(this->documents.rolloutStatusKey(this->statuses.front().service), [this, alive = this->isAlive](std::error_code error, const std::optional<StoreEntry>& entry) {
        if (!*alive)
            return;
        this->isPublishing = false;
        if (!error)
            this->writeStatus(entry.value_or(StoreEntry {}));
    });
}

auto RolloutStore::writeStatus(const StoreEntry& present) -> void
{
    const auto& status = this->statuses.front();
    const auto text = this->documents.encodeRolloutStatus(status);
    if (present.value == text) {
        this->statuses.pop_front();
        return this->retry();
    }
    this->isPublishing = true;
    this->store.compareAndSwap({ this->documents.rolloutStatusKey(status.service), present.revision, text, 0 }, [this, alive = this->isAlive](std::error_code error, const StoreSwapResult& result) {
        if (!*alive)
            return;
        this->isPublishing = false;
        if (error || !result.isSwapped)
            return;
        this->statuses.pop_front();
        this->retry();
    });
}

} // namespace Primrosefork
