#pragma once

#include "address.h"
#include "eventloop.h"
#include "httpclient.h"
#include "httpmessage.h"

#include <chrono>
#include <functional>
#include <string>
#include <system_error>

namespace Primrosefork::Testkit {

/** The outcome of a blocking call. */
struct FetchResult {
    std::error_code error; ///< Why no complete response was received; not set when there is one.
    HttpResponse response;
};

/**
 * Blocking HTTP client for tests, with an event loop of its own.
 */
class BlockingClient {
public:
    BlockingClient();

    /**
     * Sends the request on a new connection and returns the response. The error is a
     * time-out when connecting, the first byte or a pause between bytes takes longer
     * than \a limit, or all together a second longer than \a limit.
     */
    auto fetch(const Address&, const HttpRequest&, std::chrono::milliseconds limit = std::chrono::seconds(10)) -> FetchResult;
    auto get(const Address&, const std::string& path, const HttpHeaders& headers = {}) -> FetchResult;
    auto post(const Address&, const std::string& path, const std::string& body, const HttpHeaders& headers = {}) -> FetchResult;

    /** Runs the loop until \a isMet returns true. Returns false when that takes longer than \a limit. */
    auto waitUntil(const std::function<bool()>& isMet, std::chrono::milliseconds limit) -> bool;

    [[nodiscard]] auto eventLoop() -> EventLoop& { return this->loop; }
    [[nodiscard]] auto httpClient() -> HttpClient& { return this->client; }

private:
    EventLoop loop;
    HttpClient client;
};

} // namespace Primrosefork::Testkit
