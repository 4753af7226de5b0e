#include "plainservice.h"

#include <utility>

namespace Primrosefork {

HttpPlainServices::HttpPlainServices(HttpClient& client)
    : client(client)
{
}

auto HttpPlainServices::call(const Address& service, const PlainCall& plainCall, Handler handler) -> std::shared_ptr<HttpCall>
{
    // Answers do not name their request, so a late copy of an earlier answer on the same connection would count for this one.
    auto options = plainCall.options;
    options.usesFreshConnection = true;
    const auto weakCall = std::make_shared<std::weak_ptr<HttpCall>>();
    auto call = this->client.fetch(service, plainCall.request, options,
        [weakCall, handler = std::move(handler)](std::error_code error, const HttpResponse& response) {
            const auto endedCall = weakCall->lock();
            handler({ error, response, !endedCall || endedCall->hasSentBytes() });
        });
    *weakCall = call;
    return call;
}

} // namespace Primrosefork
