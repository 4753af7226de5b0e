#include "peerfuzzer.h"

#include <algorithm>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

const std::vector<PeerKey> keys { { 1, std::string(64, 'a') } };
const Address senderAddress { "127.0.0.1", 8082 };
const Address recipientAddress { "127.0.0.2", 8082 };
constexpr auto wallTime = std::chrono::milliseconds(1'700'000'000'000);
constexpr std::size_t nodeIdCount = 64;
constexpr std::uint64_t inputsPerRecipient = 500;
const std::string nonce(32, 'f');

auto makeSelf() -> Peer
{
    Peer self;
    self.id = "node-0";
    self.address = recipientAddress;
    self.zone = "a";
    self.region = "west";
    self.incarnation = 1;
    return self;
}

} // namespace

PeerFuzzer::PeerFuzzer(std::uint32_t seed)
    : generator(seed)
    , keyring(keys)
    , sender(senderAddress, 1, keys)
    , recipient(recipientAddress, 1, keys)
    , exchange(keys)
    , membership(makeSelf(), { senderAddress }, {}, seed)
    , now(1h)
{
}

auto PeerFuzzer::run(std::uint64_t inputs) -> void
{
    constexpr std::size_t kinds = 8;
    for (std::uint64_t count = 0; count < inputs; ++count) {
        // A mutated sequence number can make the replay check reject all later messages of its sender,
        // so the recipient is replaced after every inputsPerRecipient inputs.
        if (++this->totals.inputs % inputsPerRecipient == 0)
            this->recipient = PeerCodec(recipientAddress, 1, keys);
        const auto kind = this->randomNumber(kinds);
        if (kind == 0) {
            const auto text = this->randomText(PeerLimits::datagramBytes + 1);
            this->readDatagram({ text.begin(), text.end() });
        } else if (kind == 1) {
            this->readListing();
        } else {
            auto datagram = this->sender.encode(this->randomMessage(), recipientAddress, wallTime);
            if (kind > 2)
                this->mutate(datagram);
            if (kind > 3)
                datagram = this->signAgain(datagram, recipientAddress.toString());
            this->readDatagram(datagram);
        }
    }
}

auto PeerFuzzer::readDatagram(const std::vector<std::uint8_t>& datagram) -> void
{
    const auto message = this->recipient.decode(datagram, wallTime);
    if (!message)
        return;
    ++this->totals.acceptedMessages;
    this->now += std::chrono::milliseconds(this->randomNumber(50));
    auto messages = this->membership.receive(senderAddress, *message, this->now);
    auto more = this->membership.tick(this->now);
    messages.insert(messages.end(), more.begin(), more.end());
    for (const auto& outgoing : messages) {
        ++this->totals.sentMessages;
        if (this->sender.encode(outgoing.message, outgoing.recipient, wallTime).size() > PeerLimits::datagramBytes)
            ++this->totals.oversizedMessages;
    }
}

auto PeerFuzzer::readListing() -> void
{
    StoreListing listing;
    listing.revision = this->generator();
    for (auto left = this->randomNumber(4); left > 0; --left)
        listing.entries.push_back({ this->randomText(20), this->randomText(100), this->generator() });
    auto message = this->exchange.encodeAnswer(listing, nonce);
    this->mutate(message);
    message = this->signAgain(message, "answer " + nonce);
    if (this->exchange.decodeAnswer(message, nonce))
        ++this->totals.acceptedListings;
    static_cast<void>(this->exchange.decodeRequest(message, recipientAddress.toString(), wallTime));
}

auto PeerFuzzer::randomMessage() -> PeerMessage
{
    constexpr std::size_t kinds = 6;
    PeerMessage message;
    message.kind = static_cast<PeerMessageKind>(this->randomNumber(kinds));
    message.sender = "node-" + std::to_string(1 + this->randomNumber(nodeIdCount));
    message.probe = static_cast<std::uint32_t>(this->randomNumber(100));
    message.target = "node-" + std::to_string(this->randomNumber(nodeIdCount));
    message.targetAddress = senderAddress;
    message.liveHash = this->generator();
    message.newestRevision = this->randomNumber(10);
    message.confirmations.assign(this->randomNumber(PeerLimits::confirmationBytes), static_cast<std::uint8_t>(this->randomNumber(256)));
    for (auto left = this->randomNumber(PeerLimits::records); left > 0; --left) {
        message.records.push_back({ "node-" + std::to_string(this->randomNumber(nodeIdCount)), senderAddress, this->randomText(10), this->randomText(10),
            static_cast<PeerState>(this->randomNumber(4)), this->randomNumber(5), this->randomNumber(10) });
    }
    for (auto left = this->randomNumber(PeerLimits::notices); left > 0; --left)
        message.notices.push_back({ "i" + this->randomText(8), std::chrono::milliseconds(this->randomNumber(100'000)) });
    return message;
}

auto PeerFuzzer::randomText(std::size_t longest) -> std::string
{
    std::string text(this->randomNumber(longest + 1), '\0');
    for (auto& letter : text)
        letter = static_cast<char>(this->randomNumber(256));
    return text;
}

auto PeerFuzzer::mutate(std::vector<std::uint8_t>& bytes) -> void
{
    constexpr std::size_t mostChanges = 4;
    constexpr std::size_t kinds = 4;
    for (auto left = 1 + this->randomNumber(mostChanges); left > 0 && !bytes.empty(); --left) {
        const auto place = this->randomNumber(bytes.size());
        const auto position = bytes.begin() + static_cast<std::ptrdiff_t>(place);
        switch (this->randomNumber(kinds)) {
        case 0:
            bytes[place] ^= static_cast<std::uint8_t>(1U << this->randomNumber(8));
            break;
        case 1:
            bytes[place] = this->randomNumber(2) == 0 ? 0x00 : 0xff;
            break;
        case 2:
            bytes.insert(position, static_cast<std::uint8_t>(this->randomNumber(256)));
            break;
        default:
            bytes.resize(place);
            break;
        }
    }
}

auto PeerFuzzer::randomNumber(std::size_t limit) -> std::size_t
{
    return limit == 0 ? 0 : this->generator() % limit;
}

auto PeerFuzzer::signAgain(const std::vector<std::uint8_t>& message, const std::string& context) -> std::vector<std::uint8_t>
{
    if (message.size() <= PeerKeyring::keyIdBytes + PeerKeyring::tagBytes)
        return message;
    const auto body = PeerKeyring::bodyOf(message);
    return this->keyring.sign(std::string(body.begin(), body.end()), context);
}

} // namespace Primrosefork
