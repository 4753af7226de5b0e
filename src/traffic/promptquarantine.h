#pragma once

#include "promptevidence.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Primrosefork {

/** A prompt part of a service. */
using PromptKey = std::pair<std::string, std::uint64_t>;

/** A part whose requests began to be refused, or are no longer refused. */
struct QuarantineChange {
    std::string service;
    std::uint64_t part = 0;
    bool isQuarantined = false; ///< False when the part was released.
    std::size_t crashes = 0; ///< Crashes on which the decision rests.
    double lossRate = 0; ///< Probability assumed for the loss of an attempt with a sound prompt.
};

/**
 * Decides from the evidence of all nodes which prompt parts crash servers.
 *
 * A part is quarantined when so many crashes of its requests, none of which
 * began on any node, are improbable for a sound part at the service's present
 * rate of losses.
 */
class PromptQuarantine {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /** Replaces the \a evidence of \a node. */
    auto reportReceived(const std::string& node, std::vector<PromptEvidence> evidence, TimePoint now) -> void;

    /** Adds parts that another leader had quarantined; a shorter time that is known already stays. */
    auto adopt(const std::string& service, const std::vector<QuarantinedPart>& parts, TimePoint now) -> void;

    /** Decides on the evidence received so far, and returns the changes since the last call. */
    auto decide(TimePoint now) -> std::vector<QuarantineChange>;

    /** Returns the present decisions of each service that has any. */
    [[nodiscard]] auto verdicts(TimePoint now) const -> std::vector<PromptVerdict>;

private:
    struct NodeEvidence {
        TimePoint received;
        std::vector<PromptEvidence> services;
    };

    struct Loss {
        std::uint32_t server = 0;
        TimePoint moment;
    };

    /** What all nodes together know about one part. */
    struct Suspect {
        std::uint64_t part = 0;
        std::uint8_t position = 0;
        std::vector<Loss> losses; ///< Losses since the last begin that no quarantined part explains, the oldest first.
        std::size_t crashes = 0;
        TimePoint firstCrash;
        TimePoint lastCrash;
    };

    struct Attempts {
        double begun = 0;
        double lost = 0;
    };

    auto expire(TimePoint now) -> std::vector<QuarantineChange>;
    [[nodiscard]] auto serviceNames() const -> std::set<std::string>;
    auto decideService(const std::string& service, TimePoint now, std::vector<QuarantineChange>& changes) -> void;
    static auto withRivals(std::vector<Loss>, const std::vector<Suspect>&, const Suspect& judged) -> std::vector<Loss>;
    auto merge(const PromptEvidence&, TimePoint received, std::map<std::uint64_t, Suspect>& merged) -> void;
    auto collect(const std::string& service, TimePoint now) -> std::vector<Suspect>;
    static auto countCrashes(Suspect&) -> void;
    auto question(const std::string& service, const std::vector<Suspect>&, TimePoint now) -> void;
    [[nodiscard]] auto isHeard(const std::string& service, std::uint64_t part, TimePoint now) const -> bool;
    [[nodiscard]] auto lossRate(const std::string& service, const Suspect&, const std::vector<Loss>& explained) const -> double;

    std::map<std::string, NodeEvidence> nodes;
    std::map<PromptKey, TimePoint> questioned; ///< Time at which each part was put in question.
    std::map<PromptKey, TimePoint> quarantined; ///< Time at which each part is released.
    std::map<PromptKey, TimePoint> lastBegins; ///< Last known begins of parts that were in question.
};

} // namespace Primrosefork
