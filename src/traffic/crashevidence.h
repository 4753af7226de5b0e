#pragma once

#include "promptevidence.h"
#include "promptpart.h"

#include <array>
#include <chrono>
#include <deque>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Primrosefork {

/**
 * Collects on one node which prompt parts the lost attempts had, and which
 * parts are cleared because a server began to answer a request with them.
 *
 * The last part of a prompt is a request's own and is not considered.
 */
class CrashEvidence {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /** Adds an attempt with \a parts that \a server lost before the answer had begun and gone on for a while. */
    auto attemptLost(const std::string& service, std::span<const PromptPart> parts, std::string_view server, TimePoint now) -> void;

    /** Adds an attempt with \a parts whose answer began, and was completed or has gone on for a while. */
    auto attemptBegan(const std::string& service, std::span<const PromptPart> parts, TimePoint now) -> void;

    /** Replaces the parts that the leader has put in question by those in its \a verdicts. */
    auto setQuestioned(const std::vector<PromptVerdict>& verdicts) -> void;

    /** Returns the evidence for the leader; services without suspects and questions are left out. */
    auto report(TimePoint now) -> std::vector<PromptEvidence>;

    [[nodiscard]] auto dumpState(TimePoint now) const -> nlohmann::json;

private:
    struct Loss {
        std::uint32_t server = 0;
        TimePoint moment;
    };

    struct Suspect {
        std::uint8_t position = 0;
        std::deque<Loss> losses; ///< The newest first.
    };

    struct Crash {
        std::uint32_t server = 0;
        TimePoint moment; ///< Time of its first loss.
        std::uint16_t losses = 0;
    };

    struct Slot {
        std::int64_t number = -1; ///< Number of the slot since the clock's epoch.
        std::uint16_t begun = 0;
        std::uint16_t lost = 0;
    };

    struct Service {
        std::map<std::uint64_t, Suspect> suspects;
        std::unordered_map<std::uint64_t, TimePoint> lastBegins;
        std::deque<Crash> crashes; ///< The newest first.
        std::array<Slot, evidenceSlots> slots;
        std::vector<std::uint64_t> questioned;
        std::size_t pruneSize = 0; ///< Number of begins at which old ones are removed.
    };

    static auto slotAt(Service&, TimePoint now) -> Slot&;
    static auto addCrash(Service&, std::uint32_t server, TimePoint now) -> void;
    static auto limitSuspects(Service&) -> void;
    static auto pruneBegins(Service&, TimePoint now) -> void;
    static auto expire(Service&, TimePoint now) -> void;
    static auto reportOf(const std::string& name, const Service&, TimePoint now) -> PromptEvidence;

    std::map<std::string, Service> services;
};

} // namespace Primrosefork
