#include "httpcloudapi.h"

#include "errors.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace Primrosefork {

namespace {

using Json = nlohmann::json;

auto readNotices(const std::string& body, std::vector<CloudNotice>& notices) -> std::error_code
{
    const auto json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("notices"))
        return Error::BadAnswer;
    try {
        for (const auto& entry : json.at("notices"))
            notices.push_back({ entry.at("instance").get<std::string>(), std::chrono::milliseconds(entry.at("remaining_ms").get<std::int64_t>()) });
    } catch (const Json::exception&) {
        return Error::BadAnswer;
    }
    return {};
}

} // namespace

HttpCloudApi::HttpCloudApi(HttpClient& client, Address service, std::chrono::milliseconds timeout)
    : client(client)
    , service(std::move(service))
    , timeout(timeout)
{
}

auto HttpCloudApi::fetchNotices(NoticesHandler handler) -> void
{
    HttpCallOptions options;
    options.connectTimeout = this->timeout;
    options.firstByteTimeout = this->timeout;
    options.idleTimeout = this->timeout;
    this->client.fetch(this->service, { "GET", "/v1/notices", "", {}, "" }, options,
        [this, handler = std::move(handler)](std::error_code error, const HttpResponse& response) {
            if (error == Error::Timeout)
                this->client.dropIdleConnections(this->service);
            std::vector<CloudNotice> notices;
            if (!error && response.status != HttpStatus::ok)
                error = Error::Unavailable;
            if (!error)
                error = readNotices(response.body, notices);
            handler(error, notices);
        });
}

} // namespace Primrosefork
