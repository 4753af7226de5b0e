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

/** What happens to one write of a FakeStore. */
enum class WriteFate {
    Answered,
    ReplyLost, ///< It takes effect; the writer sees a timeout.
    Lost, ///< It does not take effect; the writer sees a timeout.
    Late, ///< The writer sees a timeout; it takes effect when landLate() is called.
    Held, ///< It takes effect; its reply comes with answerHeld().
    Refused, ///< The connection could not be opened.
};

/**
 * A key-value service in memory, whose writes meet the fates that a test gives.
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
        auto fate = WriteFate::Answered;
        if (!this->fates.empty()) {
            fate = this->fates.front();
            this->fates.pop_front();
        }
        if (fate == WriteFate::Late)
            this->late.push_back(swap);
        const auto takesEffect = fate == WriteFate::Answered || fate == WriteFate::ReplyLost || fate == WriteFate::Held;
        const auto result = takesEffect ? this->apply(swap) : StoreSwapResult {};
        if (fate == WriteFate::Held) {
            this->held = [handler = std::move(handler), result] { handler({}, result); };
            return;
        }
        const auto failure = fate == WriteFate::Refused ? Error::ConnectionFailed : Error::Timeout;
        const auto error = fate == WriteFate::Answered ? std::error_code {} : make_error_code(failure);
        this->loop.post([handler = std::move(handler), error, result] { handler(error, result); });
    }

    auto watch(const std::string& key, StoreRevision after, std::chrono::milliseconds /*wait*/, ListingHandler handler) -> void override
    {
        ++this->watches;
        this->waitingKey = key;
        this->waitingAfter = after;
        this->waiting = std::move(handler);
        this->wakeWatch();
    }

    auto grantLease(std::chrono::milliseconds duration, LeaseHandler handler) -> void override
    {
        this->durations.push_back(duration);
        this->loop.post([handler = std::move(handler), lease = ++this->lastLease] { handler({}, lease); });
    }

    auto renewLease(LeaseId /*lease*/, DoneHandler /*handler*/) -> void override { ++this->renewals; }
    auto revokeLease(LeaseId /*lease*/, DoneHandler /*handler*/) -> void override { }

    /** Sends the reply that was held. */
    auto answerHeld() -> void { this->loop.post(std::exchange(this->held, nullptr)); }

    /** Lets the late writes take effect. */
    auto landLate() -> void
    {
        for (const auto& swap : std::exchange(this->late, {}))
            this->apply(swap);
    }

    /** Ends all leases granted so far; the keys that hang on them go. */
    auto endLeases() -> void
    {
        this->endedLease = this->lastLease;
        this->entries.clear();
    }

    /** Puts \a value at \a key, as another node does. */
    auto put(const std::string& key, const std::string& value) -> void
    {
        this->entries[key] = { key, value, ++this->revision };
        this->wakeWatch();
    }

    std::deque<WriteFate> fates; ///< Of the next writes; the ones after them are answered.
    std::map<std::string, StoreEntry> entries;
    std::deque<std::chrono::milliseconds> durations; ///< Of the leases.
    int reads = 0;
    int writes = 0;
    int watches = 0;
    int renewals = 0;

private:
    auto apply(const StoreSwap& swap) -> StoreSwapResult
    {
        const auto found = this->entries.find(swap.key);
        const auto current = found == this->entries.end() ? StoreEntry { swap.key, "", 0 } : found->second;
        if (current.revision != swap.expected || swap.lease <= this->endedLease)
            return { false, current };
        this->put(swap.key, swap.value);
        return { true, this->entries[swap.key] };
    }

    auto wakeWatch() -> void
    {
        const auto found = this->entries.find(this->waitingKey);
        if (!this->waiting || found == this->entries.end() || found->second.revision <= this->waitingAfter)
            return;
        this->loop.post([handler = std::exchange(this->waiting, nullptr), entry = found->second] { handler({}, { { entry }, entry.revision }); });
    }

    EventLoop& loop;
    std::deque<StoreSwap> late;
    std::function<void()> held;
    ListingHandler waiting;
    std::string waitingKey;
    StoreRevision waitingAfter = 0;
    StoreRevision revision = 1;
    LeaseId lastLease = 0;
    LeaseId endedLease = 0;
};

} // namespace Primrosefork
