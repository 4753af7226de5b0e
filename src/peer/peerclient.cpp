#include "peerclient.h"

#include "errors.h"
#include "eventloop.h"
#include "hash.h"

#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto fetchTimeout = 2s;

auto wallTime() -> std::chrono::milliseconds
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace

PeerClient::PeerClient(EventLoop& loop, const ConfigurationExchange& exchange, std::string self)
    : loop(loop)
    , exchange(exchange)
    , self(std::move(self))
{
}

auto PeerClient::fetch(const Address& peer, StoreRevision after, Handler onDone) -> void
{
    this->handler = std::move(onDone);
    this->nonce = randomHex(ExchangeLimits::nonceBytes / 2);
    this->stream = std::make_shared<PeerStream>(this->loop, -1, ExchangeLimits::answerBytes, fetchTimeout,
        [this](std::error_code error, std::span<const std::uint8_t> message) { this->handleAnswer(error, message); });
    const auto request = this->exchange.encodeRequest({ this->self, this->nonce, wallTime(), after }, peer.toString());
    this->stream->send(request);
    if (const auto error = this->stream->connect(peer))
        this->loop.post([this, error] { this->handleAnswer(error, {}); });
}

auto PeerClient::handleAnswer(std::error_code error, std::span<const std::uint8_t> message) -> void
{
    if (!this->stream)
        return;
    // Defers destroying the stream until its current callback has returned.
    this->loop.post([closingStream = std::move(this->stream)] {});
    auto listing = error ? std::nullopt : this->exchange.decodeAnswer(message, this->nonce);
    const auto outcome = error || listing ? error : make_error_code(Error::BadAnswer);
    std::exchange(this->handler, nullptr)(outcome, listing.value_or(StoreListing {}));
}

} // namespace Primrosefork
