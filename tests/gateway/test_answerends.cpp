#include "gatewayfixture.h"
#include "units.h"

#include <doctest/doctest.h>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

using Script = ScriptedServer::Script;

constexpr int firstPort = 18321;
constexpr int secondPort = 18322;
constexpr std::size_t responseLimit = 8 * mebibyte;

/** A node with two servers of one service; the first request gets the answer of \a first, all others that of \a later. */
struct EndFixture : GatewayFixture {
    EndFixture(const std::string& service, const Script& first, const Script& later)
    {
        const Script script = [this, first, later](const std::string& request) { return this->requestCount++ == 0 ? first(request) : later(request); };
        this->configure(1);
        for (const auto port : { firstPort, secondPort }) {
            this->servers.push_back(std::make_unique<ScriptedServer>(this->loop, Address { "127.0.0.1", static_cast<std::uint16_t>(port) }, script));
            this->registerServer("i-" + std::to_string(port), service, port);
        }
        REQUIRE(this->start());
    }

    int requestCount = 0;
    std::vector<std::unique_ptr<ScriptedServer>> servers;
};

auto ownHead(const std::string& request) -> std::string
{
    return "HTTP/1.1 200 X\r\nX-Attempt-Id: " + headerOf(request, "X-Attempt-Id") + "\r\nX-Response-Seal: s\r\n";
}

auto bodyOf(const std::string& answer) -> std::string
{
    const auto end = answer.find("\r\n\r\n");
    return end == std::string::npos ? "" : answer.substr(end + 4);
}

/** Returns whether \a answer says itself that it is whole, by a length or by the last chunk. */
auto isWhole(const std::string& answer) -> bool
{
    const auto length = headerOf(answer, "Content-Length");
    return length.empty() ? answer.ends_with("\r\n0\r\n\r\n") : bodyOf(answer).size() == std::stoul(length);
}

/** The framing of an answer that ends. */
enum class Framing {
    Length,
    Chunks,
    Connection,
};

struct LargeBodyCase {
    const char* name;
    const char* prefix;
    Framing framing;
    std::size_t size; ///< Of the body.
    const char* status;
    std::size_t received; ///< Size of the body that the caller gets.
    int requests; ///< Number of requests that the servers get.
};

constexpr std::size_t chunkBytes = 64 * kibibyte;
constexpr std::size_t againBytes = 5;

const LargeBodyCase largeBodyCases[] = {
    { "as large as the limit", "/once/", Framing::Length, responseLimit, "HTTP/1.1 200", responseLimit, 1 },
    { "as large as the limit, in chunks", "/once/", Framing::Chunks, responseLimit, "HTTP/1.1 200", responseLimit, 1 },
    { "as large as the limit, without a length", "/once/", Framing::Connection, responseLimit, "HTTP/1.1 200", responseLimit, 1 },
    { "larger by one byte", "/once/", Framing::Length, responseLimit + 1, "HTTP/1.1 502", 0, 1 },
    { "larger", "/once/", Framing::Length, responseLimit + mebibyte, "HTTP/1.1 502", 0, 1 },
    { "larger, in chunks", "/once/", Framing::Chunks, responseLimit + mebibyte, "HTTP/1.1 502", 0, 1 },
    { "larger, without a length", "/once/", Framing::Connection, responseLimit + mebibyte, "HTTP/1.1 502", 0, 1 },
    { "larger, repeatable", "/read/", Framing::Length, responseLimit + mebibyte, "HTTP/1.1 200", againBytes, 2 },
    { "larger, in chunks, repeatable", "/read/", Framing::Chunks, responseLimit + mebibyte, "HTTP/1.1 200", againBytes, 2 },
};

auto largeAnswer(const std::string& request, const LargeBodyCase& row) -> ScriptedAnswer
{
    const std::string body(row.size, 'a');
    if (row.framing == Framing::Length)
        return { GatewayFixture::answerTo(request, 200, body) };
    if (row.framing == Framing::Connection)
        return { ownHead(request) + "\r\n" + body, true };
    auto bytes = ownHead(request) + "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t place = 0; place < body.size(); place += chunkBytes)
        bytes += "10000\r\n" + body.substr(place, chunkBytes) + "\r\n";
    return { bytes + "0\r\n\r\n" };
}

TEST_CASE("an answer above the size limit is not passed on as a whole one")
{
    for (const auto& row : largeBodyCases) {
        CAPTURE(std::string(row.name));
        EndFixture fixture(
            "app", [&row](const std::string& request) { return largeAnswer(request, row); },
            [](const std::string& request) -> ScriptedAnswer { return { GatewayFixture::answerTo(request, 200, "again") }; });
        const auto answer = fixture.sendRequest(GatewayFixture::makeRequest(row.prefix, "r1"));
        CHECK(answer.starts_with(row.status));
        CHECK(isWhole(answer));
        CHECK(bodyOf(answer).size() == row.received);
        CHECK(fixture.requestCount == row.requests);
    }
}

} // namespace
