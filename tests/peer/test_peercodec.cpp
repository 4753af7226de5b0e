#include "peercodec.h"

#include <doctest/doctest.h>
#include <sodium.h>
#include <string>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

const Address sender { "127.0.0.1", 8082 };
const Address recipient { "127.0.0.2", 8082 };
const PeerKey oldKey { 1, std::string(64, 'a') };
const PeerKey newKey { 2, std::string(64, 'b') };
constexpr auto now = std::chrono::milliseconds(1'700'000'000'000);

auto makeMessage() -> PeerMessage
{
    PeerMessage message;
    message.kind = PeerMessageKind::PingRequest;
    message.sender = "node-1";
    message.probe = 7;
    message.target = "node-2";
    message.targetAddress = { "10.0.0.3", 9 };
    message.liveHash = 11;
    message.ownRevision = 12;
    message.newestRevision = 13;
    message.confirmations = { 1, 255 };
    message.records = { { "node-3", { "10.1.2.3", 8082 }, "a", "west", PeerState::Suspect, 5, 6 } };
    message.notices = { { "engine-1", 900ms } };
    return message;
}

TEST_CASE("a message is decoded as it was encoded")
{
    PeerCodec from(sender, 1, { oldKey });
    PeerCodec to(recipient, 1, { oldKey });
    const auto datagram = from.encode(makeMessage(), recipient, now);
    const auto decoded = to.decode(datagram, now);
    REQUIRE(decoded);
    CHECK(*decoded == makeMessage());
    CHECK(to.counts() == PeerCodecCounts { .accepted = 1 });
}

struct RefusalCase {
    const char* name;
    void (*change)(std::vector<std::uint8_t>&);
    Address arrivesAt;
    std::chrono::milliseconds arrivesAfter;
    PeerCodecCounts counts;
};

const RefusalCase refusalCases[] = {
    { "unchanged", [](std::vector<std::uint8_t>&) {}, recipient, 0ms, { .accepted = 1 } },
    { "one bit of the body flipped", [](std::vector<std::uint8_t>& bytes) { bytes[30] ^= 1; }, recipient, 0ms, { .notAuthentic = 1 } },
    { "one bit of the hash flipped", [](std::vector<std::uint8_t>& bytes) { bytes.back() ^= 1; }, recipient, 0ms, { .notAuthentic = 1 } },
    { "the id of an unknown key", [](std::vector<std::uint8_t>& bytes) { bytes[0] = 9; }, recipient, 0ms, { .unknownKey = 1 } },
    { "truncated by one byte", [](std::vector<std::uint8_t>& bytes) { bytes.resize(bytes.size() - 1); }, recipient, 0ms, { .notAuthentic = 1 } },
    { "too short for a hash", [](std::vector<std::uint8_t>& bytes) { bytes.resize(20); }, recipient, 0ms, { .malformed = 1 } },
    { "empty", [](std::vector<std::uint8_t>& bytes) { bytes.clear(); }, recipient, 0ms, { .malformed = 1 } },
    { "too long", [](std::vector<std::uint8_t>& bytes) { bytes.resize(1'401); }, recipient, 0ms, { .malformed = 1 } },
    { "relayed to another node", [](std::vector<std::uint8_t>&) {}, { "127.0.0.3", 8082 }, 0ms, { .notAuthentic = 1 } },
    { "a minute old", [](std::vector<std::uint8_t>&) {}, recipient, 60s, { .accepted = 1 } },
    { "older than a minute", [](std::vector<std::uint8_t>&) {}, recipient, 60'001ms, { .old = 1 } },
    { "sender clock more than a minute ahead", [](std::vector<std::uint8_t>&) {}, recipient, -60'001ms, { .old = 1 } },
};

TEST_CASE("a datagram that is altered, relayed or outside the clock tolerance is refused and counted")
{
    for (const auto& row : refusalCases) {
        CAPTURE(std::string(row.name));
        PeerCodec from(sender, 1, { oldKey });
        PeerCodec to(row.arrivesAt, 1, { oldKey });
        auto datagram = from.encode(makeMessage(), recipient, now);
        row.change(datagram);
        CHECK(to.decode(datagram, now + row.arrivesAfter).has_value() == (row.counts.accepted == 1));
        CHECK(to.counts() == row.counts);
    }
}

struct KeyCase {
    const char* name;
    std::vector<PeerKey> sender;
    std::vector<PeerKey> recipient;
    bool isAccepted;
};

const KeyCase keyCases[] = {
    { "both have the old key", { oldKey }, { oldKey }, true },
    { "the recipient verifies the new key already", { oldKey }, { oldKey, newKey }, true },
    { "the sender signs with the new key", { newKey, oldKey }, { oldKey, newKey }, true },
    { "the recipient signs with the new key already", { oldKey, newKey }, { newKey, oldKey }, true },
    { "the recipient no longer has the old key", { oldKey }, { newKey }, false },
    { "same id, another secret", { { 1, std::string(64, 'c') } }, { oldKey }, false },
};

TEST_CASE("keys can be rotated one node at a time")
{
    for (const auto& row : keyCases) {
        CAPTURE(std::string(row.name));
        PeerCodec from(sender, 1, row.sender);
        PeerCodec to(recipient, 1, row.recipient);
        CHECK(to.decode(from.encode(makeMessage(), recipient, now), now).has_value() == row.isAccepted);
    }
}

struct ReplayStep {
    std::uint64_t session;
    std::uint32_t sequence;
    ReplayVerdict verdict;
};

struct ReplayCase {
    const char* name;
    std::vector<ReplayStep> steps;
};

const ReplayCase replayCases[] = {
    { "in order", { { 5, 1, ReplayVerdict::Fresh }, { 5, 2, ReplayVerdict::Fresh } } },
    { "a repeated sequence number", { { 5, 1, ReplayVerdict::Fresh }, { 5, 1, ReplayVerdict::Replayed } } },
    { "out of order within the window", { { 5, 100, ReplayVerdict::Fresh }, { 5, 37, ReplayVerdict::Fresh }, { 5, 37, ReplayVerdict::Replayed } } },
    { "before the window", { { 5, 100, ReplayVerdict::Fresh }, { 5, 36, ReplayVerdict::Replayed } } },
    { "a step beyond the window, then repeated sequence numbers", { { 5, 1, ReplayVerdict::Fresh }, { 5, 1'000, ReplayVerdict::Fresh }, { 5, 1'000, ReplayVerdict::Replayed }, { 5, 1, ReplayVerdict::Replayed } } },
    { "a new session of the sender", { { 5, 900, ReplayVerdict::Fresh }, { 6, 1, ReplayVerdict::Fresh }, { 6, 1, ReplayVerdict::Replayed } } },
    { "an old session after a new one", { { 6, 1, ReplayVerdict::Fresh }, { 5, 2, ReplayVerdict::Replayed } } },
};

TEST_CASE("a datagram is accepted only once")
{
    for (const auto& row : replayCases) {
        CAPTURE(std::string(row.name));
        ReplayGuard guard(60s);
        for (const auto& step : row.steps)
            CHECK(guard.admit("node-1", { step.session, step.sequence, now }, now) == step.verdict);
    }
}

TEST_CASE("a message with too many records is shortened to the datagram size")
{
    PeerCodec from(sender, 1, { oldKey });
    PeerCodec to(recipient, 1, { oldKey });
    auto message = makeMessage();
    message.records.assign(24, { std::string(64, 'n'), { "10.1.2.3", 8082 }, std::string(64, 'z'), std::string(64, 'r'), PeerState::Alive, 5, 6 });
    const auto datagram = from.encode(message, recipient, now);
    CHECK(datagram.size() <= 1'400);
    const auto decoded = to.decode(datagram, now);
    REQUIRE(decoded);
    CHECK(decoded->records.size() == 5);
}

} // namespace
