#pragma once

#include "eventloop.h"
#include "httpserver.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace Primrosefork::Testkit {

/**
 * Plays the platform's metadata store and its API for accounting and orders.
 */
class StoreStandIn {
public:
    StoreStandIn(EventLoop&, const Address& store, const Address& fleet);

    /** Writes \a value as the operator or an engine would. */
    auto put(const std::string& key, const std::string& value) -> void;
    auto remove(const std::string& key) -> void;
    [[nodiscard]] auto valueOf(const std::string& key) const -> std::string;

    /** Ends all leases, as after a long outage. */
    auto endLeases() -> void;

    /** Answers every call with \a status until it is 0 again. */
    int failure = 0;

    /** Answers no watch, as if the connection had gone silent. */
    bool holdsWatches = false;

    /** Drops the watches that wait at the next change, without an answer. */
    bool forgetsWatches = false;

    /** Carries out writes and loses their answers. */
    bool losesWrites = false;

    /** Forgets the changes up to now: a watch from before is told so. */
    auto dropHistory() -> void { this->oldest = this->revision; }

    /** The most entries of one page of a listing. */
    std::size_t pageSize = 500;

    /** Reads of single keys so far. */
    int keyReads = 0;

    /** One call for accounting or an order, as it came. */
    struct FleetCall {
        std::string path;
        std::string holder;
        std::string fence;
        std::string body;
    };

    std::vector<FleetCall> fleetCalls;

private:
    struct Item {
        std::string value; ///< In base64.
        std::uint64_t revision = 0;
        std::uint64_t lease = 0;
        bool isDeleted = false;
    };

    struct Watch {
        std::string prefix;
        std::uint64_t after = 0;
        std::shared_ptr<HttpExchange> exchange;
    };

    auto handle(const std::shared_ptr<HttpExchange>&) -> void;
    auto range(HttpExchange&) -> void;
    auto transact(const std::shared_ptr<HttpExchange>&) -> void;
    auto write(const std::string& key, const std::string& encoded, std::uint64_t lease, bool isDeleted) -> void;
    auto answerWatches() -> void;

    HttpServer store;
    HttpServer fleet;
    std::map<std::string, Item> items;
    std::list<Watch> watches;
    std::list<Watch> forgotten; ///< Never answered; their connections stay open.
    std::uint64_t revision = 1;
    std::uint64_t oldest = 0;
    std::uint64_t nextLease = 1;
};

} // namespace Primrosefork::Testkit
