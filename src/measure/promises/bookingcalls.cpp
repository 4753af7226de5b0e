#include "bookingcalls.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace Primrosefork::Measure {

namespace {

using Json = nlohmann::json;

constexpr auto callTimeout = 70s; ///< Time-out of a call, longer than the deadline of the route.

} // namespace

BookingCalls::BookingCalls(Testkit::Cluster& cluster)
    : cluster(cluster)
{
}

BookingCalls::~BookingCalls()
{
    for (const auto& call : this->open)
        call->cancel();
}

auto BookingCalls::send(std::size_t node) -> void
{
    const auto call = std::make_shared<Call>();
    call->key = "booking-" + std::to_string(this->calls.size());
    call->node = node;
    this->calls.push_back(call);
    HttpCallOptions options;
    options.firstByteTimeout = callTimeout;
    options.usesFreshConnection = true;
    const HttpHeaders headers { { "Authorization", std::string("Bearer ") + Testkit::Cluster::callerKey }, { "Request-Key", call->key } };
    this->open.push_back(this->cluster.client().httpClient().fetch(this->cluster.callersAddress(node),
        { "POST", "/v1/services/desk/bookings/confirm", "", headers, R"({"chair":1})" }, options,
        [call](std::error_code error, const HttpResponse& response) {
            const auto body = Json::parse(response.body, nullptr, false);
            call->isDone = true;
            call->status = error ? 0 : response.status;
            call->execution = body.is_object() ? body.value("execution", "") : "";
            call->error = body.is_object() ? body.value("error", "") : error.message();
        }));
}

auto BookingCalls::areDone() const -> bool
{
    return std::all_of(this->calls.begin(), this->calls.end(), [](const auto& call) { return call->isDone; });
}

auto BookingCalls::totals(std::size_t plainServices) -> BookingTotals
{
    std::map<std::string, std::int64_t> runs;
    for (std::size_t index = 0; index < plainServices; ++index) {
        const auto counted = this->cluster.control(this->cluster.plainServiceAddress(index), Json::object()).value("runs", Json::object());
        for (const auto& [key, count] : counted.items())
            runs[key] += count.get<std::int64_t>();
    }
    BookingTotals totals;
    for (const auto& call : this->calls) {
        const auto count = runs[call->key];
        ++totals.calls;
        totals.confirmed += call->status == HttpStatus::ok ? 1 : 0;
        ++totals.outcomes["node-" + std::to_string(call->node) + ": " + std::to_string(call->status) + " " + call->error];
        totals.runTwice += count > 1 ? 1 : 0;
        totals.wronglyNotRun += call->execution == "not run" && count > 0 ? 1 : 0;
        totals.wronglyConfirmed += call->status == HttpStatus::ok && count == 0 ? 1 : 0;
    }
    return totals;
}

} // namespace Primrosefork::Measure
