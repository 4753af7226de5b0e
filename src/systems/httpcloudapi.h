#pragma once

#include "address.h"
#include "cloudapi.h"
#include "httpclient.h"

namespace Primrosefork {

/**
 * Calls the cloud over HTTP with JSON; docs/SYSTEMS.md describes the calls.
 */
class HttpCloudApi : public CloudApi {
public:
    HttpCloudApi(HttpClient&, Address service, std::chrono::milliseconds timeout);

    auto fetchNotices(NoticesHandler) -> void override;

private:
    HttpClient& client;
    Address service;
    std::chrono::milliseconds timeout;
};

} // namespace Primrosefork
