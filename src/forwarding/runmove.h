#pragma once

#include "backendserver.h"
#include "eventloop.h"
#include "runmover.h"

#include <optional>
#include <string>
#include <system_error>

namespace Primrosefork {

/**
 * The move of one attempt's run to another engine: the call to the engine that
 * runs it, and the copy from which it continues.
 */
class RunMove {
public:
    /** Notes that the engine was asked to move the run to \a destination. */
    auto begin(const BackendServer& destination) -> void;

    /** Notes the result of the call to the engine \a source. */
    auto end(std::error_code error, const MoveResult& result, const BackendServer& source, EventLoop::TimePoint now) -> void;

    /** Notes that the engine has sent an event of the run. */
    auto eventReceived(EventLoop::TimePoint now) -> void;

    [[nodiscard]] auto wasRequested() const -> bool { return this->target.has_value(); }

    /** Returns whether the result of the call is outstanding. */
    [[nodiscard]] auto isPending() const -> bool { return this->isCalling; }

    /** Returns whether the call may have stopped the run without leaving a copy that is known. */
    [[nodiscard]] auto mayHaveStoppedRun() const -> bool { return this->unconfirmedSince.has_value(); }

    /** Returns the name of the copy that the stopped run left, or nothing. */
    [[nodiscard]] auto copy() const -> const std::optional<std::string>& { return this->copyName; }

    /** Returns the engine that holds the copy, or to which the run is being moved. */
    [[nodiscard]] auto destination() const -> const std::optional<BackendServer>& { return this->target; }

private:
    std::optional<BackendServer> target;
    std::optional<std::string> copyName;
    std::optional<EventLoop::TimePoint> unconfirmedSince; ///< Time at which the call ended without telling whether it stopped the run.
    bool isCalling = false;
};

} // namespace Primrosefork
