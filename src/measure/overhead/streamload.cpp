#include "streamload.h"

#include <algorithm>
#include <memory>
#include <vector>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto runTimeout = 120s;
constexpr auto observePeriod = 200ms;

/** State of one open stream. */
struct OpenStream {
    std::shared_ptr<HttpCall> call;
    EventLoop::TimePoint started;
    EventLoop::TimePoint lastToken;
    std::size_t lines = 0;
};

auto recordPiece(OpenStream& stream, std::string_view piece, StreamLoadResult& result) -> void
{
    const auto now = EventLoop::now();
    const auto lines = static_cast<std::size_t>(std::count(piece.begin(), piece.end(), '\n'));
    if (lines == 0)
        return;
    if (stream.lines == 0)
        result.firstToken.add(now - stream.started);
    else
        result.betweenTokens.add(now - stream.lastToken);
    stream.lastToken = now;
    stream.lines += lines;
}

} // namespace

auto runStreamLoad(Testkit::BlockingClient& client, const StreamLoad& load, const std::function<std::size_t()>& observe)
    -> StreamLoadResult
{
    StreamLoadResult result;
    std::vector<OpenStream> streams(load.streams);
    std::size_t open = load.streams;
    HttpCallOptions options;
    options.connectTimeout = 10s;
    options.maxResponseBytes = 0;
    options.usesFreshConnection = true;
    for (std::size_t index = 0; index < load.streams; ++index) {
        auto& stream = streams[index];
        stream.started = EventLoop::now();
        HttpCallHandlers handlers;
        handlers.onPiece = [&stream, &result](std::string_view piece) { recordPiece(stream, piece, result); };
        handlers.onDone = [&stream, &result, &open, &load](std::error_code error) {
            --open;
            result.tokens += stream.lines - std::min<std::size_t>(stream.lines, 1);
            result.failures += error || stream.lines != load.tokens + 1 ? 1 : 0;
        };
        stream.call = client.httpClient().send(load.server, { "POST", load.path, "", load.headers, load.body(index) }, options, std::move(handlers));
    }
    Timer observer(client.eventLoop(), [&] { result.peakResidentBytes = std::max(result.peakResidentBytes, observe()); });
    observer.startRepeating(observePeriod);
    client.waitUntil([&open] { return open == 0; }, runTimeout);
    result.failures += open;
    for (auto& stream : streams)
        stream.call->cancel();
    return result;
}

} // namespace Primrosefork
