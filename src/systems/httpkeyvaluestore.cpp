#include "httpkeyvaluestore.h"

#include "errors.h"
#include "units.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace Primrosefork {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxListingBytes = 64 * mebibyte;

auto statusError(int status) -> std::error_code
{
    if (status == HttpStatus::ok || status == HttpStatus::created || status == HttpStatus::conflict)
        return {};
    if (status == HttpStatus::notFound)
        return Error::NotFound;
    return Error::Unavailable;
}

auto readEntry(const Json& json) -> StoreEntry
{
    return { json.value("key", ""), json.value("value", ""), json.value("revision", StoreRevision { 0 }) };
}

auto readListing(const Json& json) -> StoreListing
{
    StoreListing listing;
    listing.revision = json.value("revision", StoreRevision { 0 });
    for (const auto& entry : json.value("entries", Json::array()))
        listing.entries.push_back(readEntry(entry));
    return listing;
}

/** Calls \a read with the parsed body; returns Error::BadAnswer when the body does not follow the protocol. */
template <typename Read>
auto parseBody(const HttpResponse& response, Read read) -> std::error_code
{
    const auto json = Json::parse(response.body, nullptr, false);
    if (!json.is_object())
        return Error::BadAnswer;
    try {
        read(json);
    } catch (const Json::exception&) {
        return Error::BadAnswer;
    }
    return {};
}

} // namespace

HttpKeyValueStore::HttpKeyValueStore(HttpClient& client, Address service, std::chrono::milliseconds timeout)
    : client(client)
    , service(std::move(service))
    , timeout(timeout)
{
}

auto HttpKeyValueStore::get(const std::string& key, EntryHandler handler) -> void
{
    this->call("GET", "/v1/kv", "key=" + percentEncode(key), "", this->timeout,
        [handler = std::move(handler)](std::error_code error, const HttpResponse& response) {
            if (error == Error::NotFound)
                return handler({}, std::nullopt);
            StoreEntry entry;
            if (!error)
                error = parseBody(response, [&entry](const Json& json) { entry = readEntry(json); });
            handler(error, error ? std::nullopt : std::optional(entry));
        });
}

auto HttpKeyValueStore::list(const std::string& prefix, ListingHandler handler) -> void
{
    this->call("GET", "/v1/list", "prefix=" + percentEncode(prefix), "", this->timeout,
        [handler = std::move(handler)](std::error_code error, const HttpResponse& response) {
            StoreListing listing;
            if (!error)
                error = parseBody(response, [&listing](const Json& json) { listing = readListing(json); });
            handler(error, listing);
        });
}

auto HttpKeyValueStore::compareAndSwap(const StoreSwap& swap, SwapHandler handler) -> void
{
    const Json body { { "key", swap.key }, { "expected", swap.expected }, { "value", swap.value }, { "lease", swap.lease } };
    this->call("POST", "/v1/swap", "", body.dump(), this->timeout,
        [handler = std::move(handler)](std::error_code error, const HttpResponse& response) {
            StoreSwapResult result;
            if (!error) {
                error = parseBody(response, [&result](const Json& json) {
                    result.isSwapped = json.at("swapped").get<bool>();
                    result.current = readEntry(json.at("current"));
                });
            }
            handler(error, result);
        });
}

auto HttpKeyValueStore::watch(const std::string& prefix, StoreRevision after, std::chrono::milliseconds wait, ListingHandler handler) -> void
{
    const auto query = "prefix=" + percentEncode(prefix) + "&after=" + std::to_string(after) + "&wait_ms=" + std::to_string(wait.count());
    this->call("GET", "/v1/watch", query, "", wait + this->timeout,
        [handler = std::move(handler)](std::error_code error, const HttpResponse& response) {
            StoreListing listing;
            if (!error)
                error = parseBody(response, [&listing](const Json& json) { listing = readListing(json); });
            handler(error, listing);
        });
}

auto HttpKeyValueStore::grantLease(std::chrono::milliseconds duration, LeaseHandler handler) -> void
{
    const Json body { { "duration_ms", duration.count() } };
    this->call("POST", "/v1/leases", "", body.dump(), this->timeout,
        [handler = std::move(handler)](std::error_code error, const HttpResponse& response) {
            LeaseId lease = 0;
            if (!error)
                error = parseBody(response, [&lease](const Json& json) { lease = json.at("lease").get<LeaseId>(); });
            handler(error, lease);
        });
}

auto HttpKeyValueStore::renewLease(LeaseId lease, DoneHandler handler) -> void
{
    this->call("PUT", "/v1/leases/" + std::to_string(lease), "", "", this->timeout,
        [handler = std::move(handler)](std::error_code error, const HttpResponse&) { handler(error); });
}

auto HttpKeyValueStore::revokeLease(LeaseId lease, DoneHandler handler) -> void
{
    this->call("DELETE", "/v1/leases/" + std::to_string(lease), "", "", this->timeout,
        [handler = std::move(handler)](std::error_code error, const HttpResponse&) { handler(error); });
}

auto HttpKeyValueStore::call(const std::string& method, const std::string& path, const std::string& query, const std::string& body,
    std::chrono::milliseconds callTimeout, ResponseHandler handler) -> void
{
    HttpCallOptions options;
    options.connectTimeout = this->timeout;
    options.firstByteTimeout = callTimeout;
    options.idleTimeout = this->timeout;
    options.maxResponseBytes = maxListingBytes;
    this->client.fetch(this->service, { method, path, query, {}, body }, options,
        [this, handler = std::move(handler)](std::error_code error, const HttpResponse& response) {
            if (error == Error::Timeout)
                this->client.dropIdleConnections(this->service);
            handler(error ? error : statusError(response.status), response);
        });
}

} // namespace Primrosefork
