#pragma once

#include "configurationexchange.h"
#include "peerstream.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <system_error>

struct evconnlistener;

namespace Primrosefork {

class EventLoop;

/**
 * Answers requests of peers for the configuration that this node has in force.
 */
class PeerServer {
public:
    using ListingSource = std::function<StoreListing(StoreRevision after)>;

    PeerServer(EventLoop&, const ConfigurationExchange&, ListingSource);
    ~PeerServer();
    PeerServer(const PeerServer&) = delete;
    auto operator=(const PeerServer&) -> PeerServer& = delete;

    auto listen(const Address&) -> std::error_code;

    /** Returns the number of refused connections and requests. */
    [[nodiscard]] auto refusedCount() const -> std::uint64_t { return this->refused; }

private:
    auto accept(int descriptor) -> void;
    auto handleRequest(std::uint64_t id, std::error_code, std::span<const std::uint8_t> message) -> void;
    auto close(std::uint64_t id) -> void;

    EventLoop& loop;
    const ConfigurationExchange& exchange;
    ListingSource listingSource;
    Address address;
    evconnlistener* listener = nullptr;
    std::map<std::uint64_t, std::unique_ptr<PeerStream>> streams;
    std::uint64_t nextId = 1;
    std::uint64_t refused = 0;
};

} // namespace Primrosefork
