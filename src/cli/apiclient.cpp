#include "apiclient.h"

#include "errors.h"
#include "hash.h"
#include "units.h"

namespace Primrosefork {

namespace {

using Json = nlohmann::json;

constexpr std::size_t writeIdBytes = 16;
constexpr std::size_t maxAnswerBytes = 64 * mebibyte;
constexpr std::string_view root = "/admin/v1/";

} // namespace

auto ApiAnswer::body() const -> Json
{
    return Json::parse(this->text, nullptr, false);
}

auto ApiAnswer::exitCode() const -> ExitCode
{
    if (this->error == Error::ConnectionFailed || (this->error && this->writeId.empty()))
        return ExitCode::Unreachable;
    if (this->error)
        return ExitCode::Unknown;
    switch (this->status) {
    case HttpStatus::ok:
        return ExitCode::Success;
    case HttpStatus::unprocessable:
        return ExitCode::Findings;
    case HttpStatus::conflict:
        return ExitCode::Conflict;
    default:
        break;
    }
    const auto body = this->body();
    const auto isUnknown = body.is_object() && body.value("outcome", "") == "unknown";
    return isUnknown ? ExitCode::Unknown : ExitCode::Failed;
}

ApiClient::ApiClient(const CommandLine& line)
    : line(line)
    , client(this->loop)
{
}

auto ApiClient::get(const std::string& path) -> ApiAnswer
{
    return this->call(this->line.node, { "GET", std::string(root) + path, "", this->authorization(), "" });
}

auto ApiClient::fetchState(const Address& address) -> ApiAnswer
{
    return this->call(address, { "GET", "/state", "", {}, "" });
}

auto ApiClient::change(const std::string& method, const std::string& path, const Json& body) -> ApiAnswer
{
    const auto isNew = this->line.writeId.empty();
    const auto writeId = isNew ? randomHex(writeIdBytes) : this->line.writeId;
    HttpRequest request { method, std::string(root) + path, "", this->authorization(), "" };
    request.headers.add("Write-Id", writeId);
    if (isNew)
        request.headers.add("Write-Attempt", "1");
    if (method == "DELETE")
        request.query = "base_revision=" + body.at("base_revision").dump();
    else
        request.body = body.dump();
    auto answer = this->call(this->line.node, request);
    answer.writeId = writeId;
    return answer;
}

auto ApiClient::authorization() const -> HttpHeaders
{
    return { { "Authorization", "Bearer " + this->line.credential } };
}

auto ApiClient::call(const Address& address, const HttpRequest& request) -> ApiAnswer
{
    HttpCallOptions options;
    options.connectTimeout = this->line.timeout;
    options.firstByteTimeout = this->line.timeout;
    options.idleTimeout = this->line.timeout;
    options.maxResponseBytes = maxAnswerBytes;
    options.usesFreshConnection = true;
    ApiAnswer answer;
    this->client.fetch(address, request, options, [this, &answer](std::error_code error, const HttpResponse& response) {
        answer.error = error;
        answer.status = response.status;
        answer.text = response.body;
        this->loop.stop();
    });
    this->loop.run();
    return answer;
}

} // namespace Primrosefork
