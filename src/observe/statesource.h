#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace Primrosefork {

/**
 * A part of a process that shows its state on request.
 */
class StateSource {
public:
    virtual ~StateSource() = default;

    [[nodiscard]] virtual auto stateName() const -> std::string = 0;
    [[nodiscard]] virtual auto dumpState() const -> nlohmann::json = 0;
};

} // namespace Primrosefork
