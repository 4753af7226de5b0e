#include "crowdcaller.h"
#include "intakefixture.h"
#include "messages.h"
#include "units.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <limits>
#include <string>
#include <thread>
#include <vector>

using namespace Primrosefork;
using namespace Primrosefork::IntakeTest;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t memory = 32 * mebibyte; ///< In the settings of the node, and the most that its process may take.
constexpr std::size_t keptBytes = memory / 4; ///< What the process may take after the callers have left, beyond what it took before they came.
constexpr std::size_t bodyBytes = 4'000'000; ///< Below the default limit for a body.
constexpr std::size_t pieceBytes = 64 * kibibyte;
constexpr std::size_t whole = std::numeric_limits<std::size_t>::max();
constexpr std::size_t trickleBytes = 512;
constexpr auto tricklePause = 100ms;
constexpr std::size_t linesBytes = 16'000; ///< Below the default limit for a head.
constexpr std::size_t shortBodyBytes = 4'000;
constexpr int headCallers = 200; ///< Their heads together take a tenth of the memory on the wire.
constexpr int bodyCallers = 60; ///< Their bodies together take more than seven times the memory.

auto headOf(const std::string& lengthLine) -> std::string
{
    return "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: crowd\r\nAuthorization: Token k1\r\nX-Deadline-Ms: 30000\r\n" + lengthLine + "\r\n\r\n";
}

/** Returns a request with a large body that lacks its last \a missing bytes. */
auto lengthRequest(std::size_t missing) -> std::string
{
    return headOf("Content-Length: " + std::to_string(bodyBytes)) + std::string(bodyBytes - missing, 'a');
}

/** Returns the same in chunks. */
auto chunkedRequest(std::size_t missing) -> std::string
{
    auto request = headOf("Transfer-Encoding: chunked");
    for (std::size_t sent = 0; sent < bodyBytes; sent += pieceBytes)
        request += Testkit::chunk(std::string(std::min(pieceBytes, bodyBytes - sent), 'a'));
    request += Testkit::chunk("");
    request.resize(request.size() - missing);
    return request;
}

/** Returns an ordinary request that stays open, with the large one behind it. */
auto pipelinedRequests() -> std::string
{
    return Testkit::makeRequest("/once/", "open") + lengthRequest(1);
}

/** Returns a request whose head has many short lines, without its last \a missing bytes. */
auto manyLinesRequest(std::size_t missing) -> std::string
{
    std::string lines = "Content-Length: " + std::to_string(shortBodyBytes);
    while (lines.size() < linesBytes)
        lines += "\r\na:";
    const auto request = headOf(lines) + std::string(shortBodyBytes, 'a');
    return request.substr(0, request.size() - missing);
}

auto nothing() -> std::string
{
    return {};
}

struct CrowdCase {
    const char* name;
    std::string (*bytes)(); ///< What each caller sends.
    std::size_t piece; ///< Number of bytes that a caller sends before the next one has its turn.
    int callers;
    std::size_t descriptors; ///< Limit of the process.
    bool trickles = false; ///< Whether a caller sends little and seldom after its first piece.
};

const CrowdCase crowdCases[] = {
    { "whole bodies at once", [] { return lengthRequest(0); }, whole, bodyCallers, 1'024 },
    { "whole bodies piece by piece", [] { return lengthRequest(0); }, pieceBytes, bodyCallers, 1'024 },
    { "bodies at once that lack a byte", [] { return lengthRequest(1); }, whole, bodyCallers, 1'024 },
    { "bodies piece by piece that lack a byte", [] { return lengthRequest(1); }, pieceBytes, bodyCallers, 1'024 },
    { "whole chunked bodies at once", [] { return chunkedRequest(0); }, whole, bodyCallers, 1'024 },
    { "whole chunked bodies piece by piece", [] { return chunkedRequest(0); }, pieceBytes, bodyCallers, 1'024 },
    { "chunked bodies at once that lack a byte", [] { return chunkedRequest(1); }, whole, bodyCallers, 1'024 },
    { "chunked bodies piece by piece that lack a byte", [] { return chunkedRequest(1); }, pieceBytes, bodyCallers, 1'024 },
    { "bodies that trickle", [] { return lengthRequest(0); }, mebibyte, bodyCallers, 1'024, true },
    { "connections that send nothing", nothing, whole, 120, 96 },
    { "incomplete bodies on more connections than descriptors", [] { return lengthRequest(1).substr(0, 100'000); }, whole, 120, 96 },
    { "heads of many lines whose bodies lack a byte", [] { return manyLinesRequest(1); }, whole, headCallers, 1'024 },
    { "heads of many lines that lack their end", [] { return manyLinesRequest(shortBodyBytes + 1); }, whole, headCallers, 1'024 },
    { "whole requests with heads of many lines", [] { return manyLinesRequest(0); }, whole, headCallers, 1'024 },
    { "a large body behind an open request", pipelinedRequests, pieceBytes, bodyCallers, 1'024 },
};

// Guards against a crowd of callers, each within the limits, that takes more memory or descriptors than the machine has, so that
// the process ends or answers nobody.
TEST_CASE("a crowd of callers with large, incomplete or no requests leaves the node alive, within its memory, and serving others")
{
    for (const auto& row : crowdCases) {
        CAPTURE(std::string(row.name));
        IntakeFixture fixture(memory, row.descriptors);
        const auto before = fixture.node().residentBytes();
        const auto bytes = std::make_shared<const std::string>(row.bytes());
        std::vector<std::unique_ptr<CrowdCaller>> crowd;
        std::size_t mostDescriptors = 0;
        crowd.reserve(static_cast<std::size_t>(row.callers));
        for (int number = 0; number < row.callers; ++number)
            crowd.push_back(std::make_unique<CrowdCaller>(fixture.callers(), bytes));

        // Until the node has taken nothing more for some time; callers that trickle would go on for minutes.
        int rounds = 0;
        auto lastSent = EventLoop::now();
        const auto isQuiet = [&] {
            std::size_t sent = 0;
            const auto isTrickling = row.trickles && rounds > 0;
            for (const auto& caller : crowd)
                sent += caller->step(isTrickling ? trickleBytes : row.piece);
            if (isTrickling)
                std::this_thread::sleep_for(tricklePause);
            ++rounds;
            mostDescriptors = std::max(mostDescriptors, fixture.node().descriptorCount());
            if (sent > 0)
                lastSent = EventLoop::now();
            return !fixture.node().isRunning() || EventLoop::now() - lastSent > 700ms;
        };
        fixture.runUntil(isQuiet, 6s);
        CHECK(fixture.node().isRunning());
        CHECK(fixture.peakBytes() <= memory);
        CHECK(mostDescriptors < row.descriptors);

        // The callers that the node has not turned away are still connected.
        CHECK(fixture.statusOfRequests(8s) == 200);

        crowd.clear();
        fixture.runUntil([&] { return fixture.node().residentBytes() <= before + keptBytes; }, 10s);
        CHECK(fixture.node().residentBytes() <= before + keptBytes);
        CHECK(fixture.statusOfRequests(8s) == 200);
        CHECK(fixture.node().isRunning());
        MESSAGE(std::string(row.name) << ": " << before / mebibyte << " MiB before, " << fixture.peakBytes() / mebibyte << " MiB at most, "
                                      << fixture.node().residentBytes() / mebibyte << " MiB afterwards, " << mostDescriptors << " descriptors at most");
    }
}

} // namespace
