#pragma once

#include "bookingclient.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Primrosefork::Measure {

/** One invariant that a run is checked against. */
struct Check {
    explicit Check(std::string statement)
        : statement(std::move(statement))
    {
    }

    std::string statement;
    std::int64_t evaluations = 0; ///< How often the invariant was evaluated.
    std::vector<std::string> violations;
};

/**
 * Checks the answers that callers received against the number of times that the services ran each key.
 */
class KeyLedger {
public:
    using Answers = std::vector<Testkit::BookingAnswer>;
    using Runs = std::map<std::string, std::int64_t>;

    KeyLedger();

    /** Checks the \a answers to concurrent calls with \a key and \a body against the \a runs counted after the last answer. */
    auto addRound(const std::string& key, const std::string& body, const Answers& answers, const Runs& runs) -> void;

    /** Checks the \a answer to the call with \a key that is made after all faults are cleared. */
    auto addFinalAnswer(const std::string& key, const std::string& body, const Testkit::BookingAnswer& answer) -> void;

    /** Checks all keys against the \a runs counted at the end of the run. */
    auto close(const Runs& runs) -> void;

    /** Sets the longest time that an answer may take to \a limit. */
    auto setLongestAnswer(std::chrono::milliseconds limit) -> void { this->longestAnswer = limit; }

    [[nodiscard]] auto checks() const -> const std::vector<Check>& { return this->results; }

    /** Returns the number of answers by their execution and error. */
    [[nodiscard]] auto counts() const -> const std::map<std::string, std::int64_t>& { return this->answerCounts; }

private:
    struct KeyHistory {
        std::string answer; ///< Body of the first successful answer.
        bool lastReportedNotRun = false; ///< Whether the latest answers all report "not run".
    };

    auto addAnswer(const std::string& key, const std::string& body, const Testkit::BookingAnswer&) -> void;
    auto evaluate(std::size_t check, bool holds, const std::string& detail) -> void;

    std::vector<Check> results;
    std::map<std::string, KeyHistory> histories;
    std::map<std::string, std::int64_t> answerCounts;
    std::chrono::milliseconds longestAnswer { 0 };
};

} // namespace Primrosefork::Measure
