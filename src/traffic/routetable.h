#pragma once

#include "trafficconfiguration.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Primrosefork {

/**
 * A configuration indexed for look-ups by host and path, and by credential.
 *
 * Requests in flight keep the table that was in use when they were received.
 */
class RouteTable {
public:
    explicit RouteTable(TrafficConfiguration);
    RouteTable(const RouteTable&) = delete;
    auto operator=(const RouteTable&) -> RouteTable& = delete;

    [[nodiscard]] auto configuration() const -> const TrafficConfiguration& { return this->source; }

    /** Returns the route of \a host whose prefix matches \a path and is the longest, or null. */
    [[nodiscard]] auto route(std::string_view host, std::string_view path) const -> const TrafficRoute*;

    /** Returns the workspace that \a credential belongs to, or null. */
    [[nodiscard]] auto workspaceOf(std::string_view credential) const -> const TrafficWorkspace*;

    [[nodiscard]] auto workspace(std::string_view name) const -> const TrafficWorkspace*;
    [[nodiscard]] auto service(const std::string& name) const -> const TrafficService*;

    /** Returns whether workspaces are configured; otherwise no request needs a credential. */
    [[nodiscard]] auto hasWorkspaces() const -> bool { return !this->source.workspaces.empty(); }

private:
    struct TextHash {
        using is_transparent = void;
        auto operator()(std::string_view text) const -> std::size_t { return std::hash<std::string_view> {}(text); }
    };

    template <typename Value>
    using TextMap = std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

    TrafficConfiguration source;
    TextMap<TextMap<const TrafficRoute*>> routesByHost; ///< Routes by host, and for each host by path prefix.
    TextMap<const TrafficWorkspace*> byCredential;
    TextMap<const TrafficWorkspace*> byName;
};

/**
 * Returns the service of \a route that serves a request, chosen by weight with the random
 * number \a point, which is at least 0 and less than 1.
 */
[[nodiscard]] auto serviceFor(const TrafficRoute& route, double point) -> const std::string&;

} // namespace Primrosefork
