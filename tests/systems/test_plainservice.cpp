#include "httpclient.h"
#include "plainservice.h"
#include "scriptedserver.h"

#include <doctest/doctest.h>
#include <optional>
#include <string>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

const Address serviceAddress { "127.0.0.1", 18'321 };

struct CopyCase {
    const char* name;
    int status; ///< Status of the answer that the service writes a second time.
    std::string body;
};

const CopyCase copyCases[] = {
    { "a success", 200, "first" },
    { "an empty success", 200, "" },
    { "a refusal", 503, "" },
    { "a refusal for another time", 429, "later" },
    { "a call to another server", 421, "" },
    { "an error", 500, "failed" },
};

// Guards against the late copy of an answer on a connection that is in use again, which the next caller gets as its own.
TEST_CASE("a call to a plain service never gets the late copy of another call's answer")
{
    for (const auto& row : copyCases) {
        CAPTURE(std::string(row.name));
        EventLoop loop;
        HttpClient client(loop);
        HttpPlainServices services(client);
        auto calls = 0;
        const Testkit::ScriptedServer service(loop, serviceAddress, [&calls, &row](const std::string&) -> Testkit::ScriptedAnswer {
            const auto answer = [](int status, const std::string& body) { return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body; };
            if (++calls > 1)
                return { answer(200, "second") };
            return { .bytes = answer(row.status, row.body), .beforeNext = answer(row.status, row.body) };
        });
        for (const auto isFirst : { true, false }) {
            std::optional<PlainResult> result;
            const auto call = services.call(serviceAddress, { { "POST", "/x", "", {}, "{}" }, {} }, [&result](const PlainResult& ended) { result = ended; });
            const auto end = EventLoop::now() + 3s;
            while (!result && EventLoop::now() < end)
                loop.runOnce();
            REQUIRE(result.has_value());
            CHECK_FALSE(result->error);
            CHECK(result->response.status == (isFirst ? row.status : 200));
            CHECK(result->response.body == (isFirst ? row.body : "second"));
        }
    }
}

} // namespace
