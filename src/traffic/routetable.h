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
 * Requests under way keep the table that they began with.
 */
class RouteTable {
public:
    explicit RouteTable(TrafficConfiguration);
    RouteTable(const RouteTable&) = delete;
    auto operator=(const RouteTable&) -> RouteTable& = delete;

    [[nodiscard]] auto configuration() const -> const TrafficConfiguration& { return this->source; }

    /** Returns the route of \a host with the longest prefix of \a path, or null. */
    [[nodiscard]] auto route(std::string_view host, std::string_view path) const -> const TrafficRoute*;

    /** Returns the workspace that holds \a credential, or null. */
    [[nodiscard]] auto workspaceOf(std::string_view credential) const -> const TrafficWorkspace*;

    [[nodiscard]] auto workspace(std::string_view name) const -> const TrafficWorkspace*;
    [[nodiscard]] auto service(const std::string& name) const -> const TrafficService*;

    /** Returns whether requests need a credential at all. */
    [[nodiscard]] auto hasWorkspaces() const -> bool { return !this->source.workspaces.empty(); }

private:
    struct TextHash {
        using is_transparent = void;
        auto operator()(std::string_view text) const -> std::size_t { return std::hash<std::string_view> {}(text); }
    };

    template <typename Value>
    using TextMap = std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

    TrafficConfiguration source;
    TextMap<TextMap<const TrafficRoute*>> routesByHost; ///< And then by prefix.
    TextMap<const TrafficWorkspace*> byCredential;
    TextMap<const TrafficWorkspace*> byName;
};

/** Returns the service of \a route for a request that drew \a point, from 0 up to 1. */
[[nodiscard]] auto serviceFor(const TrafficRoute& route, double point) -> const std::string&;

} // namespace Primrosefork
