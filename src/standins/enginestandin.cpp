#include "enginestandin.h"

#include "tokentext.h"
#include "units.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

using Json = nlohmann::json;

constexpr std::size_t bytesPerToken = 4;
constexpr std::chrono::milliseconds importTimeout = 500ms;

auto tokenCount(const std::string& text) -> std::int64_t
{
    return static_cast<std::int64_t>((text.size() + bytesPerToken - 1) / bytesPerToken);
}

} // namespace

EngineStandin::EngineStandin(EventLoop& loop, EngineOptions options)
    : loop(loop)
    , server(loop, { .bodyBytes = 16 * mebibyte }, [this](const std::shared_ptr<HttpExchange>& exchange) { this->handle(exchange); })
    , client(loop)
    , options(std::move(options))
    , stepTimer(loop, [this] { this->endStep(); })
    , cache(this->options.cacheBlocks)
{
}

auto EngineStandin::listen(const Address& address) -> std::error_code
{
    return this->server.listen(address);
}

auto EngineStandin::handle(const std::shared_ptr<HttpExchange>& exchange) -> void
{
    const auto& path = exchange->request().path;
    if (path == "/control")
        return this->control(exchange);
    if (this->faults.isDown)
        return exchange->respond({ HttpStatus::unavailable, {}, R"({"error":"down"})" });
    if (path == "/v1/generate")
        return this->generate(exchange);
    if (path == "/v1/kv/export")
        return this->exportCache(exchange);
    if (path == "/v1/load")
        return this->reportLoad(exchange);
    exchange->respond({ HttpStatus::notFound, {}, R"({"error":"no such path"})" });
}

auto EngineStandin::control(const std::shared_ptr<HttpExchange>& exchange) -> void
{
    const auto body = Json::parse(exchange->request().body, nullptr, false);
    if (body.is_object()) {
        this->faults.update(body);
        this->slowdown = body.value("slowdown", this->slowdown);
        this->isFrozen = body.value("frozen", this->isFrozen);
        this->isShuffling = body.value("shuffle", this->isShuffling);
        this->variant = body.value("variant", this->variant);
        this->misroutedStreams = body.value("misroute", this->misroutedStreams);
        if (body.value("drop_cache", false))
            this->cache.clear();
    }
    exchange->respond({ HttpStatus::ok, {},
        Json { { "id", this->options.id }, { "running", this->running.size() }, { "waiting", this->waiting.size() },
            { "computed_prompt_tokens", this->computedTokens }, { "imported_tokens", this->importedTokens }, { "generated_tokens", this->generatedTokens },
            { "started_streams", this->startedStreams } }
            .dump() });
}

auto EngineStandin::generate(const std::shared_ptr<HttpExchange>& exchange) -> void
{
    const auto body = Json::parse(exchange->request().body, nullptr, false);
    if (!body.is_object())
        return exchange->respond({ HttpStatus::badRequest, {}, R"({"error":"bad body"})" });
    Stream stream;
    stream.id = body.value("stream", "");
    stream.exchange = exchange;
    stream.prompt = body.value("prompt", "");
    stream.priority = body.value("priority", std::int64_t { 0 });
    stream.maxTokens = body.value("max_tokens", std::int64_t { 1 });
    stream.nextOffset = body.value("offset", std::int64_t { 0 });
    stream.delivered = body.value("delivered", "");
    if (this->misroutedStreams > 0) {
        --this->misroutedStreams;
        stream.isMisrouted = true;
    }
    ++this->startedStreams;
    if (const auto source = parseAddress(body.value("import_from", "")))
        return this->importCache(*source, std::make_shared<Stream>(std::move(stream)));
    this->enqueue(std::move(stream));
}

auto EngineStandin::importCache(const Address& source, std::shared_ptr<Stream> stream) -> void
{
    HttpCallOptions callOptions;
    callOptions.connectTimeout = importTimeout;
    callOptions.firstByteTimeout = importTimeout;
    const auto body = Json { { "stream", stream->id } }.dump();
    this->client.fetch(source, { "POST", "/v1/kv/export", "", {}, body }, callOptions,
        [this, stream = std::move(stream)](std::error_code error, const HttpResponse& response) {
            const auto json = Json::parse(response.body, nullptr, false);
            if (!error && response.status == HttpStatus::ok && json.is_object())
                stream->importedTokens = json.value("tokens", std::int64_t { 0 });
            this->enqueue(std::move(*stream));
        });
}

auto EngineStandin::exportCache(const std::shared_ptr<HttpExchange>& exchange) -> void
{
    const auto body = Json::parse(exchange->request().body, nullptr, false);
    const auto* stream = body.is_object() ? this->findRunning(body.value("stream", "")) : nullptr;
    if (!stream || stream->remainingPrefillTokens > 0 || this->options.exportTokensPerSecond == 0)
        return exchange->respond({ HttpStatus::notFound, {}, R"({"error":"nothing to export"})" });
    const auto tokens = tokenCount(stream->prompt + stream->delivered);
    Faults transfer;
    transfer.delay = std::chrono::milliseconds(tokens * 1000 / this->options.exportTokensPerSecond);
    afterDelay(this->loop, transfer, [exchange, tokens] {
        exchange->respond({ HttpStatus::ok, {}, Json { { "tokens", tokens } }.dump() });
    });
}

auto EngineStandin::findRunning(const std::string& id) const -> const Stream*
{
    const auto found = std::find_if(this->running.begin(), this->running.end(), [&id](const Stream& stream) { return stream.id == id; });
    return found == this->running.end() ? nullptr : &*found;
}

auto EngineStandin::enqueue(Stream stream) -> void
{
    const auto work = stream.prompt + stream.delivered;
    const auto total = tokenCount(work);
    stream.cachedTokens = std::min(total, std::max(this->cache.lookUpAndInsert(work), stream.importedTokens));
    stream.remainingPrefillTokens = std::max<std::int64_t>(1, total - stream.cachedTokens);
    stream.computedTokens = stream.remainingPrefillTokens;
    this->importedTokens += std::min(total, stream.importedTokens);

    const auto position = std::find_if(this->waiting.begin(), this->waiting.end(),
        [&stream](const Stream& other) { return other.priority < stream.priority; });
    this->waiting.insert(position, std::move(stream));
    this->recordLoad();
    if (!this->stepTimer.isRunning())
        this->startStep();
}

auto EngineStandin::reportLoad(const std::shared_ptr<HttpExchange>& exchange) -> void
{
    const auto now = EventLoop::now();
    while (this->loads.size() > 1 && this->loads[1].visibleFrom <= now)
        this->loads.pop_front();
    const auto load = this->loads.empty() || this->loads.front().visibleFrom > now ? Load {} : this->loads.front();
    exchange->respond({ HttpStatus::ok, {},
        Json { { "running", load.running }, { "waiting", load.waiting }, { "waiting_tokens", load.waitingTokens } }.dump() });
}

auto EngineStandin::fillSlots() -> void
{
    std::erase_if(this->waiting, [](const Stream& stream) { return stream.exchange->isClosed(); });
    std::erase_if(this->running, [](const Stream& stream) { return stream.exchange->isClosed(); });
    while (!this->waiting.empty() && static_cast<std::int64_t>(this->running.size()) < this->options.slots)
        this->running.splice(this->running.end(), this->waiting, this->waiting.begin());
}

auto EngineStandin::startStep() -> void
{
    this->fillSlots();
    this->recordLoad();
    if (this->running.empty())
        return;
    this->stepTimer.start(std::chrono::duration_cast<std::chrono::microseconds>(this->options.step * this->slowdown));
}

auto EngineStandin::endStep() -> void
{
    if (!this->isFrozen) {
        this->prefill();
        this->decode();
    }
    this->startStep();
}

auto EngineStandin::prefill() -> void
{
    auto budget = this->options.prefillTokensPerSecond * this->options.step.count() / std::chrono::microseconds(1s).count();
    for (auto& stream : this->running) {
        const auto done = std::min(budget, stream.remainingPrefillTokens);
        stream.remainingPrefillTokens -= done;
        budget -= done;
        this->computedTokens += done;
    }
}

auto EngineStandin::decode() -> void
{
    for (auto stream = this->running.begin(); stream != this->running.end();) {
        if (stream->remainingPrefillTokens > 0 || stream->exchange->isCongested()) {
            ++stream;
            continue;
        }
        for (std::int64_t count = 0; count < this->options.tokensPerStep; ++count)
            this->sendToken(*stream);
        if (stream->nextOffset < stream->maxTokens) {
            ++stream;
            continue;
        }
        this->endStream(*stream);
        stream = this->running.erase(stream);
    }
}

auto EngineStandin::nextText(const Stream& stream) const -> std::string
{
    if (stream.isMisrouted)
        return tokenText("another prompt", stream.nextOffset);
    if (!this->variant.empty())
        return variantTokenText(stream.prompt + stream.delivered, this->variant);
    return tokenText(stream.prompt, stream.nextOffset);
}

auto EngineStandin::sendToken(Stream& stream) -> void
{
    if (!std::exchange(stream.hasBegun, true)) {
        stream.exchange->beginStream(HttpStatus::ok,
            { { "Content-Type", "application/x-ndjson" }, { "Stream-Id", stream.isMisrouted ? "another" : stream.id },
                { "Computed-Prompt-Tokens", std::to_string(stream.computedTokens) }, { "Cached-Prompt-Tokens", std::to_string(stream.cachedTokens) } });
    }
    if (stream.nextOffset >= stream.maxTokens)
        return;
    const auto text = this->nextText(stream);
    const auto line = Json { { "offset", stream.nextOffset }, { "text", text } }.dump() + "\n";
    if (this->isShuffling)
        this->sendShuffled(stream, line);
    else
        stream.exchange->sendPiece(std::exchange(stream.heldLine, "") + line);
    stream.delivered += text;
    ++stream.nextOffset;
    ++this->generatedTokens;
}

auto EngineStandin::sendShuffled(Stream& stream, const std::string& line) -> void
{
    if (stream.heldLine.empty()) {
        stream.heldLine = line;
        return;
    }
    const auto held = std::exchange(stream.heldLine, "");
    stream.exchange->sendPiece(line + held + held);
}

auto EngineStandin::endStream(Stream& stream) -> void
{
    const Json summary { { "done", true }, { "tokens", stream.nextOffset }, { "computed_prompt_tokens", stream.computedTokens },
        { "cached_prompt_tokens", stream.cachedTokens } };
    stream.exchange->sendPiece(stream.heldLine + summary.dump() + "\n");
    stream.exchange->endStream();
}

auto EngineStandin::recordLoad() -> void
{
    std::int64_t waitingTokens = 0;
    for (const auto& stream : this->waiting)
        waitingTokens += stream.remainingPrefillTokens;
    this->loads.push_back({ EventLoop::now() + this->options.loadLag, static_cast<std::int64_t>(this->running.size()),
        static_cast<std::int64_t>(this->waiting.size()), waitingTokens });
}

} // namespace Primrosefork
