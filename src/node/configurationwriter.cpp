#include "configurationwriter.h"

#include "errors.h"
#include "hash.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace Primrosefork {

namespace {

constexpr std::size_t writeIdBytes = 16;
constexpr int maxSwaps = 8; ///< Against a store that keeps answering with older revisions.

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

/** Returns \a configuration with the records of \a listing that are newer. */
auto withListing(Configuration configuration, const StoreListing& listing) -> Configuration
{
    Findings ignored;
    for (const auto services : { false, true }) {
        for (const auto& entry : listing.entries) {
            if (isService(entry) == services)
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

/** Returns where the record at \a key clashes with the others of \a listing. */
auto findClashes(const StoreListing& listing, const std::string& key) -> Findings
{
    Configuration stored;
    Findings clashes;
    for (const auto services : { false, true }) {
        for (const auto& entry : listing.entries) {
            Findings own;
            if (isService(entry) != services || applyRecord(stored, entry.key, entry.value, own))
                continue;
            if (entry.key != key && templateKeyOf(entry) != key)
                continue;
            for (const auto& finding : own)
                clashes.push_back({ "/" + entry.key + finding.place, finding.message });
        }
    }
    checkReferences(stored, key, clashes);
    return clashes;
}

/**
 * One change on its way into the store. Its callbacks keep it.
 */
class ChangeRun : public std::enable_shared_from_this<ChangeRun> {
public:
    ChangeRun(EventLoop& loop, KeyValueStore& store, ConfigurationWriterOptions options, std::shared_ptr<const ConfigurationChange> change, ChangeOrigin origin)
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
    auto conflicted() -> void;
    auto swap() -> void;
    auto swapped(std::error_code, const StoreSwapResult&) -> void;
    auto verify(StoreRevision written) -> void;
    auto undo(const ConfigurationRecord&, StoreRevision written) -> void;
    auto settle() -> void;
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
    std::shared_ptr<ChangeRun> self; ///< While the timer runs.
    Configuration configuration;
    PreparedChange prepared;
    StoreSwap request;
    int swaps = 0;
    bool mayBeWritten = false;
    bool hasReadAgain = false;
    std::optional<EventLoop::TimePoint> settleEnd;
};

auto ChangeRun::begin(Configuration inForce, bool isRepeated) -> void
{
    this->configuration = std::move(inForce);
    this->mayBeWritten = isRepeated;
    this->store.list(std::string(ConfigurationKeys::all),
        [run = this->shared_from_this()](std::error_code error, const StoreListing& listing) { run->listed(error, listing); });
}

auto ChangeRun::listed(std::error_code error, const StoreListing& listing) -> void
{
    if (error)
        return this->finishNotWritten();
    this->configuration = withListing(std::move(this->configuration), listing);
    this->prepare(findEntry(listing, this->change->key()));
}

auto ChangeRun::prepare(const std::optional<StoreEntry>& entry) -> void
{
    auto record = recordOf(entry);
    // A store that was restored from an older copy may hold less than what is in force.
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
        return this->conflicted();
    case ChangeVerdict::NotFound:
        return this->finish(ChangeOutcome::NotFound);
    case ChangeVerdict::Ready:
        this->request = { this->change->key(), revisionOf(entry), formatRecord(this->prepared.record), 0 };
        return this->swap();
    }
}

auto ChangeRun::conflicted() -> void
{
    // A base newer than the record: either the store answered with an older one, or nobody made the base.
    const auto isOlder = this->prepared.record.current.revision < this->origin.base;
    if (!isOlder || std::exchange(this->hasReadAgain, true))
        return this->finish(ChangeOutcome::Conflict);
    this->store.get(this->change->key(), [run = this->shared_from_this()](std::error_code error, const std::optional<StoreEntry>& entry) {
        if (error)
            return run->finishNotWritten();
        run->prepare(entry);
    });
}

auto ChangeRun::swap() -> void
{
    if (++this->swaps > maxSwaps)
        return this->finishNotWritten();
    this->store.compareAndSwap(this->request,
        [run = this->shared_from_this()](std::error_code error, const StoreSwapResult& result) { run->swapped(error, result); });
}

auto ChangeRun::swapped(std::error_code error, const StoreSwapResult& result) -> void
{
    if (error == Error::ConnectionFailed && !this->mayBeWritten)
        return this->finishNotWritten();
    if (error) {
        this->mayBeWritten = true;
        return this->settle();
    }
    if (result.isSwapped)
        return this->verify(result.current.revision);
    this->prepare(result.current);
}

auto ChangeRun::verify(StoreRevision written) -> void
{
    this->store.list(std::string(ConfigurationKeys::all), [run = this->shared_from_this(), written](std::error_code error, const StoreListing& listing) {
        // Nodes keep records that clash out of force; without an answer this is left to them.
        auto clashes = error ? Findings {} : findClashes(listing, run->change->key());
        const auto entry = findEntry(listing, run->change->key());
        const auto record = recordOf(entry);
        if (clashes.empty() || !record || record->current.writeId != run->origin.writeId)
            return run->accept(run->request.value, written);
        run->prepared.findings = std::move(clashes);
        run->undo(*record, entry->revision);
    });
}

auto ChangeRun::undo(const ConfigurationRecord& record, StoreRevision written) -> void
{
    const auto value = formatRecord(undoLastVersion(record, randomHex(writeIdBytes)));
    this->store.compareAndSwap({ this->change->key(), written, value, 0 },
        [run = this->shared_from_this(), value, written](std::error_code error, const StoreSwapResult& result) {
            if (error)
                return run->finish(ChangeOutcome::Unknown);
            if (!result.isSwapped)
                return run->accept(run->request.value, written); // Another change was made on top of this one.
            run->onAccepted({ run->change->key(), value, result.current.revision });
            run->finish(ChangeOutcome::Invalid);
        });
}

auto ChangeRun::settle() -> void
{
    const auto now = EventLoop::now();
    if (!this->settleEnd)
        this->settleEnd = now + this->options.settleTime;
    if (now >= *this->settleEnd)
        return this->finish(ChangeOutcome::Unknown);
    this->self = this->shared_from_this();
    this->timer.start(this->options.settleDelay);
}

auto ChangeRun::readBack() -> void
{
    const auto run = std::exchange(this->self, nullptr);
    this->store.get(this->request.key,
        [run](std::error_code error, const std::optional<StoreEntry>& entry) { run->entryRead(error, entry); });
}

auto ChangeRun::entryRead(std::error_code error, const std::optional<StoreEntry>& entry) -> void
{
    if (error)
        return this->settle();
    // The first write may still be under way: only the same swap again settles it.
    if (revisionOf(entry) == this->request.expected)
        return this->swap();
    this->prepare(entry);
}

auto ChangeRun::accept(const std::string& value, StoreRevision revision) -> void
{
    this->onAccepted({ this->change->key(), value, revision });
    this->finish(ChangeOutcome::Accepted);
}

auto ChangeRun::finish(ChangeOutcome outcome) -> void
{
    this->onDone({ outcome, this->prepared.version, this->prepared.record.current, this->prepared.findings });
}

auto ChangeRun::finishNotWritten() -> void
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
    const auto run = std::make_shared<ChangeRun>(this->loop, this->store, this->options, std::move(change), origin);
    run->onAccepted = [this](const StoreEntry& entry) { this->recordAccepted.emit(entry); };
    run->onDone = std::move(handler);
    run->begin(this->blackboard.configuration.value(), isRepeated);
}

} // namespace Primrosefork
