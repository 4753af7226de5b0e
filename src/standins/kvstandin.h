#pragma once

#include "address.h"
#include "eventloop.h"
#include "faults.h"
#include "httpserver.h"
#include "keyvaluestore.h"

#include <chrono>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace Primrosefork {

/**
 * Stand-in of the platform's key-value service that counts its calls.
 *
 * POST /control takes the fields of Faults, "save" (saves the current contents),
 * "stale" (answers reads and watches from the saved contents), "restore" (replaces
 * the contents by the saved ones), "down_after_write" (goes down as soon as a write
 * has taken effect) and "silence_watches" (the connections with a waiting watch
 * answer no call any more; new connections work).
 */
class KvStandin {
public:
    explicit KvStandin(EventLoop&);

    auto listen(const Address&) -> std::error_code;

private:
    struct Value {
        std::string text;
        StoreRevision revision = 0;
        LeaseId lease = 0; ///< The value is deleted when this lease ends; 0 for none.
    };

    struct Lease {
        std::chrono::milliseconds duration { 0 };
        EventLoop::TimePoint end; ///< Expiry unless the lease is renewed.
    };

    struct Watch {
        std::shared_ptr<HttpExchange> exchange;
        std::string prefix;
        StoreRevision after = 0; ///< The watch reports changes of later revisions.
        EventLoop::TimePoint end; ///< The watch is answered without changes at this time.
    };

    /** The contents of the store at one moment. */
    struct Snapshot {
        std::map<std::string, Value> values;
        StoreRevision revision = 0;
    };

    /** The number of calls since the start, by kind. */
    struct CallCounts {
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;
        std::uint64_t watches = 0;
        std::uint64_t leases = 0;
    };

    auto handle(const std::shared_ptr<HttpExchange>&) -> void;
    auto serve(const std::shared_ptr<HttpExchange>&) -> void;
    auto control(const std::shared_ptr<HttpExchange>&) -> void;
    auto updateControls(const nlohmann::json&) -> void;
    auto silenceWatches() -> void;
    [[nodiscard]] auto isOnSilencedConnection(const std::shared_ptr<HttpExchange>&) -> bool;
    auto get(const std::shared_ptr<HttpExchange>&) -> void;
    auto list(const std::shared_ptr<HttpExchange>&) -> void;
    auto compareAndSwap(const std::shared_ptr<HttpExchange>&) -> void;
    auto watch(const std::shared_ptr<HttpExchange>&) -> void;
    auto changeLease(const std::shared_ptr<HttpExchange>&) -> void;
    auto applySwap(const nlohmann::json& body) -> nlohmann::json;
    auto answerWrite(const std::shared_ptr<HttpExchange>&, int status, const nlohmann::json&) -> void;
    auto answerDueWatches() -> void;
    auto endLease(LeaseId) -> void;
    auto tick() -> void;
    [[nodiscard]] auto listing(const std::string& prefix, StoreRevision after) const -> nlohmann::json;
    [[nodiscard]] auto entry(const std::string& key) const -> nlohmann::json;

    EventLoop& loop;
    HttpServer server;
    Timer timer;
    Faults faults;
    CallCounts calls;
    std::map<std::string, Value> values;
    Snapshot saved; ///< Contents saved by the control "save".
    bool isDownAfterWrite = false; ///< The service goes down as soon as a write has taken effect.
    bool isStale = false; ///< Reads and watches are answered from the saved contents.
    std::map<LeaseId, Lease> leases;
    std::list<Watch> watches;
    std::map<std::uintptr_t, std::vector<std::shared_ptr<HttpExchange>>> silencedCalls; ///< Unanswered calls by the connection that was silenced.
    StoreRevision revision = 1;
    LeaseId nextLease = 1;
};

} // namespace Primrosefork
