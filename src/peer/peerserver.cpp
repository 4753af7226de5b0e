#include "peerserver.h"

#include "eventloop.h"

#include <arpa/inet.h>
#include <cerrno>
#include <event2/listener.h>
#include <netinet/in.h>
#include <unistd.h>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::size_t maxStreams = 32;
constexpr auto streamTimeout = 3s;

auto wallTime() -> std::chrono::milliseconds
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace

PeerServer::PeerServer(EventLoop& loop, const ConfigurationExchange& exchange, ListingSource listingSource)
    : loop(loop)
    , exchange(exchange)
    , listingSource(std::move(listingSource))
{
}

PeerServer::~PeerServer()
{
    if (this->listener)
        evconnlistener_free(this->listener);
}

auto PeerServer::listen(const Address& ownAddress) -> std::error_code
{
    this->address = ownAddress;
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_port = htons(ownAddress.port);
    inet_pton(AF_INET, ownAddress.ip.c_str(), &name.sin_addr);
    constexpr int defaultBacklog = -1;
    this->listener = evconnlistener_new_bind(
        this->loop.base(), [](evconnlistener*, evutil_socket_t descriptor, sockaddr*, int, void* self) { static_cast<PeerServer*>(self)->accept(descriptor); },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, defaultBacklog, reinterpret_cast<sockaddr*>(&name), sizeof name);
    if (!this->listener)
        return { errno, std::generic_category() };
    return {};
}

auto PeerServer::accept(int descriptor) -> void
{
    if (this->streams.size() >= maxStreams) {
        ++this->refused;
        ::close(descriptor);
        return;
    }
    const auto id = this->nextId++;
    this->streams[id] = std::make_unique<PeerStream>(this->loop, descriptor, ExchangeLimits::requestBytes, streamTimeout,
        [this, id](std::error_code error, std::span<const std::uint8_t> message) { this->handleRequest(id, error, message); });
}

auto PeerServer::handleRequest(std::uint64_t id, std::error_code error, std::span<const std::uint8_t> message) -> void
{
    const auto request = error ? std::nullopt : this->exchange.decodeRequest(message, this->address.toString(), wallTime());
    if (!request) {
        ++this->refused;
        return this->close(id);
    }
    auto& stream = *this->streams.at(id);
    stream.send(this->exchange.encodeAnswer(this->listingSource(request->after), request->nonce));
    stream.whenSent([this, id] { this->close(id); });
}

/** Removes the stream \a id and defers destroying it until its current callback has returned. */
auto PeerServer::close(std::uint64_t id) -> void
{
    const std::shared_ptr<PeerStream> closingStream = std::move(this->streams[id]);
    this->streams.erase(id);
    this->loop.post([closingStream] {});
}

} // namespace Primrosefork
