#pragma once

#include "address.h"
#include "httpclient.h"
#include "httpmessage.h"

#include <functional>
#include <memory>
#include <system_error>

namespace Primrosefork {

/** A call of a plain service. */
struct PlainCall {
    HttpRequest request;
    HttpCallOptions options;
};

/** How a call of a plain service ended. */
struct PlainResult {
    std::error_code error;
    HttpResponse response; ///< Of use when there is no error.
    bool hasSentBytes = false; ///< Whether a byte of the call may have reached the service.
};

/**
 * The interface to the plain services beside the engines.
 */
class PlainServices {
public:
    using Handler = std::function<void(const PlainResult&)>;

    virtual ~PlainServices() = default;

    /** Calls \a service once. */
    virtual auto call(const Address& service, const PlainCall&, Handler) -> std::shared_ptr<HttpCall> = 0;
};

/**
 * Speaks to plain services over HTTP.
 */
class HttpPlainServices : public PlainServices {
public:
    explicit HttpPlainServices(HttpClient&);

    auto call(const Address& service, const PlainCall&, Handler) -> std::shared_ptr<HttpCall> override;

private:
    HttpClient& client;
};

} // namespace Primrosefork
