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

namespace Primrosefork {

/**
 * Stands in for the platform's key-value service and counts its calls.
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

    struct Calls {
        std::uint64_t reads = 0;
        std::uint64_t writes = 0;
        std::uint64_t watches = 0;
        std::uint64_t leases = 0;
    };

    auto handle(const std::shared_ptr<HttpExchange>&) -> void;
    auto serve(const std::shared_ptr<HttpExchange>&) -> void;
    auto control(const std::shared_ptr<HttpExchange>&) -> void;
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
    std::map<LeaseId, Lease> leases;
    std::list<Watch> watches;
    StoreRevision revision = 1;
    LeaseId nextLease = 1;
};

} // namespace Primrosefork
