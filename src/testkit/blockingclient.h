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

/** What a blocking call gave. */
struct FetchResult {
    std::error_code error;
    HttpResponse response;
};

/**
 * Makes HTTP calls one after the other, for tests that read from top to bottom.
 */
class BlockingClient {
public:
    BlockingClient();

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
