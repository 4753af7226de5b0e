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
 * Stands in for the platform's key-value service and counts its calls.
 *
 * POST /control takes the fields of Faults, and besides: "save" (keep what the
 * store holds now), "stale" (answer reads and watches from what was saved),
 * "restore" (hold what was saved again), "down_after_write" (down as soon as a
 * write has taken effect) and "silence_watches" (the connections
 * with a waiting watch swallow everything from now on; new ones work).
 */
class KvStandin {
public:
    explicit KvStandin(EventLoop&);

    auto listen(const Address&) -> std::error_code;

private:
    struct Value {
        std::string text;
        StoreRevision revision = 0;
        LeaseId lease = 0;
    };

    struct Lease {
        std::chrono::milliseconds duration { 0 };
        EventLoop::TimePoint end;
    };

    struct Watch {
        std::shared_ptr<HttpExchange> exchange;
        std::string prefix;
        StoreRevision after = 0;
        EventLoop::TimePoint end;
    };

    /** What the store held at one moment. */
    struct Snapshot {
        std::map<std::string, Value> values;
        StoreRevision revision = 0;
    };

    struct Calls {
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
    [[nodiscard]] auto isSwallowed(const std::shared_ptr<HttpExchange>&) -> bool;
    auto get(const std::shared_ptr<HttpExchange>&) -> void;
    auto list(const std::shared_ptr<HttpExchange>&) -> void;
    auto compareAndSwap(const std::shared_ptr<HttpExchange>&) -> void;
    auto watch(const std::shared_ptr<HttpExchange>&) -> void;
    auto changeLease(const std::shared_ptr<HttpExchange>&) -> void;
    auto applySwap(const nlohmann::json& body) -> nlohmann::json;
    auto answerWrite(const std::shared_ptr<HttpExchange>&, int status, const nlohmann::json&) -> void;
    auto wakeWatches() -> void;
    auto dropLease(LeaseId) -> void;
    auto tick() -> void;
    [[nodiscard]] auto listing(const std::string& prefix, StoreRevision after) const -> nlohmann::json;
    [[nodiscard]] auto entry(const std::string& key) const -> nlohmann::json;

    EventLoop& loop;
    HttpServer server;
    Timer timer;
    Faults faults;
    Calls calls;
    std::map<std::string, Value> values;
    Snapshot saved; ///< By the control "save".
    bool isDownAfterWrite = false; ///< The next write that takes effect is the last call answered.
    bool isStale = false; ///< Reads and watches are answered from what was saved.
    std::map<LeaseId, Lease> leases;
    std::list<Watch> watches;
    std::map<std::uintptr_t, std::vector<std::shared_ptr<HttpExchange>>> silenced; ///< Connections that swallow every call, with the calls.
    StoreRevision revision = 1;
    LeaseId nextLease = 1;
};

} // namespace Primrosefork
