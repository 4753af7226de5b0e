#include "httpengines.h"

#include "errors.h"
#include "linesplitter.h"
#include "units.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace Primrosefork {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxLineBytes = 64 * kibibyte;

auto toHttp(const GenerationRequest& request) -> HttpRequest
{
    Json body {
        { "stream", request.streamId },
        { "prompt", request.prompt },
        { "max_tokens", request.maxTokens },
        { "priority", request.priority },
        { "offset", request.offset },
        { "delivered", request.delivered },
    };
    if (request.importFrom.port != 0)
        body["import_from"] = request.importFrom.toString();
    return { "POST", "/v1/generate", "", { { "Content-Type", "application/json" } }, body.dump(-1, ' ', false, Json::error_handler_t::replace) };
}

auto readCount(const HttpHeaders& headers, const std::string& name) -> std::int64_t
{
    const auto text = headers.get(name).value_or("");
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

/**
 * A generation that is received over one HTTP call.
 */
class HttpGeneration : public Generation, public std::enable_shared_from_this<HttpGeneration> {
public:
    HttpGeneration(HttpClient& client, Address engine, std::string streamId, GenerationHandlers handlers)
        : client(client)
        , engine(std::move(engine))
        , streamId(std::move(streamId))
        , handlers(std::move(handlers))
        , lines(maxLineBytes)
    {
    }

    auto begin(const GenerationRequest& request, const GenerationTimeouts& timeouts) -> void
    {
        HttpCallOptions options;
        options.connectTimeout = timeouts.connect;
        options.firstByteTimeout = timeouts.firstPiece;
        options.idleTimeout = timeouts.idle;
        options.maxResponseBytes = 0;
        HttpCallHandlers callHandlers;
        const auto self = this->shared_from_this();
        callHandlers.onHeaders = [self](int status, const HttpHeaders& headers) { self->headersReceived(status, headers); };
        callHandlers.onPiece = [self](std::string_view piece) { self->pieceReceived(piece); };
        callHandlers.onDone = [self](std::error_code error) { self->callEnded(error); };
        this->call = this->client.send(this->engine, toHttp(request), options, std::move(callHandlers));
    }

    auto cancel() -> void override
    {
        this->isDone = true;
        const auto running = std::exchange(this->call, nullptr);
        if (!running)
            return;
        running->cancel();
        // The server sent no headers: idle connections to it may be dead as well.
        if (this->status == 0)
            this->client.dropIdleConnections(this->engine);
    }

    auto pause() -> void override
    {
        if (this->call)
            this->call->pause();
    }

    auto resume() -> void override
    {
        if (this->call)
            this->call->resume();
    }

private:
    auto headersReceived(int receivedStatus, const HttpHeaders& headers) -> void
    {
        this->status = receivedStatus;
        if (receivedStatus != HttpStatus::ok)
            return;
        // The call cannot be cancelled while its headers are handled; it is stopped at the first piece.
        this->hasWrongStreamId = headers.get("Stream-Id").value_or(this->streamId) != this->streamId;
        this->summary.computedPromptTokens = readCount(headers, "Computed-Prompt-Tokens");
        this->summary.cachedPromptTokens = readCount(headers, "Cached-Prompt-Tokens");
        if (this->handlers.onBegin)
            this->handlers.onBegin(this->summary);
    }

    auto pieceReceived(std::string_view piece) -> void
    {
        const auto self = this->shared_from_this();
        if (this->isDone || this->status != HttpStatus::ok)
            return;
        if (this->hasWrongStreamId)
            return this->stop(Error::BadAnswer);
        const auto error = this->lines.add(piece, [this](std::string_view line) { return this->readLine(line); });
        if (error)
            this->stop(error);
    }

    auto readLine(std::string_view line) -> bool
    {
        const auto json = Json::parse(line, nullptr, false);
        try {
            if (json.is_object() && json.value("stream", this->streamId) != this->streamId)
                this->stop(Error::BadAnswer);
            else if (json.is_object() && json.contains("done"))
                this->readSummary(json);
            else
                this->handlers.onPiece({ json.at("offset").get<std::int64_t>(), json.at("text").get<std::string>() });
        } catch (const Json::exception&) {
            this->stop(Error::BadAnswer);
        }
        return !this->isDone;
    }

    auto readSummary(const Json& json) -> void
    {
        this->summary.tokens = json.at("tokens").get<std::int64_t>();
        this->summary.computedPromptTokens = json.value("computed_prompt_tokens", this->summary.computedPromptTokens);
        this->summary.cachedPromptTokens = json.value("cached_prompt_tokens", this->summary.cachedPromptTokens);
        this->isComplete = true;
    }

    auto callEnded(std::error_code error) -> void
    {
        this->call.reset();
        if (!error && this->status != HttpStatus::ok)
            error = Error::Refused;
        if (!error && !this->isComplete)
            error = Error::ConnectionLost;
        this->stop(error);
    }

    auto stop(std::error_code error) -> void
    {
        if (this->isDone)
            return;
        const auto self = this->shared_from_this();
        this->cancel();
        this->handlers.onDone(error, this->summary);
    }

    HttpClient& client;
    Address engine;
    std::string streamId;
    GenerationHandlers handlers;
    LineSplitter lines;
    std::shared_ptr<HttpCall> call;
    GenerationSummary summary;
    int status = 0;
    bool hasWrongStreamId = false;
    bool isComplete = false;
    bool isDone = false;
};

/** Reads the count \a name into \a count, which stays as it is when \a json lacks it; returns whether it is a count if it is there. */
auto readCount(const Json& json, const char* name, std::int64_t& count) -> bool
{
    const auto found = json.find(name);
    if (found == json.end())
        return true;
    if (!found->is_number_unsigned())
        return false;
    count = found->get<std::int64_t>();
    return true;
}

} // namespace

HttpEngines::HttpEngines(HttpClient& client, std::chrono::milliseconds timeout)
    : client(client)
    , timeout(timeout)
{
}

auto HttpEngines::generate(const Address& engine, const GenerationRequest& request, const GenerationTimeouts& timeouts, GenerationHandlers handlers)
    -> std::shared_ptr<Generation>
{
    const auto generation = std::make_shared<HttpGeneration>(this->client, engine, request.streamId, std::move(handlers));
    generation->begin(request, timeouts);
    return generation;
}

auto HttpEngines::fetchLoad(const Address& engine, LoadHandler handler) -> void
{
    HttpCallOptions options;
    options.connectTimeout = this->timeout;
    options.firstByteTimeout = this->timeout;
    options.idleTimeout = this->timeout;
    this->client.fetch(engine, { "GET", "/v1/load", "", {}, "" }, options,
        [handler = std::move(handler)](std::error_code error, const HttpResponse& response) {
            LoadReport report;
            const auto json = Json::parse(response.body, nullptr, false);
            if (!error && (response.status != HttpStatus::ok || !json.is_object()))
                error = Error::BadAnswer;
            const auto isComplete = !error && readCount(json, "running", report.running) && readCount(json, "waiting", report.waiting)
                && readCount(json, "waiting_tokens", report.waitingTokens);
            if (!error && !isComplete)
                error = Error::BadAnswer;
            handler(error, error ? LoadReport {} : report);
        });
}

} // namespace Primrosefork
