#pragma once

#include "cluster.h"
#include "httpclient.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Primrosefork::Testkit {

/** What a caller got for a call that is not idempotent. */
struct BookingAnswer {
    bool isDone = false;
    std::error_code transportError; ///< The connection to the node failed.
    int status = 0;
    std::string error; ///< Code of a refusal.
    std::string execution; ///< "run", "not run", "unknown" or empty.
    std::string body;
    bool isReplayed = false;
    std::chrono::milliseconds elapsed { 0 }; ///< From the call to its answer.
};

/**
 * Makes calls of "bookings/confirm" through any node of a cluster, and reads
 * from the plain services how often a key was run.
 */
class BookingClient {
public:
    explicit BookingClient(Cluster&);

    /** Sets the Deadline-Ms of the calls that follow. */
    auto setDeadline(std::chrono::milliseconds deadline) -> void { this->deadline = deadline; }

    /** Marks the calls that follow as asked before with the same key. */
    auto setRepeated(bool isRepeated) -> void { this->isRepeated = isRepeated; }

    /** Begins a call; the answer is filled in while the cluster's client waits. */
    auto begin(std::size_t node, const std::string& key, const std::string& body) -> std::shared_ptr<BookingAnswer>;

    auto confirm(std::size_t node, const std::string& key, const std::string& body) -> BookingAnswer;

    /** Makes one call through each of \a nodes at the same moment. */
    auto confirmAtOnce(const std::vector<std::size_t>& nodes, const std::string& key, const std::string& body) -> std::vector<BookingAnswer>;

    /** Returns how often the plain services of the cluster ran \a key. */
    auto runsOf(const std::string& key) -> std::int64_t;

    /** Returns how often the plain services ran each key. */
    auto runs() -> std::map<std::string, std::int64_t>;

    /** Waits until \a answer has come. */
    auto waitFor(const BookingAnswer& answer) -> bool;

    /** Closes the connections of all calls that are not answered. */
    auto hangUp() -> void;

private:
    Cluster& cluster;
    std::vector<std::weak_ptr<HttpCall>> calls; ///< Begun, in this order.
    std::chrono::milliseconds deadline { 10'000 };
    bool isRepeated = false;
};

} // namespace Primrosefork::Testkit
