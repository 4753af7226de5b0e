#pragma once

#include "bookingclient.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Primrosefork::Measure {

/** One statement that a run is held to. */
struct Check {
    explicit Check(std::string statement)
        : statement(std::move(statement))
    {
    }

    std::string statement;
    std::int64_t looked = 0; ///< How often it was looked at.
    std::vector<std::string> violations;
};

/**
 * Holds the answers that callers got against how often their keys were run.
 */
class KeyLedger {
public:
    using Answers = std::vector<Testkit::BookingAnswer>;
    using Runs = std::map<std::string, std::int64_t>;

    KeyLedger();

    /** Takes the answers to the asks for \a key that were open at the same time, and the \a runs after the last of them. */
    auto addRound(const std::string& key, const std::string& body, const Answers& answers, const Runs& runs) -> void;

    /** Takes the answer to the ask for \a key after all faults are over. */
    auto addLastAsk(const std::string& key, const std::string& body, const Testkit::BookingAnswer& answer) -> void;

    /** Looks at the \a runs after everything is over. */
    auto close(const Runs& runs) -> void;

    auto setLongestAnswer(std::chrono::milliseconds limit) -> void { this->longestAnswer = limit; }

    [[nodiscard]] auto checks() const -> const std::vector<Check>& { return this->results; }

    /** Returns how many answers said what, by execution and error. */
    [[nodiscard]] auto counts() const -> const std::map<std::string, std::int64_t>& { return this->answerCounts; }

private:
    struct KeyHistory {
        std::string answer; ///< The body of the first answer that was run.
        bool lastSaidNotRun = false;
    };

    auto addAnswer(const std::string& key, const std::string& body, const Testkit::BookingAnswer&) -> void;
    auto look(std::size_t check, bool holds, const std::string& detail) -> void;

    std::vector<Check> results;
    std::map<std::string, KeyHistory> histories;
    std::map<std::string, std::int64_t> answerCounts;
    std::chrono::milliseconds longestAnswer { 0 };
};

} // namespace Primrosefork::Measure
