#pragma once

#include "address.h"
#include "cloudapi.h"
#include "httpclient.h"

namespace Primrosefork {

/**
 * Speaks to the cloud over HTTP with JSON; docs/SYSTEMS.md has the calls.
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
