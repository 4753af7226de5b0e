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

/** Numbers of inputs and of their results. */
struct FuzzCounts {
    std::uint64_t inputs = 0;
    std::uint64_t acceptedMessages = 0;
    std::uint64_t acceptedListings = 0;
    std::uint64_t sentMessages = 0; ///< Messages sent in answer to accepted ones.
    std::uint64_t oversizedMessages = 0; ///< Sent messages longer than the datagram limit; any such message is a fault.
};

/**
 * Feeds random and mutated messages to the code that reads messages of peers.
 * Most mutated messages are signed again, so that they pass authentication.
 */
class PeerFuzzer {
public:
    explicit PeerFuzzer(std::uint32_t seed);

    /** Feeds \a inputs more inputs. An input that is not handled safely shows as an exception or a crash. */
    auto run(std::uint64_t inputs) -> void;

    [[nodiscard]] auto counts() const -> const FuzzCounts& { return this->totals; }

private:
    auto readDatagram(const std::vector<std::uint8_t>& datagram) -> void;
    auto readListing() -> void;
    auto randomMessage() -> PeerMessage;
    auto randomText(std::size_t longest) -> std::string;
    auto mutate(std::vector<std::uint8_t>& bytes) -> void;
    auto randomNumber(std::size_t limit) -> std::size_t;
    auto signAgain(const std::vector<std::uint8_t>& message, const std::string& context) -> std::vector<std::uint8_t>;

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
