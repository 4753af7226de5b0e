#pragma once

#include "eventloop.h"
#include "httpserver.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Primrosefork::Testkit {

/**
 * Stand-in for the platform's metadata store and its API for accounting and
 * fleet management.
 */
class StoreStandIn {
public:
    StoreStandIn(EventLoop&, const Address& store, const Address& fleet);

    /** Writes \a value to \a key, as an operator or a backend server does, and answers the affected watches. */
    auto put(const std::string& key, const std::string& value) -> void;
    /** Deletes \a key and answers the affected watches. */
    auto remove(const std::string& key) -> void;
    /** Returns the value of \a key, or an empty text when the key does not exist. */
    [[nodiscard]] auto valueOf(const std::string& key) const -> std::string;
    /** Returns the revision of the last change. */
    [[nodiscard]] auto lastRevision() const -> std::uint64_t { return this->revision; }

    /** Deletes all keys that are bound to a lease, as happens when leases expire in a long outage. */
    auto expireLeases() -> void;

    /** The contents of the store at one moment. */
    struct Backup;

    /** Returns the contents of the store. */
    [[nodiscard]] auto backup() const -> Backup;

    /** Replaces the contents by those of \a backup, as after a restoration: revisions and leases given out since are forgotten, and given out again. */
    auto restore(const Backup& backup) -> void;

    /** Listens at \a address, too, where one node reaches the store, so that the node can be turned away. */
    auto addEntrance(const Address& address) -> void;

    /** How calls that arrive at one entrance are treated. */
    enum class Treatment : std::uint8_t {
        Served,
        Refused, ///< Calls get status 503, waiting watches too.
        Ignored, ///< Calls get no answer, waiting watches neither.
    };

    /** Treats the calls at the entrance \a address as \a treatment says from now on. */
    auto treat(const Address& address, Treatment treatment) -> void;

    /** Returns the number of calls that arrived at the entrance \a address. */
    [[nodiscard]] auto callsAt(const Address& address) const -> int { return this->entrances.at(address).calls; }

    /** Status that the store answers every call with; 0 for normal operation. */
    int failureStatus = 0;

    /** Whether all watches stay unanswered while this is set, as if their connections had stalled. */
    bool holdsWatches = false;

    /** Whether the next change leaves the watches waiting then unanswered for good; later watches are answered. */
    bool dropsWatches = false;

    /** Whether the store carries out transactions but closes the connection instead of answering. */
    bool dropsWriteAnswers = false;

    /** What happens to a write whose connection is closed instead of an answer. */
    enum class WriteOutcome : std::uint8_t {
        Answered, ///< It is carried out and answered.
        AnswerLost, ///< It is carried out at once.
        Lost, ///< It is never carried out.
        Late, ///< It is carried out by carryOutLateWrites() if its condition holds then.
    };

    /** What happens to the writes of some keys; all others are answered. */
    std::map<std::string, WriteOutcome> writeOutcomes;

    /** Carries out the late writes, in the order in which they arrived. */
    auto carryOutLateWrites() -> void;

    /** Time that the store takes for each answer. */
    std::chrono::milliseconds answerDelay { 0 };

    /** Whether keys are deleted when their lease was not renewed in time. */
    bool leasesExpire = false;

    /** Ends all watches that wait now, without an answer. */
    auto abortWatches() -> void;

    /** Discards the history of changes, so that a watch from an earlier revision gets status 410. */
    auto dropHistory() -> void { this->oldestRevision = this->revision; }

    /** Maximum number of entries on one page of a listing. */
    std::size_t pageSize = 500;

    /** Number of calls to the store so far, refused ones included. */
    int calls = 0;

    /** Number of reads of single keys so far. */
    int keyReads = 0;

    /** A call of the API for accounting and fleet management, with its fields as received. */
    struct FleetCall {
        std::string path;
        std::string holder;
        std::string fence;
        std::string body;
    };

    std::vector<FleetCall> fleetCalls; ///< All calls received so far.

private:
    struct Item {
        std::string value; ///< Value in base64.
        std::uint64_t revision = 0;
        std::uint64_t lease = 0;
        bool isDeleted = false;
    };

    struct Watch {
        std::string prefix;
        std::uint64_t after = 0;
        EventLoop::TimePoint waitsUntil;
        std::shared_ptr<HttpExchange> exchange;
        Address entrance; ///< Entrance at which it arrived; empty for the store's own address.
    };

    struct Entrance {
        std::unique_ptr<HttpServer> server;
        Treatment treatment = Treatment::Served;
        int calls = 0;
    };

    /** A call that is handled after the delay of the store. */
    struct DelayedCall {
        EventLoop::TimePoint due;
        std::shared_ptr<HttpExchange> exchange;
        Address entrance;
    };

    auto tick() -> void;
    auto reply(HttpExchange&, int status, const nlohmann::json& body) const -> void;
    auto grantLease(HttpExchange&) -> void;
    auto keepLease(HttpExchange&, std::uint64_t lease) -> void;
    auto handleAt(const Address& entrance, const std::shared_ptr<HttpExchange>&) -> void;
    auto handle(const std::shared_ptr<HttpExchange>&, const Address& entrance = {}) -> void;
    auto handleNow(const std::shared_ptr<HttpExchange>&, const Address& entrance) -> void;
    auto range(HttpExchange&) -> void;
    auto transact(const std::shared_ptr<HttpExchange>&) -> void;
    auto carryOut(const nlohmann::json& transaction) -> void;
    [[nodiscard]] auto failedCondition(const nlohmann::json& transaction) const -> std::optional<std::string>;
    auto write(const std::string& key, const std::string& encoded, std::uint64_t lease, bool isDeleted) -> void;
    auto answerWatches() -> void;

    EventLoop& loop;
    HttpServer store;
    HttpServer fleet;
    std::map<Address, Entrance> entrances;
    std::vector<std::shared_ptr<HttpExchange>> ignoredCalls; ///< Calls that are never answered; their connections stay open.
    Timer watchTimer;
    std::map<std::string, Item> items;
    std::list<Watch> watches;
    std::list<Watch> unansweredWatches; ///< Watches that are never answered; their connections stay open.
    std::uint64_t revision = 1;
    std::uint64_t oldestRevision = 0; ///< Watches from earlier revisions get status 410.
    std::uint64_t nextLease = 1;
    std::uint64_t restorations = 0; ///< Number of restorations so far, which all answers state.
    std::map<std::uint64_t, EventLoop::TimePoint> leaseEnds; ///< When each lease expires.
    std::deque<DelayedCall> delayedCalls;
    std::vector<std::string> lateWrites; ///< Transactions that are carried out late.
};

struct StoreStandIn::Backup {
    std::map<std::string, Item> items;
    std::uint64_t revision = 0;
};

} // namespace Primrosefork::Testkit
