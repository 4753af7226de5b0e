#pragma once

#include "address.h"
#include "eventloop.h"
#include "promiseledger.h"
#include "rawcaller.h"

#include <memory>
#include <random>
#include <string>

namespace Primrosefork::Measure {

/** What a caller may do at a moment. */
struct CallerConditions {
    bool canConnect = false; ///< Whether the balancer sends new connections to the node.
    bool sendsDeadly = false; ///< Whether some prompts have a part on which servers crash.
    int version = 0; ///< Version of the newest configuration.
};

/** What callers measure besides the ledger's checks. */
class CallObserver {
public:
    virtual ~CallObserver() = default;
    virtual auto callSucceeded(std::size_t node, CallKind, PromiseLedger::Time sentAt) -> void = 0;
};

/**
 * A caller that sends one request after the other to one node and keeps its
 * connection until the node closes it.
 */
class SoakCaller {
public:
    /** Which credential a caller sends. */
    enum class Credential : std::uint8_t {
        Own,
        OfVersion, ///< That of the newest configuration and of the one before, in turn.
    };

    SoakCaller(EventLoop&, PromiseLedger&, CallObserver&, std::size_t node, Address, std::string name, std::mt19937, Credential);

    /** Reads what has arrived, and sends the next request when it is time. */
    auto poll(const CallerConditions&, PromiseLedger::Time now) -> void;

private:
    auto send(const CallerConditions&, PromiseLedger::Time now) -> void;
    auto end(PromiseLedger::Time now) -> void;
    auto drop(PromiseLedger::Time now) -> void;
    auto scheduleNext(PromiseLedger::Time now) -> void;

    EventLoop& loop;
    PromiseLedger& ledger;
    CallObserver& observer;
    std::size_t node;
    Address address;
    std::string name;
    std::mt19937 generator;
    Credential credential;
    std::unique_ptr<Testkit::RawCaller> connection;
    std::string request; ///< Id of the request under way; empty for none.
    CallKind kind = CallKind::Read;
    int version = 0; ///< Version whose credential was sent; 0 for the caller's own.
    PromiseLedger::Time sentAt { 0 };
    PromiseLedger::Time nextAt = PromiseLedger::Time::min();
    int count = 0;
};

} // namespace Primrosefork::Measure
