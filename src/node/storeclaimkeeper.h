#pragma once

#include "claimkeeper.h"
#include "claimlease.h"
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
 * Keeps the claims of one node in the key-value service.
 *
 * While the store does not answer, one claim a second is tried and the others
 * are refused at once, so that an outage leaves few writes in doubt.
 */
class StoreClaimKeeper : public ClaimKeeper, public StateSource {
public:
    StoreClaimKeeper(EventLoop&, KeyValueStore&, const NodeSettings&, Metrics&, const EventLog&);
    ~StoreClaimKeeper() override;

    auto take(const ClaimRequest&, Handler) -> std::shared_ptr<Claim> override;

    /** Returns how many calls are claimed whose outcome is not in the store yet. */
    [[nodiscard]] auto heldCount() const -> std::size_t;

    /** Emitted when a claim is over. */
    sigc::signal<void> claimEnded;

    [[nodiscard]] auto stateName() const -> std::string override { return "claims"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto decided(const ClaimAnswer&, EventLoop::TimePoint begun) -> void;
    auto ended(std::uint64_t id) -> void;
    auto storeFailed() -> void;
    auto storeAnswered() -> void;

    EventLoop& loop;
    Metrics& metrics;
    const EventLog& log;
    ClaimLease lease;
    StoreClaimContext context;
    std::uint64_t nextId = 1;
    std::map<std::uint64_t, std::shared_ptr<StoreClaim>> claims;
    bool isStoreAvailable = true;
    EventLoop::TimePoint nextTrial; ///< While the store does not answer.
};

} // namespace Primrosefork
