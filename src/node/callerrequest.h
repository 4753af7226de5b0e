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
 * A caller's request after its credential, service, route and body were
 * checked against the configuration in force.
 */
struct CallerRequest {
    std::uint64_t id = 0; ///< Unique on this node.
    std::string key; ///< The caller's own name for the request; empty when it gave none.
    bool isRepeated = false; ///< The caller has asked with this key before and does not know the outcome.
    Workspace workspace;
    ServiceRecord service;
    Route route;
    std::chrono::steady_clock::time_point received;
    std::chrono::steady_clock::time_point deadline;
    std::string body;

    std::string prompt; ///< Of a model route, like the rest below.
    std::int64_t maxTokens = 0;
    std::int64_t offset = 0; ///< First token that the caller does not have.
    std::string delivered; ///< Text of the tokens before \a offset.
    bool isStreamed = false;
};

/** Returns how many tokens \a text has, by the usual estimate of four bytes a token. */
[[nodiscard]] auto estimateTokens(std::string_view text) -> std::int64_t;

/**
 * Checks \a request against \a configuration. Returns what it asks for, or why
 * it is refused.
 */
[[nodiscard]] auto parseCallerRequest(const HttpRequest& request, const Configuration& configuration,
    std::chrono::steady_clock::time_point now) -> std::variant<CallerRequest, Refusal>;

} // namespace Primrosefork
