#pragma once

#include "address.h"
#include "httpclient.h"
#include "httpmessage.h"

#include <functional>
#include <memory>
#include <system_error>

namespace Primrosefork {

/** A call to a plain service. */
struct PlainCall {
    HttpRequest request;
    HttpCallOptions options;
};

/** The result of a call to a plain service. */
struct PlainResult {
    std::error_code error;
    HttpResponse response; ///< Response of the service; only valid when there is no error.
    bool hasSentBytes = false; ///< Whether a byte of the request may have reached the service.
};

/**
 * The interface to plain services, the backend servers that are not model
 * engines.
 */
class PlainServices {
public:
    using Handler = std::function<void(const PlainResult&)>;

    virtual ~PlainServices() = default;

    /** Calls \a service once, without a retry, on a connection that has carried no other call. */
    virtual auto call(const Address& service, const PlainCall&, Handler) -> std::shared_ptr<HttpCall> = 0;
};

/**
 * Calls plain services over HTTP.
 */
class HttpPlainServices : public PlainServices {
public:
    explicit HttpPlainServices(HttpClient&);

    auto call(const Address& service, const PlainCall&, Handler) -> std::shared_ptr<HttpCall> override;

private:
    HttpClient& client;
};

} // namespace Primrosefork
