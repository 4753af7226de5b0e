#pragma once

#include "claimlease.h"
#include "claimmanager.h"
#include "eventloop.h"
#include "statesource.h"
#include "storeclaim.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <sigc++/signal.h>
#include <string>

namespace Primrosefork {

class Metrics;
struct NodeSettings;

/**
 * Manages the claims of one node in the key-value service.
 *
 * While the store does not answer, one claim per second is attempted and all
 * others are refused immediately, so that an outage leaves few writes with an
 * unknown outcome.
 */
class StoreClaimManager : public ClaimManager, public StateSource {
public:
    StoreClaimManager(EventLoop&, KeyValueStore&, const NodeSettings&, Metrics&, const EventLog&);
    ~StoreClaimManager() override;

    auto acquire(const ClaimRequest&, Handler) -> std::shared_ptr<Claim> override;

    /** Returns the number of granted claims whose outcome is not in the store yet. */
    [[nodiscard]] auto heldCount() const -> std::size_t;

    /** Emitted when a claim makes no further calls of the store and was removed. */
    sigc::signal<void> claimEnded;

    [[nodiscard]] auto stateName() const -> std::string override { return "claims"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto verdictReached(const ClaimResult&, EventLoop::TimePoint requested) -> void;
    auto claimFinished(std::uint64_t id) -> void;
    auto markStoreUnavailable() -> void;
    auto markStoreAvailable() -> void;

    EventLoop& loop;
    Metrics& metrics;
    const EventLog& log;
    ClaimLease lease;
    StoreClaimContext context;
    std::uint64_t nextId = 1;
    std::map<std::uint64_t, std::shared_ptr<StoreClaim>> claims; ///< Claims that are not finished, by a number unique on this node.
    bool isStoreAvailable = true;
    EventLoop::TimePoint nextProbe; ///< Earliest time of the next claim attempt while the store does not answer.
};

} // namespace Primrosefork
