#pragma once

#include "bufferbudget.h"
#include "callerlistener.h"
#include "eventloop.h"
#include "intake.h"
#include "memoryreturn.h"
#include "statesource.h"

#include <cstddef>
#include <cstdint>

namespace Primrosefork {

class EventLog;
class Metrics;

/**
 * Returns freed memory to the system after bursts, and reports what was refused
 * or closed because of the limits on callers.
 */
class IntakeController : public StateSource {
public:
    /** \a memory is the memory of the node in bytes. */
    IntakeController(EventLoop&, Intake&, BufferBudget&, const CallerListener&, std::size_t memory, Metrics&, const EventLog&);

    /** Starts the periodic checks and sets up the allocator of the process. */
    auto begin() -> void;

    /** Writes the present numbers to the metrics. */
    auto updateMetrics() -> void;

    [[nodiscard]] auto stateName() const -> std::string override { return "intake"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto countDescriptors() -> void;
    auto check() -> void;
    auto report(EventLoop::TimePoint now) -> void;

    Intake& intake;
    BufferBudget& buffers;
    const CallerListener& callers;
    Metrics& metrics;
    const EventLog& log;
    MemoryReturn memoryReturn;
    Timer timer;
    EventLoop::TimePoint lastReport;
    std::uint64_t reported = 0; ///< Number of refusals and closed connections that were reported.
    std::uint64_t returns = 0; ///< Number of times that memory was returned.
};

} // namespace Primrosefork
