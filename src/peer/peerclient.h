#pragma once

#include "configurationexchange.h"
#include "peerstream.h"

#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace Primrosefork {

class EventLoop;

/**
 * Fetches the configuration that a peer has in force, from one peer at a time.
 */
class PeerClient {
public:
    using Handler = std::function<void(std::error_code, const StoreListing&)>;

    PeerClient(EventLoop&, const ConfigurationExchange&, std::string self);

    /** Requests the records after the revision \a after from \a peer. Must not be called while isBusy(). */
    auto fetch(const Address& peer, StoreRevision after, Handler) -> void;

    [[nodiscard]] auto isBusy() const -> bool { return this->stream != nullptr; }

private:
    auto handleAnswer(std::error_code, std::span<const std::uint8_t> message) -> void;

    EventLoop& loop;
    const ConfigurationExchange& exchange;
    std::string self;
    std::string nonce;
    Handler handler;
    std::shared_ptr<PeerStream> stream;
};

} // namespace Primrosefork
