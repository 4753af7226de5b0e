#include "configurationexchange.h"
#include "errors.h"
#include "eventloop.h"
#include "peerclient.h"
#include "peerserver.h"

#include <doctest/doctest.h>
#include <string>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

const PeerKey key { 1, std::string(64, 'a') };
const PeerKey otherKey { 1, std::string(64, 'b') };
constexpr auto now = std::chrono::milliseconds(1'700'000'000'000);
const std::string nonce(32, 'f');

struct RequestCase {
    const char* name;
    std::vector<PeerKey> keys;
    const char* arrivesAt;
    std::chrono::milliseconds arrivesAfter;
    bool isAccepted;
};

const RequestCase requestCases[] = {
    { "unchanged", { key }, "127.0.0.1:1", 0ms, true },
    { "a recipient with another key", { otherKey }, "127.0.0.1:1", 0ms, false },
    { "relayed to another node", { key }, "127.0.0.2:1", 0ms, false },
    { "sent more than a minute ago", { key }, "127.0.0.1:1", 61s, false },
    { "sender clock more than a minute ahead", { key }, "127.0.0.1:1", -61s, false },
};

TEST_CASE("a request is accepted only by its recipient, with the same key and within the clock tolerance")
{
    for (const auto& row : requestCases) {
        CAPTURE(std::string(row.name));
        const ConfigurationExchange from({ key });
        const ConfigurationExchange to(row.keys);
        const auto message = from.encodeRequest({ "node-1", nonce, now, 9 }, "127.0.0.1:1");
        const auto request = to.decodeRequest(message, row.arrivesAt, now + row.arrivesAfter);
        REQUIRE(request.has_value() == row.isAccepted);
        if (request)
            CHECK(*request == ConfigurationRequest { "node-1", nonce, now, 9 });
    }
}

TEST_CASE("an answer is accepted only with the nonce of its request")
{
    const ConfigurationExchange exchange({ key });
    const auto message = exchange.encodeAnswer({ { { "config/a", "{}", 7 } }, 8 }, nonce);
    const auto listing = exchange.decodeAnswer(message, nonce);
    REQUIRE(listing);
    CHECK(listing->revision == 8);
    REQUIRE(listing->entries.size() == 1);
    CHECK(listing->entries[0].key == "config/a");
    CHECK(listing->entries[0].value == "{}");
    CHECK(listing->entries[0].revision == 7);
    CHECK_FALSE(exchange.decodeAnswer(message, std::string(32, 'e')));
    CHECK_FALSE(exchange.decodeRequest(message, nonce, now));
}

struct FetchCase {
    const char* name;
    std::vector<PeerKey> serverKeys;
    bool isListening;
    std::size_t valueBytes;
    std::uint64_t refused;
    std::error_code outcome;
};

const FetchCase fetchCases[] = {
    { "a small configuration", { key }, true, 10, 0, {} },
    { "a megabyte in one record", { key }, true, 1'048'576, 0, {} },
    { "a server with another key", { otherKey }, true, 10, 1, Error::ConnectionLost },
    { "no server", { key }, false, 10, 0, Error::ConnectionLost },
};

TEST_CASE("a configuration is fetched over TCP")
{
    for (const auto& row : fetchCases) {
        CAPTURE(std::string(row.name));
        EventLoop loop;
        const ConfigurationExchange serverExchange(row.serverKeys);
        const ConfigurationExchange clientExchange({ key });
        const Address address { "127.0.41.7", 18'082 };
        PeerServer server(loop, serverExchange, [&row](StoreRevision after) {
            return StoreListing { { { "config/a", std::string(row.valueBytes, 'v'), after + 1 } }, after + 1 };
        });
        if (row.isListening)
            REQUIRE_FALSE(server.listen(address));
        PeerClient client(loop, clientExchange, "node-1");
        bool isDone = false;

        client.fetch(address, 41, [&](std::error_code error, const StoreListing& listing) {
            isDone = true;
            CHECK(error == row.outcome);
            if (!error) {
                CHECK(listing.revision == 42);
                REQUIRE(listing.entries.size() == 1);
                CHECK(listing.entries[0].value.size() == row.valueBytes);
            }
        });

        const auto end = EventLoop::now() + 5s;
        while (!isDone && EventLoop::now() < end)
            loop.runOnce();
        CHECK(isDone);
        CHECK(server.refusedCount() == row.refused);
        CHECK_FALSE(client.isBusy());
    }
}

} // namespace
