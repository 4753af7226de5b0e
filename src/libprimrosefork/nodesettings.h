#pragma once

#include "address.h"
#include "finding.h"
#include "units.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Primrosefork {

/**
 * One operator who may use the administration API.
 */
struct OperatorCredential {
    std::string name;
    std::string keyHash; ///< Lower-case hexadecimal SHA-256 of the operator's key.
};

/**
 * One key that authenticates the messages between nodes.
 */
struct PeerKey {
    std::int64_t id = 0; ///< Sent with each message; the receiver looks the key up by it.
    std::string secret; ///< 64 hexadecimal digits.
};

/**
 * The limits on what one caller's request may cost a node.
 */
struct RequestLimits {
    std::size_t headerBytes = 16 * kibibyte;
    std::size_t bodyBytes = mebibyte;
    std::size_t answerBytes = 4 * mebibyte; ///< Of an answer that is not streamed.
    std::size_t streamBufferBytes = 64 * kibibyte; ///< Unread by the caller before its stream is held back.
    std::int64_t openRequests = 4000;
    std::chrono::milliseconds readTimeout { 10'000 }; ///< For the bytes of one request.
    std::chrono::milliseconds writeTimeout { 60'000 }; ///< For a caller that reads nothing.
};

/**
 * How long a node waits for the systems around it.
 */
struct Timeouts {
    std::chrono::milliseconds store { 2'000 };
    std::chrono::milliseconds backendConnect { 1'000 };
    std::chrono::milliseconds backendFirstByte { 30'000 };
    std::chrono::milliseconds backendIdle { 2'000 }; ///< Between two pieces of a stream.
    std::chrono::milliseconds drain { 25'000 }; ///< From the stop signal to the end.
    std::chrono::milliseconds instancePoll { 1'000 };
    std::chrono::milliseconds loadPoll { 500 };
    std::chrono::milliseconds noticePoll { 500 };
    std::chrono::milliseconds watch { 2'000 }; ///< One waiting watch of the store; a silent one is noticed after this and `store`.
};

/**
 * How calls that are not idempotent are kept from running twice.
 */
struct ClaimSettings {
    std::chrono::milliseconds retention { 86'400'000 }; ///< Keys are remembered for this time at least.
    std::chrono::milliseconds wait { 3'000 }; ///< For the store, before a call is refused.
    std::size_t answerBytes = 64 * kibibyte; ///< Of an answer that is kept; a longer one is not repeated.
};

/**
 * Everything that one node reads from its settings file.
 */
struct NodeSettings {
    std::string id;
    std::string zone;
    std::string region;
    Address callers;
    Address operators;
    Address peers; ///< UDP and TCP; port 0 when the node runs without peers.
    Address keyValueService;
    Address instanceList;
    Address cloudApi; ///< Port 0 when there is none.
    std::vector<Address> peerSeeds;
    std::vector<PeerKey> peerKeys; ///< The first one signs; all of them verify.
    std::vector<OperatorCredential> operatorCredentials;
    RequestLimits limits;
    Timeouts timeouts;
    ClaimSettings claims;
    std::string routingPolicy = "product"; ///< Name of a policy that makeRoutingPolicy() knows.
    std::string logLevel = "info";
};

/**
 * Reads node settings from the JSON \a text and adds to \a findings everything
 * that is wrong with it. The result is of use only when nothing was added.
 */
[[nodiscard]] auto parseNodeSettings(std::string_view text, Findings& findings) -> NodeSettings;

} // namespace Primrosefork
