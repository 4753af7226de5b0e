#pragma once

#include "address.h"
#include "httpclient.h"
#include "instancelist.h"

namespace Primrosefork {

/**
 * Fetches the instance list over HTTP with JSON; docs/SYSTEMS.md describes the
 * call.
 */
class HttpInstanceList : public InstanceList {
public:
    HttpInstanceList(HttpClient&, Address service, std::chrono::milliseconds timeout);

    auto fetch(Handler) -> void override;

private:
    HttpClient& client;
    Address service;
    std::chrono::milliseconds timeout;
};

} // namespace Primrosefork
