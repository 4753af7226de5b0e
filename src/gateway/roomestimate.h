#pragma once

#include "coordinationcontroller.h"
#include "overflowpolicy.h"
#include "trafficconfiguration.h"

#include <vector>

namespace Primrosefork {

/**
 * Returns the rooms of \a service in all zones, as far as the registered \a servers and the last reports of \a nodes tell.
 * Reports do not say to which servers the requests of a node were sent: these are assumed to be in the node's zone, except
 * the part that \a shares sends elsewhere. Pending prefill is not known.
 */
[[nodiscard]] auto estimateRooms(const TrafficService& service, const BackendServers& servers, const NodeRecords& nodes, const std::vector<OverflowShare>& shares, EventLoop::TimePoint now)
    -> std::vector<ZoneRoom>;

/** Returns the mean values of the requests to \a service, whose \a rooms in all zones are known, by the last reports of \a nodes. */
[[nodiscard]] auto serviceRatesOf(const std::string& service, const std::vector<ZoneRoom>& rooms, const NodeRecords& nodes, EventLoop::TimePoint now) -> ServiceRates;

} // namespace Primrosefork
