#pragma once

#include "eventloop.h"
#include "httpserver.h"

#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>

namespace Primrosefork {

/**
 * The faults that a stand-in is told to show, set by POST /control.
 */
struct Faults {
    std::chrono::milliseconds delay { 0 }; ///< Before each answer.
    bool isDown = false; ///< Every call gets status 503.
    bool isSilent = false; ///< Calls are taken and never answered.
    std::chrono::milliseconds replyDelay { 0 }; ///< Between the effect of a write and its reply.
    std::int64_t lostReplies = 0; ///< So many next writes take effect and their replies are lost.

    /** Takes over the fields that \a json names. */
    auto update(const nlohmann::json& json) -> void;
};

/** Calls \a task after the delay that \a faults ask for. */
auto afterDelay(EventLoop& loop, const Faults& faults, std::function<void()> task) -> void;

/** Calls \a task after \a delay. */
auto afterDelay(EventLoop& loop, std::chrono::milliseconds delay, std::function<void()> task) -> void;

} // namespace Primrosefork
