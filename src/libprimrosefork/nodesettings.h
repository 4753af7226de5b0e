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
 * The credential of one operator who may use the administration API.
 */
struct OperatorCredential {
    std::string name;
    std::string keyHash; ///< Lower-case hexadecimal SHA-256 of the operator's key.
};

/**
 * One key that authenticates the messages between nodes.
 */
struct PeerKey {
    std::int64_t id = 0; ///< Id sent with each message, by which the receiver looks up the key.
    std::string secret; ///< The key as 64 lower-case hexadecimal digits.
};

/**
 * Limits on the resources that requests of callers use on a node.
 */
struct RequestLimits {
    std::size_t headerBytes = 16 * kibibyte;
    std::size_t bodyBytes = mebibyte;
    std::size_t answerBytes = 4 * mebibyte; ///< Largest body of an answer that is not streamed.
    std::size_t streamBufferBytes = 64 * kibibyte; ///< Bytes that a caller may leave unread before its stream is paused.
    std::int64_t openRequests = 4000;
    std::chrono::milliseconds readTimeout { 10'000 }; ///< Longest time without new bytes while a request is read.
    std::chrono::milliseconds writeTimeout { 60'000 }; ///< Longest time in which a caller reads nothing of its answer.
};

/**
 * Time limits of a node and the periods in which it polls other systems.
 */
struct Timeouts {
    std::chrono::milliseconds store { 2'000 };
    std::chrono::milliseconds backendConnect { 1'000 };
    std::chrono::milliseconds backendFirstByte { 30'000 };
    std::chrono::milliseconds backendIdle { 2'000 }; ///< Longest time between two pieces of an answer.
    std::chrono::milliseconds drain { 25'000 }; ///< Longest time from the stop signal to the exit of the node.
    std::chrono::milliseconds instancePoll { 1'000 };
    std::chrono::milliseconds loadPoll { 500 };
    std::chrono::milliseconds noticePoll { 500 };
    std::chrono::milliseconds watch { 2'000 }; ///< Longest wait of one watch of the store; a watch without an answer fails after this time plus `store`.
};

/**
 * Settings of the claims, which prevent calls that are not idempotent from running twice.
 */
struct ClaimSettings {
    std::chrono::milliseconds retention { 86'400'000 }; ///< Shortest time for which the keys of calls are stored.
    std::chrono::milliseconds wait { 3'000 }; ///< Longest wait for the store before a call is refused.
    std::size_t answerBytes = 64 * kibibyte; ///< Largest body of a stored answer; a call with a larger one is not replayed.
};

/**
 * All settings of one node, as read from its settings file.
 */
struct NodeSettings {
    std::string id;
    std::string zone;
    std::string region;
    Address callers;
    Address operators;
    Address peers; ///< Address for peers, over UDP and TCP; port 0 when the node runs without peers.
    Address keyValueService;
    Address instanceList;
    Address cloudApi; ///< Address of the cloud API; port 0 when there is none.
    std::vector<Address> peerSeeds;
    std::vector<PeerKey> peerKeys; ///< Keys for messages between nodes: the first one signs, all of them verify.
    std::vector<OperatorCredential> operatorCredentials;
    RequestLimits limits;
    Timeouts timeouts;
    ClaimSettings claims;
    std::string routingPolicy = "product"; ///< Name of a routing policy that makeRoutingPolicy() supports.
    std::string logLevel = "info";
};

/**
 * Reads node settings from the JSON \a text and adds to \a findings everything
 * that is wrong with it. The result is valid only when no finding was added.
 */
[[nodiscard]] auto parseNodeSettings(std::string_view text, Findings& findings) -> NodeSettings;

} // namespace Primrosefork
