#pragma once

#include "errors.h"
#include "eventloop.h"
#include "keyvaluestore.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace Primrosefork {

/** How a FakeStore handles one write. */
enum class WriteOutcome {
    Answered, ///< The write takes effect and is answered.
    ReplyLost, ///< The write takes effect; the writer gets a timeout.
    Lost, ///< The write does not take effect; the writer gets a timeout.
    Delayed, ///< The writer gets a timeout; the write takes effect when applyDelayedWrites() is called.
    ReplyHeld, ///< The write takes effect; its reply is sent by sendHeldReply().
    ConnectionRefused, ///< The write does not take effect because the connection is refused.
};

/**
 * A key-value service in memory that handles writes with the outcomes that a
 * test sets.
 */
class FakeStore : public KeyValueStore {
public:
    explicit FakeStore(EventLoop& loop)
        : loop(loop)
    {
    }

    auto get(const std::string& key, EntryHandler handler) -> void override
    {
        ++this->reads;
        const auto found = this->entries.find(key);
        this->loop.post([handler = std::move(handler), entry = found == this->entries.end() ? std::nullopt : std::optional(found->second)] { handler({}, entry); });
    }

    auto list(const std::string& /*prefix*/, ListingHandler /*handler*/) -> void override { }

    auto compareAndSwap(const StoreSwap& swap, SwapHandler handler) -> void override
    {
        ++this->writes;
        auto outcome = WriteOutcome::Answered;
        if (!this->writeOutcomes.empty()) {
            outcome = this->writeOutcomes.front();
            this->writeOutcomes.pop_front();
        }
        if (outcome == WriteOutcome::Delayed)
            this->delayedWrites.push_back(swap);
        const auto takesEffect = outcome == WriteOutcome::Answered || outcome == WriteOutcome::ReplyLost || outcome == WriteOutcome::ReplyHeld;
        const auto result = takesEffect ? this->apply(swap) : StoreSwapResult {};
        if (outcome == WriteOutcome::ReplyHeld) {
            this->heldReply = [handler = std::move(handler), result] { handler({}, result); };
            return;
        }
        const auto failure = outcome == WriteOutcome::ConnectionRefused ? Error::ConnectionFailed : Error::Timeout;
        const auto error = outcome == WriteOutcome::Answered ? std::error_code {} : make_error_code(failure);
        this->loop.post([handler = std::move(handler), error, result] { handler(error, result); });
    }

    auto watch(const std::string& key, StoreRevision after, std::chrono::milliseconds /*wait*/, ListingHandler handler) -> void override
    {
        ++this->watches;
        this->watchedKey = key;
        this->watchedRevision = after;
        this->watchHandler = std::move(handler);
        this->notifyWatch();
    }

    auto grantLease(std::chrono::milliseconds duration, LeaseHandler handler) -> void override
    {
        this->leaseDurations.push_back(duration);
        this->loop.post([handler = std::move(handler), lease = ++this->lastLease] { handler({}, lease); });
    }

    auto renewLease(LeaseId /*lease*/, DoneHandler /*handler*/) -> void override { ++this->renewals; }
    auto revokeLease(LeaseId /*lease*/, DoneHandler /*handler*/) -> void override { }

    /** Sends the reply of the last write with WriteOutcome::ReplyHeld. */
    auto sendHeldReply() -> void { this->loop.post(std::exchange(this->heldReply, nullptr)); }

    /** Applies the writes with WriteOutcome::Delayed. */
    auto applyDelayedWrites() -> void
    {
        for (const auto& swap : std::exchange(this->delayedWrites, {}))
            this->apply(swap);
    }

    /** Expires all leases granted so far and deletes all keys. */
    auto expireLeases() -> void
    {
        this->lastExpiredLease = this->lastLease;
        this->entries.clear();
    }

    /** Sets \a key to \a value, as another node would. */
    auto put(const std::string& key, const std::string& value) -> void
    {
        this->entries[key] = { key, value, ++this->revision };
        this->notifyWatch();
    }

    std::deque<WriteOutcome> writeOutcomes; ///< Outcomes of the next writes; writes after them are answered.
    std::map<std::string, StoreEntry> entries;
    std::deque<std::chrono::milliseconds> leaseDurations; ///< Durations of all leases granted.
    int reads = 0;
    int writes = 0;
    int watches = 0;
    int renewals = 0;

private:
    auto apply(const StoreSwap& swap) -> StoreSwapResult
    {
        const auto found = this->entries.find(swap.key);
        const auto current = found == this->entries.end() ? StoreEntry { swap.key, "", 0 } : found->second;
        if (current.revision != swap.expected || swap.lease <= this->lastExpiredLease)
            return { false, current };
        this->put(swap.key, swap.value);
        return { true, this->entries[swap.key] };
    }

    auto notifyWatch() -> void
    {
        const auto found = this->entries.find(this->watchedKey);
        if (!this->watchHandler || found == this->entries.end() || found->second.revision <= this->watchedRevision)
            return;
        this->loop.post([handler = std::exchange(this->watchHandler, nullptr), entry = found->second] { handler({}, { { entry }, entry.revision }); });
    }

    EventLoop& loop;
    std::deque<StoreSwap> delayedWrites;
    std::function<void()> heldReply;
    ListingHandler watchHandler;
    std::string watchedKey;
    StoreRevision watchedRevision = 0;
    StoreRevision revision = 1;
    LeaseId lastLease = 0;
    LeaseId lastExpiredLease = 0;
};

} // namespace Primrosefork
