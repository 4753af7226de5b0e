#include "callerrequest.h"

#include "hash.h"
#include "jsonreader.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace Primrosefork {

namespace {

constexpr std::string_view servicesPrefix = "/v1/services/";
constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::size_t maxKeyLength = 128;
constexpr std::int64_t maxAnswerTokens = 1'000'000;
constexpr std::int64_t maxDeadlineMilliseconds = 86'400'000;
constexpr std::size_t bytesPerToken = 4;

auto refuse(int status, std::string code, std::string message) -> Refusal
{
    return { status, std::move(code), Execution::NotRun, std::move(message) };
}

auto findWorkspace(const HttpRequest& request, const Configuration& configuration) -> const Workspace*
{
    const auto authorization = request.headers.get("Authorization");
    if (!authorization || !authorization->starts_with(bearerPrefix))
        return nullptr;
    return configuration.workspaceByKeyHash(sha256Hex(std::string_view(*authorization).substr(bearerPrefix.size())));
}

auto readKey(const HttpRequest& request, CallerRequest& result) -> std::optional<Refusal>
{
    result.key = request.headers.get("Request-Key").value_or("");
    result.isRepeated = request.headers.get("Request-Repeat").has_value();
    if (result.key.size() > maxKeyLength)
        return refuse(HttpStatus::badRequest, "bad_request_key", "Request-Key is longer than 128 bytes");
    if (result.key.empty() && !result.route.isIdempotent)
        return refuse(HttpStatus::badRequest, "request_key_needed", "a call that is not idempotent needs a Request-Key");
    return std::nullopt;
}

auto readDeadline(const HttpRequest& request, CallerRequest& result) -> std::optional<Refusal>
{
    result.deadline = result.received + result.route.deadline;
    const auto header = request.headers.get("Deadline-Ms");
    if (!header)
        return std::nullopt;
    std::int64_t milliseconds = 0;
    const auto* last = header->data() + header->size();
    const auto [end, error] = std::from_chars(header->data(), last, milliseconds);
    if (error != std::errc {} || end != last || milliseconds < 1 || milliseconds > maxDeadlineMilliseconds)
        return refuse(HttpStatus::badRequest, "bad_deadline", "Deadline-Ms must be a number of milliseconds from 1 to 86400000");
    result.deadline = result.received + std::chrono::milliseconds(milliseconds);
    return std::nullopt;
}

auto readModelBody(CallerRequest& result) -> std::optional<Refusal>
{
    const auto json = nlohmann::json::parse(result.body, nullptr, false);
    if (!json.is_object())
        return refuse(HttpStatus::badRequest, "bad_body", "the body is not a JSON object");
    Findings findings;
    JsonReader reader(json, "", findings);
    result.maxTokens = result.route.expectedTokens;
    reader.string("prompt", result.prompt);
    reader.optionalInteger("max_tokens", result.maxTokens, 1, maxAnswerTokens);
    reader.boolean("stream", result.isStreamed);
    reader.optionalInteger("offset", result.offset, 0, maxAnswerTokens);
    if (json.contains("delivered") && json["delivered"].is_string() && json["delivered"].get<std::string>().empty())
        reader.report("delivered", "must not be empty");
    reader.optionalString("delivered", result.delivered);
    if ((result.offset > 0) != !result.delivered.empty())
        reader.report("delivered", "clashes with /offset: the text before the offset goes with it");
    reader.finish();
    if (!findings.empty())
        return refuse(HttpStatus::badRequest, "bad_body", formatFindings(findings));
    return std::nullopt;
}

auto findRoute(const HttpRequest& request, const Configuration& configuration, CallerRequest& result) -> std::optional<Refusal>
{
    const auto rest = std::string_view(request.path).substr(servicesPrefix.size());
    const auto slash = rest.find('/');
    const auto name = std::string(rest.substr(0, slash));
    const auto* service = configuration.service(result.workspace.name, name);
    if (!service)
        return refuse(HttpStatus::notFound, "no_such_service", "the workspace has no service of this name");
    const auto& serviceTemplate = configuration.templates.at(service->templateName);
    const auto* route = slash == std::string_view::npos ? nullptr : serviceTemplate.route(rest.substr(slash + 1));
    if (!route)
        return refuse(HttpStatus::notFound, "no_such_route", "the service has no such route");
    result.service = *service;
    result.route = *route;
    return std::nullopt;
}

} // namespace

auto estimateTokens(std::string_view text) -> std::int64_t
{
    return static_cast<std::int64_t>((text.size() + bytesPerToken - 1) / bytesPerToken);
}

auto parseCallerRequest(const HttpRequest& request, const Configuration& configuration,
    std::chrono::steady_clock::time_point now) -> std::variant<CallerRequest, Refusal>
{
    if (!request.path.starts_with(servicesPrefix))
        return refuse(HttpStatus::notFound, "no_such_path", "there is nothing at this path");
    const auto* workspace = findWorkspace(request, configuration);
    if (!workspace)
        return refuse(HttpStatus::unauthorized, "bad_credential", "the credential opens no workspace");

    CallerRequest result;
    result.workspace = *workspace;
    result.received = now;
    result.body = request.body;
    if (auto refusal = findRoute(request, configuration, result))
        return *refusal;
    if (request.method != "POST")
        return refuse(HttpStatus::methodNotAllowed, "method_not_allowed", "requests are made with POST");
    if (auto refusal = readKey(request, result))
        return *refusal;
    if (auto refusal = readDeadline(request, result))
        return *refusal;
    if (result.route.kind == RouteKind::Model) {
        if (auto refusal = readModelBody(result))
            return *refusal;
    }
    return result;
}

} // namespace Primrosefork
