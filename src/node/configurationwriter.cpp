#include "configurationwriter.h"

#include "errors.h"
#include "hash.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace Primrosefork {

namespace {

constexpr std::size_t writeIdBytes = 16;
constexpr int maxSwaps = 8; ///< Limit on the swaps of one change, because a store that keeps returning stale revisions would be retried endlessly.

auto recordOf(const std::optional<StoreEntry>& entry) -> std::optional<ConfigurationRecord>
{
    return entry && entry->revision != 0 ? parseRecord(entry->value) : std::nullopt;
}

auto revisionOf(const std::optional<StoreEntry>& entry) -> StoreRevision
{
    return entry ? entry->revision : 0;
}

auto findEntry(const StoreListing& listing, const std::string& key) -> std::optional<StoreEntry>
{
    const auto found = std::find_if(listing.entries.begin(), listing.entries.end(), [&key](const StoreEntry& entry) { return entry.key == key; });
    return found == listing.entries.end() ? std::nullopt : std::optional(*found);
}

auto isService(const StoreEntry& entry) -> bool
{
    return entry.key.starts_with("config/services/");
}

/** Returns \a configuration updated with the newer records of \a listing, templates before the services made from them. */
auto withListing(Configuration configuration, const StoreListing& listing) -> Configuration
{
    Findings ignored;
    for (const auto isServicePass : { false, true }) {
        for (const auto& entry : listing.entries) {
            if (isService(entry) == isServicePass)
                applyRecord(configuration, entry.key, entry.value, ignored);
        }
    }
    return configuration;
}

auto templateKeyOf(const StoreEntry& entry) -> std::string
{
    const auto record = parseRecord(entry.value);
    return record && isService(entry) ? ConfigurationKeys::serviceTemplate(record->current.templateName) : "";
}

/** Returns the conflicts between the record at \a key and the other records of \a listing. */
auto findClashes(const StoreListing& listing, const std::string& key) -> Findings
{
    Configuration stored;
    Findings clashes;
    for (const auto isServicePass : { false, true }) {
        for (const auto& entry : listing.entries) {
            Findings recordFindings;
            if (isService(entry) != isServicePass || applyRecord(stored, entry.key, entry.value, recordFindings))
                continue;
            if (entry.key != key && templateKeyOf(entry) != key)
                continue;
            for (const auto& finding : recordFindings)
                clashes.push_back({ "/" + entry.key + finding.place, finding.message });
        }
    }
    checkReferences(stored, key, clashes);
    return clashes;
}

/**
 * One change that is being written to the store. Its pending callbacks share
 * ownership of it.
 */
class ChangeOperation : public std::enable_shared_from_this<ChangeOperation> {
public:
    ChangeOperation(EventLoop& loop, KeyValueStore& store, ConfigurationWriterOptions options, std::shared_ptr<const ConfigurationChange> change, ChangeOrigin origin)
        : store(store)
        , options(options)
        , change(std::move(change))
        , origin(std::move(origin))
        , timer(loop, [this] { this->readBack(); })
    {
    }

    auto begin(Configuration inForce, bool isRepeated) -> void;

    std::function<void(const ChangeReport&)> onDone;
    std::function<void(const StoreEntry&)> onAccepted;

private:
    auto listed(std::error_code, const StoreListing&) -> void;
    auto prepare(const std::optional<StoreEntry>&) -> void;
    auto resolveConflict() -> void;
    auto swap() -> void;
    auto swapped(std::error_code, const StoreSwapResult&) -> void;
    auto verify(StoreRevision written) -> void;
    auto undo(const ConfigurationRecord&, StoreRevision written) -> void;
    auto scheduleReadBack() -> void;
    auto readBack() -> void;
    auto entryRead(std::error_code, const std::optional<StoreEntry>&) -> void;
    auto accept(const std::string& value, StoreRevision) -> void;
    auto finish(ChangeOutcome) -> void;
    auto finishNotWritten() -> void;

    KeyValueStore& store;
    ConfigurationWriterOptions options;
    std::shared_ptr<const ConfigurationChange> change;
    ChangeOrigin origin;
    Timer timer;
    std::shared_ptr<ChangeOperation> self; ///< Keeps the operation alive while the timer runs.
    Configuration configuration;
    PreparedChange prepared;
    StoreSwap request; ///< The last swap, repeated as it is while its outcome is unknown.
    int swapCount = 0;
    bool mayBeWritten = false; ///< Whether a write with this write id may have reached the store.
    bool hasReadAgain = false; ///< Whether the record was read again after a conflict.
    std::optional<EventLoop::TimePoint> readBackDeadline; ///< Set by the first write without a reply.
};

auto ChangeOperation::begin(Configuration inForce, bool isRepeated) -> void
{
    this->configuration = std::move(inForce);
    this->mayBeWritten = isRepeated;
    this->store.list(std::string(ConfigurationKeys::prefix),
        [operation = this->shared_from_this()](std::error_code error, const StoreListing& listing) { operation->listed(error, listing); });
}

auto ChangeOperation::listed(std::error_code error, const StoreListing& listing) -> void
{
    if (error)
        return this->finishNotWritten();
    this->configuration = withListing(std::move(this->configuration), listing);
    this->prepare(findEntry(listing, this->change->key()));
}

auto ChangeOperation::prepare(const std::optional<StoreEntry>& entry) -> void
{
    auto record = recordOf(entry);
    // A store restored from a backup may hold an older revision than the one in force, or no record.
    const auto inForce = this->configuration.records.find(this->change->key());
    const auto known = inForce == this->configuration.records.end() ? std::nullopt : parseRecord(*inForce->second);
    if (known && (!record || record->current.revision < known->current.revision))
        record = known;

    this->prepared = prepareChange(*this->change, this->origin, record, this->configuration);
    switch (this->prepared.verdict) {
    case ChangeVerdict::AlreadyAccepted:
        this->request.value = formatRecord(this->prepared.record);
        return this->verify(revisionOf(entry));
    case ChangeVerdict::Invalid:
        return this->finish(ChangeOutcome::Invalid);
    case ChangeVerdict::Conflict:
        return this->resolveConflict();
    case ChangeVerdict::NotFound:
        return this->finish(ChangeOutcome::NotFound);
    case ChangeVerdict::Ready:
        this->request = { this->change->key(), revisionOf(entry), formatRecord(this->prepared.record), 0 };
        return this->swap();
    }
}

auto ChangeOperation::resolveConflict() -> void
{
    // When the base is newer than the record, either the store returned a stale record or the base never existed: read once more.
    const auto isOlder = this->prepared.record.current.revision < this->origin.base;
    if (!isOlder || std::exchange(this->hasReadAgain, true))
        return this->finish(ChangeOutcome::Conflict);
    this->store.get(this->change->key(), [operation = this->shared_from_this()](std::error_code error, const std::optional<StoreEntry>& entry) {
        if (error)
            return operation->finishNotWritten();
        operation->prepare(entry);
    });
}

auto ChangeOperation::swap() -> void
{
    if (++this->swapCount > maxSwaps)
        return this->finishNotWritten();
    this->store.compareAndSwap(this->request,
        [operation = this->shared_from_this()](std::error_code error, const StoreSwapResult& result) { operation->swapped(error, result); });
}

auto ChangeOperation::swapped(std::error_code error, const StoreSwapResult& result) -> void
{
    if (error == Error::ConnectionFailed && !this->mayBeWritten)
        return this->finishNotWritten();
    if (error) {
        this->mayBeWritten = true;
        return this->scheduleReadBack();
    }
    if (result.isSwapped)
        return this->verify(result.current.revision);
    this->prepare(result.current);
}

auto ChangeOperation::verify(StoreRevision written) -> void
{
    this->store.list(std::string(ConfigurationKeys::prefix), [operation = this->shared_from_this(), written](std::error_code error, const StoreListing& listing) {
        // When the listing fails, the change is accepted unchecked: nodes do not put clashing records in force.
        auto clashes = error ? Findings {} : findClashes(listing, operation->change->key());
        const auto entry = findEntry(listing, operation->change->key());
        const auto record = recordOf(entry);
        if (clashes.empty() || !record || record->current.writeId != operation->origin.writeId)
            return operation->accept(operation->request.value, written);
        operation->prepared.findings = std::move(clashes);
        operation->undo(*record, entry->revision);
    });
}

auto ChangeOperation::undo(const ConfigurationRecord& record, StoreRevision written) -> void
{
    const auto value = formatRecord(undoLastVersion(record, randomHex(writeIdBytes)));
    this->store.compareAndSwap({ this->change->key(), written, value, 0 },
        [operation = this->shared_from_this(), value, written](std::error_code error, const StoreSwapResult& result) {
            if (error)
                return operation->finish(ChangeOutcome::Unknown);
            if (!result.isSwapped)
                return operation->accept(operation->request.value, written); // Another change was based on this one, which therefore stays.
            operation->onAccepted({ operation->change->key(), value, result.current.revision });
            operation->finish(ChangeOutcome::Invalid);
        });
}

auto ChangeOperation::scheduleReadBack() -> void
{
    const auto now = EventLoop::now();
    if (!this->readBackDeadline)
        this->readBackDeadline = now + this->options.readBackTimeout;
    if (now >= *this->readBackDeadline)
        return this->finish(ChangeOutcome::Unknown);
    this->self = this->shared_from_this();
    this->timer.start(this->options.readBackDelay);
}

auto ChangeOperation::readBack() -> void
{
    const auto operation = std::exchange(this->self, nullptr);
    this->store.get(this->request.key,
        [operation](std::error_code error, const std::optional<StoreEntry>& entry) { operation->entryRead(error, entry); });
}

auto ChangeOperation::entryRead(std::error_code error, const std::optional<StoreEntry>& entry) -> void
{
    if (error)
        return this->scheduleReadBack();
    // The first write may still take effect. Repeating the same swap is safe, as only one of them can succeed.
    if (revisionOf(entry) == this->request.expected)
        return this->swap();
    this->prepare(entry);
}

auto ChangeOperation::accept(const std::string& value, StoreRevision revision) -> void
{
    this->onAccepted({ this->change->key(), value, revision });
    this->finish(ChangeOutcome::Accepted);
}

auto ChangeOperation::finish(ChangeOutcome outcome) -> void
{
    this->onDone({ outcome, this->prepared.version, this->prepared.record.current, this->prepared.findings });
}

auto ChangeOperation::finishNotWritten() -> void
{
    this->finish(this->mayBeWritten ? ChangeOutcome::Unknown : ChangeOutcome::NotAccepted);
}

} // namespace

ConfigurationWriter::ConfigurationWriter(EventLoop& loop, KeyValueStore& store, const Blackboard& blackboard, const ConfigurationWriterOptions& options)
    : loop(loop)
    , store(store)
    , blackboard(blackboard)
    , options(options)
{
}

auto ConfigurationWriter::submit(std::shared_ptr<const ConfigurationChange> change, const ChangeOrigin& origin, bool isRepeated, Handler handler) -> void
{
    const auto operation = std::make_shared<ChangeOperation>(this->loop, this->store, this->options, std::move(change), origin);
    operation->onAccepted = [this](const StoreEntry& entry) { this->recordAccepted.emit(entry); };
    operation->onDone = std::move(handler);
    operation->begin(this->blackboard.configuration.value(), isRepeated);
}

} // namespace Primrosefork
