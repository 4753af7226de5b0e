#include "intakecontroller.h"

#include "descriptorlimit.h"
#include "eventlog.h"
#include "metrics.h"

#include <algorithm>
#include <malloc.h>
#include <nlohmann/json.hpp>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto checkPeriod = 500ms;
constexpr auto reportInterval = 10s; ///< Shortest time between two log lines, as callers decide how much is refused.
constexpr std::size_t returnDivisor = 32; ///< Memory is returned when the buffers have shrunk by the memory of the node divided by this.
constexpr std::size_t countedDivisor = 2; ///< Descriptors are counted while connections take the limit divided by this.
constexpr int mappedBytes = 131'072; ///< Allocations of this size are returned to the system when they are freed.

} // namespace

IntakeController::IntakeController(EventLoop& loop, Intake& intake, BufferBudget& buffers, const CallerListener& callers, std::size_t memory, Metrics& metrics, const EventLog& log)
    : intake(intake)
    , buffers(buffers)
    , callers(callers)
    , metrics(metrics)
    , log(log)
    , memoryReturn(memory / returnDivisor)
    , timer(loop, [this] { this->check(); })
{
}

auto IntakeController::begin() -> void
{
    this->intake.descriptorLimit = callerDescriptorLimit(this->intake.settings, processDescriptorLimit());
    this->countDescriptors();
    // glibc raises the threshold to the size of each mapped block that is freed; large blocks would then stay in its heap.
    mallopt(M_MMAP_THRESHOLD, mappedBytes);
    this->timer.startRepeating(checkPeriod);
}

auto IntakeController::countDescriptors() -> void
{
    const auto open = openDescriptorCount();
    this->intake.otherDescriptors = open - std::min(open, this->callers.connectionCount());
}

auto IntakeController::check() -> void
{
    // Counting takes time for each open descriptor, and matters only when there are many connections.
    if (this->callers.connectionCount() > this->intake.descriptorLimit / countedDivisor)
        this->countDescriptors();
    const auto now = EventLoop::now();
    if (this->memoryReturn.isDue(this->buffers.size(), this->buffers.takePeak(), now)) {
        // Blocks that were freed below one still in use stay with the process until they are trimmed.
        malloc_trim(0);
        ++this->returns;
    }
    this->report(now);
}

auto IntakeController::report(EventLoop::TimePoint now) -> void
{
    const auto total = this->intake.refusedBodies + this->intake.slowBodies + this->intake.closedConnections + this->buffers.givenUpCount();
    if (total == this->reported || now - this->lastReport < reportInterval)
        return;
    this->log.write(Event::CallersLimited,
        { { "buffers_given_up", std::to_string(this->buffers.givenUpCount()) }, { "bodies_refused", std::to_string(this->intake.refusedBodies) },
            { "bodies_slow", std::to_string(this->intake.slowBodies) }, { "connections_closed", std::to_string(this->intake.closedConnections) },
            { "connections", std::to_string(this->callers.connectionCount()) }, { "buffered_bytes", std::to_string(this->buffers.size()) } });
    this->reported = total;
    this->lastReport = now;
}

auto IntakeController::updateMetrics() -> void
{
    this->metrics.setGauge("buffered_bytes", static_cast<double>(this->buffers.size()));
    this->metrics.setGauge("buffers_given_up", static_cast<double>(this->buffers.givenUpCount()));
    this->metrics.setGauge("intake_connections", static_cast<double>(this->callers.connectionCount()));
    this->metrics.setGauge("intake_admitted_bytes", static_cast<double>(this->intake.bodies.size()));
    this->metrics.setGauge("intake_bodies_refused", static_cast<double>(this->intake.refusedBodies));
    this->metrics.setGauge("intake_bodies_slow", static_cast<double>(this->intake.slowBodies));
    this->metrics.setGauge("intake_connections_closed", static_cast<double>(this->intake.closedConnections));
}

auto IntakeController::dumpState() const -> nlohmann::json
{
    return { { "connections", this->callers.connectionCount() }, { "descriptor_limit", this->intake.descriptorLimit }, { "buffered_bytes", this->buffers.size() },
        { "buffer_limit", this->buffers.limit() }, { "admitted_bytes", this->intake.bodies.size() }, { "buffers_given_up", this->buffers.givenUpCount() },
        { "bodies_refused", this->intake.refusedBodies }, { "bodies_slow", this->intake.slowBodies },
        { "connections_closed", this->intake.closedConnections }, { "memory_returns", this->returns } };
}

} // namespace Primrosefork
