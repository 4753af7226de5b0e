#pragma once

#include "eventloop.h"
#include "httpserver.h"

#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>

namespace Primrosefork {

/**
 * The faults that a stand-in injects, set by POST /control.
 */
struct Faults {
    std::chrono::milliseconds delay { 0 }; ///< Delay before each response.
    bool isDown = false; ///< Every call is answered with status 503.
    bool isSilent = false; ///< Calls are accepted and never answered.
    std::chrono::milliseconds replyDelay { 0 }; ///< Delay between the effect of a write and its reply.
    std::int64_t lostReplies = 0; ///< Number of following writes that take effect and whose replies are lost.

    /** Sets the faults that \a json contains and keeps the others. */
    auto update(const nlohmann::json& json) -> void;
};

/** Calls \a task after the delay of \a faults. */
auto afterDelay(EventLoop& loop, const Faults& faults, std::function<void()> task) -> void;

/** Calls \a task after \a delay, or at once when it is zero. */
auto afterDelay(EventLoop& loop, std::chrono::milliseconds delay, std::function<void()> task) -> void;

} // namespace Primrosefork
