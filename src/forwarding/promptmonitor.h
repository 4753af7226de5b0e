#pragma once

#include "promptpart.h"

#include <chrono>
#include <optional>
#include <span>
#include <string>

namespace Primrosefork {

/** Records which prompts servers lost or began to answer, and knows which prompt parts are under quarantine. */
class PromptMonitor {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    virtual ~PromptMonitor() = default;

    /** Called when the server \a serverId lost an attempt before its answer had begun and gone on for a while. */
    virtual auto attemptLost(const std::string& service, std::span<const PromptPart> parts, const std::string& serverId, TimePoint now) -> void = 0;

    /** Called when an answer that a server began is complete or has gone on for a while. */
    virtual auto attemptBegan(const std::string& service, std::span<const PromptPart> parts, TimePoint now) -> void = 0;

    /** Returns the time until requests with \a parts may be sent to \a service, or nothing when none of the parts is under quarantine. */
    [[nodiscard]] virtual auto quarantineLeft(const std::string& service, std::span<const PromptPart> parts, TimePoint now) const -> std::optional<std::chrono::milliseconds> = 0;
};

} // namespace Primrosefork
