#pragma once

#include "cluster.h"
#include "httpclient.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Primrosefork::Testkit {

/** The answer to a call that is not idempotent. */
struct BookingAnswer {
    bool isDone = false; ///< The call has ended; the other members are set.
    std::error_code transportError; ///< The connection to the node failed.
    int status = 0; ///< HTTP status; 0 without a response.
    std::string error; ///< Error code in the body of a refusal.
    std::string execution; ///< Whether the call was executed: "run", "not run", "unknown", or empty when the response does not say.
    std::string body;
    bool isReplayed = false; ///< The answer of an earlier execution was returned.
    std::chrono::milliseconds elapsed { 0 }; ///< Time from the start of the call to its end.
};

/**
 * Sends calls of "bookings/confirm" through any node of a cluster, and reads from
 * the plain services how often a request key was run.
 */
class BookingClient {
public:
    explicit BookingClient(Cluster&);

    /** Sets the Deadline-Ms header of the following calls. */
    auto setDeadline(std::chrono::milliseconds deadline) -> void { this->deadline = deadline; }

    /** Sets whether the following calls are marked as a repeat of a call with the same key. */
    auto setRepeated(bool isRepeated) -> void { this->isRepeated = isRepeated; }

    /** Starts a call; the returned answer is set when the call ends, while the event loop of the cluster's client runs. */
    auto begin(std::size_t node, const std::string& key, const std::string& body) -> std::shared_ptr<BookingAnswer>;

    /** Makes a call through \a node and waits for its answer. */
    auto confirm(std::size_t node, const std::string& key, const std::string& body) -> BookingAnswer;

    /** Makes one call through each of \a nodes at the same time and returns the answers in this order. */
    auto confirmConcurrently(const std::vector<std::size_t>& nodes, const std::string& key, const std::string& body) -> std::vector<BookingAnswer>;

    /** Returns how often the plain services ran the request key \a key, all together. */
    auto runCount(const std::string& key) -> std::int64_t;

    /** Returns how often the plain services ran each request key, all together. */
    auto runs() -> std::map<std::string, std::int64_t>;

    /** Waits until \a answer is set; returns false when that takes too long. */
    auto waitFor(const BookingAnswer& answer) -> bool;

    /** Cancels all calls that are in flight, which closes their connections. */
    auto cancelAll() -> void;

private:
    Cluster& cluster;
    std::vector<std::weak_ptr<HttpCall>> calls; ///< Started calls, oldest first.
    std::chrono::milliseconds deadline { 10'000 };
    bool isRepeated = false;
};

} // namespace Primrosefork::Testkit
