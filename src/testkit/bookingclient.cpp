#include "bookingclient.h"

#include <map>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork::Testkit {

namespace {

using Json = nlohmann::json;

constexpr auto answerGrace = 5s; ///< Time beyond the deadline of a call for which a test waits for the answer.

auto readAnswer(BookingAnswer& answer, std::error_code error, const HttpResponse& response) -> void
{
    answer.isDone = true;
    answer.transportError = error;
    if (error)
        return;
    answer.status = response.status;
    answer.body = response.body;
    answer.isReplayed = response.headers.get("Replayed").has_value();
    answer.execution = response.headers.get("Execution").value_or("");
    const auto json = Json::parse(response.body, nullptr, false);
    if (!json.is_object() || !json.contains("execution"))
        return;
    answer.error = json.value("error", "");
    answer.execution = json["execution"].get<std::string>();
}

} // namespace

BookingClient::BookingClient(Cluster& cluster)
    : cluster(cluster)
{
}

auto BookingClient::begin(std::size_t node, const std::string& key, const std::string& body) -> std::shared_ptr<BookingAnswer>
{
    HttpRequest request { "POST", "/v1/services/desk/bookings/confirm", "", {}, body };
    request.headers.add("Authorization", std::string("Bearer ") + Cluster::callerKey);
    request.headers.add("Request-Key", key);
    request.headers.add("Deadline-Ms", std::to_string(this->deadline.count()));
    if (this->isRepeated)
        request.headers.add("Request-Repeat", "true");
    HttpCallOptions options;
    options.usesFreshConnection = true;
    options.firstByteTimeout = this->deadline + answerGrace;
    auto answer = std::make_shared<BookingAnswer>();
    const auto call = this->cluster.client().httpClient().fetch(this->cluster.callersAddress(node), request, options,
        [answer, startedAt = EventLoop::now()](std::error_code error, const HttpResponse& response) {
            answer->elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(EventLoop::now() - startedAt);
            readAnswer(*answer, error, response);
        });
    this->calls.push_back(call);
    return answer;
}

auto BookingClient::cancelAll() -> void
{
    for (const auto& started : this->calls) {
        if (const auto call = started.lock())
            call->cancel();
    }
    this->calls.clear();
}

auto BookingClient::waitFor(const BookingAnswer& answer) -> bool
{
    return this->cluster.client().waitUntil([&answer] { return answer.isDone; }, this->deadline + 2 * answerGrace);
}

auto BookingClient::confirm(std::size_t node, const std::string& key, const std::string& body) -> BookingAnswer
{
    const auto answer = this->begin(node, key, body);
    this->waitFor(*answer);
    return *answer;
}

auto BookingClient::confirmConcurrently(const std::vector<std::size_t>& nodes, const std::string& key, const std::string& body) -> std::vector<BookingAnswer>
{
    std::vector<std::shared_ptr<BookingAnswer>> pending;
    pending.reserve(nodes.size());
    for (const auto node : nodes)
        pending.push_back(this->begin(node, key, body));
    std::vector<BookingAnswer> answers;
    for (const auto& answer : pending) {
        this->waitFor(*answer);
        answers.push_back(*answer);
    }
    return answers;
}

auto BookingClient::runCount(const std::string& key) -> std::int64_t
{
    const auto all = this->runs();
    const auto found = all.find(key);
    return found == all.end() ? 0 : found->second;
}

auto BookingClient::runs() -> std::map<std::string, std::int64_t>
{
    std::map<std::string, std::int64_t> total;
    for (std::size_t index = 0; index < this->cluster.plainServiceCount(); ++index) {
        const auto answer = this->cluster.control(this->cluster.plainServiceAddress(index), Json::object());
        const auto counts = answer.value("runs", Json::object());
        for (const auto& [key, count] : counts.items())
            total[key] += count.get<std::int64_t>();
    }
    return total;
}

} // namespace Primrosefork::Testkit
