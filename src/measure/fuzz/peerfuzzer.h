#pragma once

#include "configurationexchange.h"
#include "peercodec.h"
#include "peermembership.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace Primrosefork {

/** What became of the inputs. */
struct FuzzCounts {
    std::uint64_t inputs = 0;
    std::uint64_t acceptedMessages = 0;
    std::uint64_t acceptedListings = 0;
    std::uint64_t sentMessages = 0; ///< In answer to accepted ones.
    std::uint64_t oversizedMessages = 0; ///< Sent ones longer than the limit; a fault.
};

/**
 * Feeds random and changed messages to what reads messages of peers. Most
 * changed ones are signed again, so that they get past the signature.
 */
class PeerFuzzer {
public:
    explicit PeerFuzzer(std::uint32_t seed);

    /** Reads \a inputs more inputs; throws or crashes when one is not survived. */
    auto run(std::uint64_t inputs) -> void;

    [[nodiscard]] auto counts() const -> const FuzzCounts& { return this->totals; }

private:
    auto readDatagram(const std::vector<std::uint8_t>& datagram) -> void;
    auto readListing() -> void;
    auto randomMessage() -> PeerMessage;
    auto randomText(std::size_t longest) -> std::string;
    auto mutate(std::vector<std::uint8_t>& bytes) -> void;
    auto number(std::size_t limit) -> std::size_t;
    auto signedAgain(const std::vector<std::uint8_t>& message, const std::string& context) -> std::vector<std::uint8_t>;

    std::minstd_rand generator;
    PeerKeyring keyring;
    PeerCodec sender;
    PeerCodec recipient;
    ConfigurationExchange exchange;
    PeerMembership membership;
    PeerMembership::TimePoint now;
    FuzzCounts totals;
};

} // namespace Primrosefork
