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

/** What a caller says of its request in headers. */
struct CallerFields {
    std::string requestId; ///< Of one attempt of the caller; never used again.
    std::optional<std::chrono::milliseconds> deadline; ///< How long the caller waits, from now.
    std::optional<std::string> credential;
    std::string model;
    bool hasTokenCounts = false;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0; ///< At most.
    std::vector<PromptPart> promptParts; ///< In order; parts that begin alike can be shared.
    std::optional<std::string> lastEventId; ///< The caller has the stream up to this event.
};

/** What a node tells a backend server about one attempt. */
struct BackendFields {
    std::string serverId; ///< No other server may run the request.
    std::string workspace; ///< Empty when the route is public.
    std::chrono::milliseconds deadline { 0 }; ///< Time left.
    std::optional<std::int64_t> priority; ///< 0 to 9, 0 goes first.
    std::optional<std::string> resumeAfter; ///< Id of the last event that the caller has.
    std::optional<std::string> copySource; ///< Engine and copy of the run's memory to go on from.
};

/** What a backend server says of its answer in headers. */
struct ReplyFields {
    std::optional<std::string> requestId; ///< Of the request that the answer is for.
    bool isSealed = false; ///< Whether the answer has the mark of a run.
    bool isNotRun = false; ///< The server states that it did not run the request.
    bool isOtherServer = false; ///< Another server has the address now.
    std::optional<ObservedLoad> load; ///< When it answered.
};

/**
 * The headers by which callers, nodes and backend servers tell each other of a
 * request beyond what HTTP has.
 */
class HeaderDialect {
public:
    virtual ~HeaderDialect() = default;

    [[nodiscard]] virtual auto readCaller(const HttpHeaders& headers) const -> CallerFields = 0;

    /** Returns the caller's \a headers as a backend server is to get them, with \a fields. */
    [[nodiscard]] virtual auto toBackend(const HttpHeaders& headers, const BackendFields& fields) const -> HttpHeaders = 0;

    [[nodiscard]] virtual auto readReply(int status, const HttpHeaders& headers) const -> ReplyFields = 0;
};

} // namespace Primrosefork
