#pragma once

#include "blackboard.h"
#include "configurationchange.h"
#include "eventloop.h"
#include "keyvaluestore.h"

#include <chrono>
#include <functional>
#include <memory>
#include <sigc++/signal.h>
#include <string>

namespace Primrosefork {

/** The outcome of an operator's change. */
enum class ChangeOutcome {
    Accepted, ///< The change is durable in the store.
    Invalid, ///< The change breaks a rule of the configuration; it was not written, or was undone.
    Conflict, ///< The record is not at the base revision.
    NotFound, ///< There is no record to change.
    NotAccepted, ///< The change did not take effect and never will.
    Unknown, ///< The change may have taken effect or may still do so; repeating it with the same write id resolves this.
};

/** The result of a change, as reported to the operator. */
struct ChangeReport {
    ChangeOutcome outcome = ChangeOutcome::Unknown;
    RecordVersion version; ///< The version that the change made, or would have made if it had been accepted.
    RecordVersion inForce; ///< The current version of the record, which a conflicting change was not based on.
    Findings findings;
};

/** Time limits for finding out whether a write with a lost reply took effect. */
struct ConfigurationWriterOptions {
    std::chrono::milliseconds readBackTimeout { 5'000 }; ///< Time after the first failed write until the outcome is reported as unknown.
    std::chrono::milliseconds readBackDelay { 200 }; ///< Pause before each read of the record.
};

/**
 * Writes operators' changes to the store, each with a compare-and-swap.
 *
 * A change is accepted only when it is durable. When the reply to a write is
 * lost, the record is read back and its write id compared. The swap is repeated
 * only against the same store revision, so that at most one of the two attempts
 * can take effect.
 *
 * A template and a service made from it are separate records, so concurrent
 * changes to both can each be valid and still clash. All records are therefore
 * listed again after the write: at least one of two clashing changes finds the
 * other one, and is undone by a new revision.
 */
class ConfigurationWriter {
public:
    using Handler = std::function<void(const ChangeReport&)>;

    ConfigurationWriter(EventLoop&, KeyValueStore&, const Blackboard&, const ConfigurationWriterOptions&);

    /**
     * Writes \a change, made by \a origin, and calls \a handler with the result
     * from the event loop. \a isRepeated tells that the write id may have been
     * used before, so that an earlier write with it may still take effect.
     */
    auto submit(std::shared_ptr<const ConfigurationChange> change, const ChangeOrigin& origin, bool isRepeated, Handler handler) -> void;

    /** Emitted with a record that has become durable, before the handler of its change is called. */
    sigc::signal<void, const StoreEntry&> recordAccepted;

private:
    EventLoop& loop;
    KeyValueStore& store;
    const Blackboard& blackboard;
    ConfigurationWriterOptions options;
};

} // namespace Primrosefork
