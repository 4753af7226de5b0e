#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Primrosefork {

/**
 * Progress of a call that is not idempotent.
 */
enum class ClaimState {
    Claimed, ///< A node has claimed the call and may have sent it.
    NotRun, ///< The node that claimed the call sent no byte of it; the call may be claimed again.
    Answered, ///< A backend server answered the call.
    Unknown, ///< The call was sent and its answer was lost; this state is final.
};

/** The answer of a backend server, stored so that it can be replayed when the caller repeats the call. */
struct KeptAnswer {
    int status = 0;
    std::string contentType;
    std::string body;
    bool isComplete = true; ///< False when the body was too large to be stored and was left out.

    auto operator==(const KeptAnswer&) const -> bool = default;
};

/**
 * The claim of one call as stored in the key-value service, written before the
 * call is sent and again when its outcome is known.
 */
struct ClaimRecord {
    ClaimState state = ClaimState::Claimed;
    std::string node; ///< Id of the node that wrote the record.
    std::string writeId; ///< Random id by which the writer recognizes that a write took effect although its reply was lost.
    std::string digest; ///< Digest of route and body; a record with the same key and another digest belongs to another call.
    std::chrono::milliseconds remaining { 0 }; ///< Time from the claim to the deadline of the call, after which the node sends nothing.
    KeptAnswer answer; ///< Valid only in the state Answered.

    auto operator==(const ClaimRecord&) const -> bool = default;
};

/** Returns the store key of the claim of the call with the caller's \a requestKey. */
[[nodiscard]] auto claimKey(const std::string& workspace, const std::string& service, std::string_view requestKey) -> std::string;

/** Returns a digest of \a route and \a body, which differs between two calls that were sent with the same key. */
[[nodiscard]] auto callDigest(const std::string& route, const std::string& body) -> std::string;

/** Returns \a answer; a body of more than \a maxBytes is left out and the answer marked accordingly. */
[[nodiscard]] auto dropOversizedBody(KeptAnswer answer, std::size_t maxBytes) -> KeptAnswer;

/** Returns \a record encoded as a value of the store. */
[[nodiscard]] auto encodeClaim(const ClaimRecord& record) -> std::string;

/** Returns the record encoded in the store's \a value, or nothing when it is not a valid record. */
[[nodiscard]] auto decodeClaim(std::string_view value) -> std::optional<ClaimRecord>;

} // namespace Primrosefork
