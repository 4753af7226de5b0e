#pragma once

#include "cluster.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Primrosefork::Measure {

/** What callers of calls that are not idempotent got, against what the plain services ran. */
struct BookingTotals {
    std::int64_t calls = 0;
    std::int64_t confirmed = 0;
    std::int64_t runTwice = 0; ///< Keys that the services ran more than once.
    std::int64_t falselyNotRun = 0; ///< Refused as "not run", and run.
    std::int64_t falselyRun = 0; ///< Confirmed, and not run.
};

/**
 * Callers that confirm bookings, each with its own key and asking once.
 */
class BookingCalls {
public:
    explicit BookingCalls(Testkit::Cluster&);
    ~BookingCalls();
    BookingCalls(const BookingCalls&) = delete;
    auto operator=(const BookingCalls&) -> BookingCalls& = delete;

    /** Sends one call to the node of index \a node. */
    auto send(std::size_t node) -> void;

    [[nodiscard]] auto areDone() const -> bool;

    /** Returns the totals against the counts of \a plainServices plain services. */
    [[nodiscard]] auto totals(std::size_t plainServices) -> BookingTotals;

private:
    struct Call {
        std::string key;
        std::string execution; ///< What the caller was told.
        int status = 0;
        bool isDone = false;
    };

    Testkit::Cluster& cluster;
    std::vector<std::shared_ptr<Call>> calls;
    std::vector<std::shared_ptr<HttpCall>> open;
};

} // namespace Primrosefork::Measure
