#pragma once

#include "address.h"
#include "httpclient.h"
#include "keyvaluestore.h"

namespace Primrosefork {

/**
 * Calls the key-value service over HTTP with JSON; docs/SYSTEMS.md describes
 * the calls.
 */
class HttpKeyValueStore : public KeyValueStore {
public:
    HttpKeyValueStore(HttpClient&, Address service, std::chrono::milliseconds timeout);

    auto get(const std::string& key, EntryHandler) -> void override;
    auto list(const std::string& prefix, ListingHandler) -> void override;
    auto compareAndSwap(const StoreSwap&, SwapHandler) -> void override;
    auto watch(const std::string& prefix, StoreRevision after, std::chrono::milliseconds wait, ListingHandler) -> void override;
    auto grantLease(std::chrono::milliseconds duration, LeaseHandler) -> void override;
    auto renewLease(LeaseId lease, DoneHandler) -> void override;
    auto revokeLease(LeaseId lease, DoneHandler) -> void override;

private:
    using ResponseHandler = std::function<void(std::error_code, const HttpResponse&)>;

    auto call(const std::string& method, const std::string& path, const std::string& query, const std::string& body,
        std::chrono::milliseconds timeout, ResponseHandler) -> void;

    HttpClient& client;
    Address service;
    std::chrono::milliseconds timeout;
};

} // namespace Primrosefork
