#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Primrosefork {

/**
 * How far a call that is not idempotent has come.
 */
enum class ClaimState {
    Claimed, ///< A node has it and may have sent it.
    NotRun, ///< The node that had it sent no byte of it; it may be claimed again.
    Answered, ///< A backend server answered it.
    Unknown, ///< It was sent and its answer was lost; this never changes.
};

/** The answer of a backend server as it is kept for later asks. */
struct KeptAnswer {
    int status = 0;
    std::string contentType;
    std::string body;
    bool isWhole = true; ///< False when the body was too large to be kept.

    auto operator==(const KeptAnswer&) const -> bool = default;
};

/**
 * The record of one call in the key-value service, written before the call is
 * sent and again when its outcome is known.
 */
struct ClaimRecord {
    ClaimState state = ClaimState::Claimed;
    std::string node; ///< Which wrote the record.
    std::string writeId; ///< Random, tells the writer that a write with a lost reply took effect.
    std::string digest; ///< Of route and body; the same key with another digest is another call.
    std::chrono::milliseconds remaining { 0 }; ///< From the claim to the deadline after which its node sends nothing.
    KeptAnswer answer; ///< Of use in the state Answered.

    auto operator==(const ClaimRecord&) const -> bool = default;
};

/** Returns where the claim of a caller's \a requestKey stands in the store. */
[[nodiscard]] auto claimKey(const std::string& workspace, const std::string& service, std::string_view requestKey) -> std::string;

/** Returns the digest that tells two calls with the same key apart. */
[[nodiscard]] auto callDigest(const std::string& route, const std::string& body) -> std::string;

/** Returns \a answer without its body when that is larger than \a mostBytes. */
[[nodiscard]] auto limitAnswer(KeptAnswer answer, std::size_t mostBytes) -> KeptAnswer;

/** Returns \a record as the value that stands in the store. */
[[nodiscard]] auto encodeClaim(const ClaimRecord& record) -> std::string;

/** Returns the record that \a value holds, or nothing when it is not one. */
[[nodiscard]] auto decodeClaim(std::string_view value) -> std::optional<ClaimRecord>;

} // namespace Primrosefork
