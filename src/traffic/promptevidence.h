#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Primrosefork {

constexpr std::chrono::milliseconds evidenceSlot { 500 }; ///< Time over which attempts are counted together.
constexpr std::size_t evidenceSlots = 120; ///< Number of slots that are reported, the newest first; they cover the lifetime of the evidence.
constexpr std::chrono::seconds evidenceLifetime { 60 }; ///< Time after which losses and begins of a prompt part are forgotten.
constexpr std::chrono::milliseconds sameCrashTime { 500 }; ///< Losses at one server within this time count as one crash.

constexpr std::size_t maxReportedSuspects = 32;
constexpr std::size_t maxReportedLosses = 8; ///< Per suspect.
constexpr std::size_t maxReportedCrashes = 48;
constexpr std::size_t maxQuestionedParts = 32;
constexpr std::size_t maxQuarantinedParts = 64;

/** An attempt that was lost before its answer had begun and gone on for a while. */
struct PromptLoss {
    std::uint32_t server = 0; ///< Hash of the server's id.
    std::chrono::milliseconds age { 0 };
};

/** A prompt part with the losses of requests that have it, since such a request last began. */
struct PromptSuspect {
    std::uint64_t part = 0;
    std::uint8_t position = 0; ///< Largest position of the part in the prompts of the lost requests.
    std::vector<PromptLoss> losses; ///< The newest first.
};

/** Attempts of a service that were lost at one server at about the same time. */
struct ServerCrash {
    std::uint32_t server = 0; ///< Hash of the server's id.
    std::chrono::milliseconds age { 0 };
    std::uint16_t losses = 0; ///< Number of attempts.
};

/** The last begin of a request with a part that is in question. */
struct PromptBegin {
    std::uint64_t part = 0;
    std::optional<std::chrono::milliseconds> age; ///< Nothing when no begin is known.
};

/** A prompt part whose requests are refused. */
struct QuarantinedPart {
    std::uint64_t part = 0;
    std::chrono::milliseconds left { 0 }; ///< Time until it is released.
};

/** What one node knows about the prompts that were sent to one service. */
struct PromptEvidence {
    std::string service;
    std::vector<std::uint16_t> begun; ///< Attempts whose answer began, by slot.
    std::vector<std::uint16_t> lost; ///< Attempts that were lost before, by slot.
    std::vector<ServerCrash> crashes; ///< The newest first.
    std::vector<PromptSuspect> suspects; ///< The ones with most losses first.
    std::vector<PromptBegin> begins; ///< One for each part that the leader has put in question.
    std::vector<QuarantinedPart> quarantined; ///< Parts that the node refuses.
};

/** The leader's decisions about the prompts of one service. */
struct PromptVerdict {
    std::string service;
    std::vector<std::uint64_t> questioned; ///< Parts whose last begin the nodes have to report.
    std::vector<QuarantinedPart> quarantined;
};

} // namespace Primrosefork
