#pragma once

#include "configuration.h"
#include "httpmessage.h"
#include "refusal.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace Primrosefork {

/**
 * A caller's request whose credential, service, route and body were checked
 * against the configuration in force.
 */
struct CallerRequest {
    std::uint64_t id = 0; ///< Number of the request, unique on this node.
    std::string key; ///< Value of the Request-Key header; empty when the caller sent none.
    bool isRepeated = false; ///< Whether the caller sent this key before and does not know the outcome (Request-Repeat header).
    Workspace workspace;
    ServiceRecord service;
    Route route;
    std::chrono::steady_clock::time_point received;
    std::chrono::steady_clock::time_point deadline;
    std::string body;

    std::string prompt; ///< Prompt of a model request; this and the members below are set for model routes only.
    std::int64_t maxTokens = 0; ///< Largest number of tokens of the whole answer, including those before \a offset.
    std::int64_t offset = 0; ///< Offset of the first token that the caller has not received.
    std::string delivered; ///< Text of the tokens before \a offset, as the caller received it.
    bool isStreamed = false;
};

/** Returns the estimated number of tokens of \a text, at four bytes per token. */
[[nodiscard]] auto estimateTokens(std::string_view text) -> std::int64_t;

/**
 * Parses \a request and checks it against \a configuration. Returns the parsed
 * request, or the reason why it is refused.
 */
[[nodiscard]] auto parseCallerRequest(const HttpRequest& request, const Configuration& configuration,
    std::chrono::steady_clock::time_point now) -> std::variant<CallerRequest, Refusal>;

} // namespace Primrosefork
