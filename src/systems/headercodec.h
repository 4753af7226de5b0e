#pragma once

#include "backendserver.h"
#include "httpmessage.h"
#include "promptpart.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Primrosefork {

/** The fields of a caller's request that are transmitted in headers. */
struct CallerFields {
    std::string requestId; ///< Id of one attempt of the caller; it is never reused, so a retry has another one.
    std::optional<std::chrono::milliseconds> deadline; ///< Time left, from the receipt of the request, for which the caller waits.
    std::optional<std::string> credential;
    std::string model;
    bool hasTokenCounts = false;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0; ///< Largest number of output tokens.
    std::vector<PromptPart> promptParts; ///< Parts in the order of the prompt; requests with the same leading parts can share cached prefixes.
    std::optional<std::string> lastEventId; ///< Id of the last event that the caller received before its stream broke.
};

/** The fields of one attempt that a node sends to a backend server in headers. */
struct BackendFields {
    std::string serverId; ///< Id of the only server that may run the request.
    std::string workspace; ///< Name of the caller's workspace; empty when the route is public.
    std::chrono::milliseconds deadline { 0 }; ///< Time left until the deadline of the request.
    std::optional<std::int64_t> priority; ///< Priority from 0 (highest) to 9.
    std::optional<std::string> resumeAfter; ///< Id of the last event that the caller has; the server sends the events after it.
    std::optional<std::string> kvCacheSource; ///< Address of an engine and handle of the copy of the run's KV cache there, from which the run continues.
};

/** The fields of a backend server's answer that are transmitted in headers. */
struct ReplyFields {
    std::optional<std::string> requestId; ///< Id of the request that the answer belongs to.
    bool isSealed = false; ///< Whether the answer has the header that a server adds only when it ran the request.
    bool isNotRun = false; ///< Whether the server states that it did not run the request.
    bool isMisdirected = false; ///< Whether the address belongs to another server now, which did not run the request.
    std::optional<ObservedLoad> load; ///< Load of the server at the time of the answer.
    bool isServerLeaving = false; ///< Whether the server states that it leaves. Values that are not defined state nothing.
    std::optional<std::chrono::milliseconds> retryAfter; ///< Time, above zero, for which the server wants no requests, in a 503: the longest readable one. Values that are no number, not finite or not above zero ask for none.
    std::optional<double> rateLimit; ///< Requests per second, not negative, that the server takes from all nodes together: the lowest readable one. Nothing when it names no limit.
    bool hasUnreadableRateLimit = false; ///< Whether the server names a limit that is no number, not finite or negative.
};

/**
 * Encodes and decodes the headers by which callers, nodes and backend servers
 * exchange the fields of a request that HTTP itself does not define.
 */
class HeaderCodec {
public:
    virtual ~HeaderCodec() = default;

    /** Returns the fields in the \a headers of a caller's request. */
    [[nodiscard]] virtual auto readCaller(const HttpHeaders& headers) const -> CallerFields = 0;

    /** Returns the headers for a backend server: those of the caller's \a headers that may be forwarded, and \a fields. */
    [[nodiscard]] virtual auto backendHeaders(const HttpHeaders& headers, const BackendFields& fields) const -> HttpHeaders = 0;

    /** Returns the fields in the \a status and \a headers of a backend server's answer. */
    [[nodiscard]] virtual auto readReply(int status, const HttpHeaders& headers) const -> ReplyFields = 0;
};

} // namespace Primrosefork
