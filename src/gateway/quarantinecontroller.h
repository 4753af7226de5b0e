#pragma once

#include "crashevidence.h"
#include "fleetmessage.h"
#include "keyvaluestore.h"
#include "promptmonitor.h"
#include "promptquarantine.h"
#include "statesource.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Primrosefork {

class EventLog;
class Metrics;

constexpr auto quarantineKey = "primrosefork/quarantine"; ///< Record of the parts under quarantine, for nodes that start.

/**
 * Finds prompt parts that crash servers and refuses requests with them.
 *
 * Each node collects evidence, which goes to the coordinator with the node's
 * reports; the coordinator decides, and its answers bring the quarantined parts
 * to all nodes. Without a coordinator a node decides on its own evidence.
 */
class QuarantineController : public StateSource, public PromptMonitor {
public:
    using TimePoint = PromptMonitor::TimePoint;

    QuarantineController(KeyValueStore&, Metrics&, const EventLog&);
    ~QuarantineController() override;

    auto attemptLost(const std::string& service, std::span<const PromptPart> parts, const std::string& serverId, TimePoint now) -> void override;
    auto attemptBegan(const std::string& service, std::span<const PromptPart> parts, TimePoint now) -> void override;
    [[nodiscard]] auto quarantineLeft(const std::string& service, std::span<const PromptPart> parts, TimePoint now) const -> std::optional<std::chrono::milliseconds> override;

    /** Notes that this node coordinates, with what it knows since it did with \a fence. */
    auto coordinationBegan(std::uint64_t fence) -> void;

    /** Returns this node's evidence for the coordinator. */
    [[nodiscard]] auto makeReport(TimePoint now) -> std::vector<PromptEvidence>;

    /** Decides as the coordinator, with the \a evidence that \a nodeId reported. */
    auto reportReceived(const std::string& nodeId, const std::vector<PromptEvidence>& evidence, TimePoint now) -> void;

    /** Adds the coordinator's decisions to \a answer. */
    auto addToAnswer(FleetAnswer& answer, TimePoint now) const -> void;

    /** Takes over the decisions in the coordinator's \a answer. */
    auto applyAnswer(const FleetAnswer& answer, TimePoint now) -> void;

    /** Decides on this node's \a evidence alone, while no coordinator is known. */
    auto decideAlone(const std::string& nodeId, const std::vector<PromptEvidence>& evidence, TimePoint now) -> void;

    /** Notes that the record in the store now has \a revision, 0 when it is lost, and may be an earlier one; it is written again. */
    auto recordRestored(StoreRevision revision) -> void;

    /** Takes over the quarantined parts in the store's record, which \a entry holds. */
    auto applyRecord(const StoreEntry& entry, TimePoint now) -> void;

    /** Writes the quarantined parts to the store if they have changed. */
    auto recordChanges(TimePoint now) -> void;

    [[nodiscard]] auto stateName() const -> std::string override { return "quarantine"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    enum class Role {
        Member, ///< Takes over the decisions of the coordinator.
        Coordinator,
        Alone, ///< Decides for itself, as no coordinator is known.
    };

    auto takeRole(Role, TimePoint now) -> void;
    auto decide(TimePoint now) -> void;

    KeyValueStore& store;
    Metrics& metrics;
    const EventLog& log;
    Role role = Role::Member;
    TimePoint roleSince;
    std::uint64_t coordinationFence = 0; ///< Fence with which this node's coordination began; 0 when it never did.
    TimePoint lastDecision;
    CrashEvidence evidence;
    PromptQuarantine decisions; ///< Used by the coordinator, and by a node that decides alone.
    std::map<PromptKey, TimePoint> quarantined; ///< Parts that this node refuses, with the time until which it does.
    StoreRevision recordRevision = 0; ///< Revision of the store's record; 0 when there is none.
    std::optional<std::string> recorded; ///< Parts in the store's record, as last written by this node; nothing when another one may have written.
    bool isRecording = false;
    std::shared_ptr<bool> isAlive;
};

} // namespace Primrosefork
