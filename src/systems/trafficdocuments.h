#pragma once

#include "backendserver.h"
#include "finding.h"
#include "trafficconfiguration.h"

#include <optional>
#include <string>

namespace Primrosefork {

/**
 * Reads what operators and backend servers keep in the key-value service.
 */
class TrafficDocuments {
public:
    virtual ~TrafficDocuments() = default;

    /** Returns the key that holds the operators' configuration. */
    [[nodiscard]] virtual auto configurationKey() const -> std::string = 0;

    /** Returns the prefix of the keys under which backend servers register. */
    [[nodiscard]] virtual auto backendPrefix() const -> std::string = 0;

    /** Returns the configuration that \a text holds, or nothing and the \a findings why not. */
    [[nodiscard]] virtual auto decodeConfiguration(const std::string& text, Findings& findings) const -> std::optional<TrafficConfiguration> = 0;

    /** Returns the backend server that registered at \a key, or nothing and the \a findings why not. */
    [[nodiscard]] virtual auto decodeBackend(const std::string& key, const std::string& text, Findings& findings) const
        -> std::optional<BackendServer> = 0;
};

} // namespace Primrosefork
