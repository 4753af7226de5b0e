#include "blockingclient.h"

#include "errors.h"

#include <csignal>
#include <memory>
#include <thread>

using namespace std::chrono_literals;

namespace Primrosefork::Testkit {

namespace {

constexpr auto pollPeriod = 1ms;

} // namespace

BlockingClient::BlockingClient()
    : client(this->loop)
{
    std::signal(SIGPIPE, SIG_IGN);
}

auto BlockingClient::fetch(const Address& server, const HttpRequest& request, std::chrono::milliseconds limit) -> FetchResult
{
    HttpCallOptions options;
    options.connectTimeout = limit;
    options.firstByteTimeout = limit;
    options.idleTimeout = limit;
    options.maxResponseBytes = 0;
    options.usesFreshConnection = true;
    const auto result = std::make_shared<FetchResult>();
    const auto isDone = std::make_shared<bool>(false);
    const auto call = this->client.fetch(server, request, options, [result, isDone](std::error_code error, const HttpResponse& response) {
        *result = { error, response };
        *isDone = true;
    });
    if (!this->waitUntil([isDone] { return *isDone; }, limit + 1s)) {
        call->cancel();
        result->error = Error::Timeout;
    }
    return *result;
}

auto BlockingClient::get(const Address& server, const std::string& path, const HttpHeaders& headers) -> FetchResult
{
    return this->fetch(server, { "GET", path, "", headers, "" });
}

auto BlockingClient::post(const Address& server, const std::string& path, const std::string& body, const HttpHeaders& headers) -> FetchResult
{
    return this->fetch(server, { "POST", path, "", headers, body });
}

auto BlockingClient::waitUntil(const std::function<bool()>& isMet, std::chrono::milliseconds limit) -> bool
{
    const auto end = EventLoop::now() + limit;
    while (!isMet()) {
        if (EventLoop::now() >= end)
            return false;
        this->loop.runOnce();
        std::this_thread::sleep_for(pollPeriod);
    }
    return true;
}

} // namespace Primrosefork::Testkit
