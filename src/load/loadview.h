#pragma once

#include "loadanswer.h"
#include "otherloadsource.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Primrosefork {

/**
 * What a node knows from the leader's answers of the load of all nodes.
 *
 * Only the newest answer counts. It has its full weight for a while after the report that it
 * answers, and then loses it, so that without answers the node goes by its own observations.
 */
class LoadView : public RoomSource, public OtherLoadSource {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /** Makes an empty view for a node in \a zone. */
    explicit LoadView(std::string zone);

    /** Applies \a answer to the report that this node sent at \a reportSent with \a demand; returns whether it is newer than the last one. */
    auto answerReceived(const LoadAnswer& answer, const std::vector<CallerDemand>& demand, TimePoint reportSent) -> bool;

    /** Returns the weight of the last answer at \a now, from 1 down to 0. */
    [[nodiscard]] auto weight(TimePoint now) const -> double;

    /** Returns the time of the report that was answered last, or nothing before the first answer. */
    [[nodiscard]] auto reportedAt() const -> std::optional<TimePoint> { return this->answered; }

    /** Returns the last answer, however old it is. */
    [[nodiscard]] auto lastAnswer() const -> const LoadAnswer& { return this->answer; }

    [[nodiscard]] auto othersAt(const BackendServer& server, TimePoint now) const -> std::optional<OtherLoad> override;
    [[nodiscard]] auto room(const std::string& service, const std::string& zone, TimePoint now) const -> std::optional<ZoneRoom> override;
    [[nodiscard]] auto demandShare(const std::string& service, TimePoint now) const -> std::optional<double> override;

private:
    std::string ownZone;
    LoadAnswer answer;
    std::unordered_map<std::uint32_t, BackendLoad> listed; ///< The busiest servers, by key.
    std::map<std::string, MeanLoad> means; ///< By service.
    std::map<std::string, double> othersPerOwn; ///< Requests to the other nodes for each one to this node, by service.
    std::map<std::string, double> ownPerSecond; ///< This node's requests per second in the answered report, by service.
    std::optional<TimePoint> answered;
};

} // namespace Primrosefork
