#include "errors.h"
#include "httpclient.h"
#include "platformrunmover.h"
#include "scriptedserver.h"

#include <doctest/doctest.h>
#include <optional>
#include <string>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

const Address sourceAddress { "127.0.0.1", 18372 };

struct MoveResultCase {
    const char* name;
    std::string requestId;
    int status;
    std::string body; ///< Body of the source's answer.
    std::string kvCacheSource; ///< Expected name of the copy; empty when the move fails.
    std::size_t calls; ///< Expected number of calls to the source.
};

const MoveResultCase moveResultCases[] = {
    { "a handle that is a number", "9c41", 200, R"({"handle":5})", "127.0.0.1:18372/5", 1 },
    { "a handle that is a text", "9c41", 200, R"({"handle":"h-5"})", "127.0.0.1:18372/h-5", 1 },
    { "a copy that stayed at the source", "9c41", 503, R"({"handle":5})", "127.0.0.1:18372/5", 1 },
    { "no handle", "9c41", 200, "{}", "", 1 },
    { "a handle with the end of a header line", "9c41", 200, R"({"handle":"5\r\nX-Own: 1"})", "", 1 },
    { "a handle with a space", "9c41", 200, R"({"handle":"5 6"})", "", 1 },
    { "a handle that is a list", "9c41", 200, R"({"handle":[1,2]})", "", 1 },
    { "a handle that is nested deeply", "9c41", 200, R"({"handle":)" + std::string(1'000'000, '[') + std::string(1'000'000, ']') + "}", "", 1 },
    { "a handle of a kilobyte", "9c41", 200, R"({"handle":")" + std::string(1'024, 'a') + "\"}", "", 1 },
    { "a request id that is not UTF-8", "9c\xff", 200, R"({"handle":5})", "", 0 },
};

TEST_CASE("a move gives the name of the copy, or fails when its fields cannot be transmitted")
{
    for (const auto& row : moveResultCases) {
        CAPTURE(row.name);
        EventLoop loop;
        HttpClient client(loop);
        const ScriptedServer source(loop, sourceAddress, [&row](const std::string&) -> ScriptedAnswer {
            return { "HTTP/1.1 " + std::to_string(row.status) + " X\r\nContent-Length: " + std::to_string(row.body.size()) + "\r\n\r\n" + row.body };
        });
        PlatformRunMover mover(client, 1s);
        std::optional<std::error_code> result;
        MoveResult moved;
        mover.move(sourceAddress, row.requestId, { "127.0.0.1", 18373 }, [&](std::error_code error, const MoveResult& outcome) {
            result = error;
            moved = outcome;
        });
        const auto end = EventLoop::now() + 5s;
        while (!result && EventLoop::now() < end)
            loop.runOnce();
        REQUIRE(result.has_value());
        CHECK(moved.kvCacheSource == row.kvCacheSource);
        CHECK(!*result == !row.kvCacheSource.empty());
        CHECK(source.requests.size() == row.calls);
    }
}

} // namespace
