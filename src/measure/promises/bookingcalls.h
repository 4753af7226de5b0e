#pragma once

#include "cluster.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Primrosefork::Measure {

/** Outcomes of calls that are not idempotent, compared with the runs that the plain services counted. */
struct BookingTotals {
    std::int64_t calls = 0;
    std::int64_t confirmed = 0;
    std::int64_t runTwice = 0; ///< Calls whose key was run more than once.
    std::int64_t wronglyNotRun = 0; ///< Calls refused as "not run" although their key was run.
    std::int64_t wronglyConfirmed = 0; ///< Calls answered as confirmed although their key was not run.
    std::map<std::string, std::int64_t> outcomes; ///< Number of calls by node, status and error.
};

/**
 * Sends booking confirmations, each once and with a key of its own.
 */
class BookingCalls {
public:
    explicit BookingCalls(Testkit::Cluster&);
    ~BookingCalls();
    BookingCalls(const BookingCalls&) = delete;
    auto operator=(const BookingCalls&) -> BookingCalls& = delete;

    /** Sends one call to the node of index \a node. */
    auto send(std::size_t node) -> void;

    /** Returns whether all calls have ended. */
    [[nodiscard]] auto areDone() const -> bool;

    /** Returns the totals of all calls, compared with the runs counted by \a plainServices plain services. */
    [[nodiscard]] auto totals(std::size_t plainServices) -> BookingTotals;

private:
    struct Call {
        std::string key;
        std::size_t node = 0;
        std::string execution; ///< Execution that the answer reports.
        std::string error; ///< Error code in the answer.
        int status = 0;
        bool isDone = false;
    };

    Testkit::Cluster& cluster;
    std::vector<std::shared_ptr<Call>> calls;
    std::vector<std::shared_ptr<HttpCall>> open;
};

} // namespace Primrosefork::Measure
