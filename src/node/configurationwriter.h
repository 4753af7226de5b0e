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

/** How an operator's change came out. */
enum class ChangeOutcome {
    Accepted, ///< It is durable.
    Invalid,
    Conflict, ///< The record is not at the base revision.
    NotFound,
    NotAccepted, ///< It did not take effect and never will.
    Unknown, ///< It may have taken effect, or may still do so; asking again with the same write id tells.
};

/** What the operator is told of a change. */
struct ChangeReport {
    ChangeOutcome outcome = ChangeOutcome::Unknown;
    RecordVersion version; ///< The version that the change made, or would have made.
    RecordVersion inForce; ///< What it conflicts with.
    Findings findings;
};

/** How long a writer goes on to find out whether a write took effect. */
struct ConfigurationWriterOptions {
    std::chrono::milliseconds settleTime { 5'000 };
    std::chrono::milliseconds settleDelay { 200 }; ///< Between two looks.
};

/**
 * Brings operators' changes into the store, each by a compare-and-swap.
 *
 * A change is accepted only when it is durable. When the reply to a write is
 * lost, the record is read back and its write id compared. The swap is repeated
 * only against the same revision of the store, where at most one of the two can
 * take effect.
 *
 * Two changes of a template and of a service made from it are two records, and
 * each may be valid by itself. So everything is listed again after the write: of
 * two that clash at least one sees the other, and is undone as a new revision.
 */
class ConfigurationWriter {
public:
    using Handler = std::function<void(const ChangeReport&)>;

    ConfigurationWriter(EventLoop&, KeyValueStore&, const Blackboard&, const ConfigurationWriterOptions&);

    /**
     * Makes \a change and calls \a handler with the outcome, from the loop.
     * \a isRepeated says that the write id may have been used before, so that an
     * earlier write of it may still be under way.
     */
    auto submit(std::shared_ptr<const ConfigurationChange> change, const ChangeOrigin& origin, bool isRepeated, Handler handler) -> void;

    /** Emitted with a record once it is durable, before the operator is told. */
    sigc::signal<void, const StoreEntry&> recordAccepted;

private:
    EventLoop& loop;
    KeyValueStore& store;
    const Blackboard& blackboard;
    ConfigurationWriterOptions options;
};

} // namespace Primrosefork
