#pragma once

#include "backendserver.h"

#include <chrono>
#include <optional>

namespace Primrosefork {

/** The load that the other nodes put on a backend server. */
struct OtherLoad {
    double openRequests = 0; ///< Requests that they sent to the server and that have not ended.
    double pendingPrefillTokens = 0; ///< Prompt tokens of these requests that the server has yet to prefill.
    double othersPerOwn = 0; ///< Requests for the service that callers send to the other nodes for each one to this node; 0 when not known.
    double weight = 0; ///< Confidence in the values, from 1 (recent) down to 0 (expired).
    std::chrono::steady_clock::time_point reportedAt; ///< Time at which this node sent the report that was answered with the values.
};

/** What a node knows of the load that the other nodes put on backend servers. */
class OtherLoadSource {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    virtual ~OtherLoadSource() = default;

    /** Returns the load of the other nodes at \a server, or nothing if it is not known or too old at \a now. */
    [[nodiscard]] virtual auto othersAt(const BackendServer& server, TimePoint now) const -> std::optional<OtherLoad> = 0;
};

} // namespace Primrosefork
