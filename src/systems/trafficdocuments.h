#pragma once

#include "backendserver.h"
#include "finding.h"
#include "rolloutorder.h"
#include "trafficconfiguration.h"

#include <memory>
#include <optional>
#include <string>

namespace Primrosefork {

/**
 * Decodes the documents that operators and backend servers store in the
 * key-value service.
 */
class TrafficDocuments {
public:
    virtual ~TrafficDocuments() = default;

    /** Returns the key that holds the operators' configuration. */
    [[nodiscard]] virtual auto configurationKey() const -> std::string = 0;

    /** Returns the prefix of the keys under which backend servers register. */
    [[nodiscard]] virtual auto backendPrefix() const -> std::string = 0;

    /** Returns the configuration in \a text; if it is invalid, returns nothing and adds the errors to \a findings. */
    [[nodiscard]] virtual auto decodeConfiguration(const std::string& text, Findings& findings) const -> std::optional<TrafficConfiguration> = 0;

    /** Returns the backend server registered at \a key with \a text; if it is invalid, returns nothing and adds the errors to \a findings. */
    [[nodiscard]] virtual auto decodeBackend(const std::string& key, const std::string& text, Findings& findings) const
        -> std::optional<BackendServer> = 0;

    /** Returns the prefix of the keys under which operators order roll-outs. */
    [[nodiscard]] virtual auto rolloutPrefix() const -> std::string = 0;

    /** Returns the roll-out ordered at \a key with \a text; if it is invalid, returns nothing and adds the errors to \a findings. */
    [[nodiscard]] virtual auto decodeRollout(const std::string& key, const std::string& text, Findings& findings) const -> std::optional<RolloutOrder> = 0;

    /** Returns the key under which the state of the roll-out of \a service is published. */
    [[nodiscard]] virtual auto rolloutStatusKey(const std::string& service) const -> std::string = 0;

    /** Returns the text that publishes \a status. */
    [[nodiscard]] virtual auto encodeRolloutStatus(const RolloutStatus& status) const -> std::string = 0;
};

/** Returns the decoder of the platform's documents that the program is linked with. */
[[nodiscard]] auto makeTrafficDocuments() -> std::unique_ptr<TrafficDocuments>;

} // namespace Primrosefork
