#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace Primrosefork {

/**
 * Interface of a component whose internal state can be dumped for operators.
 */
class StateSource {
public:
    virtual ~StateSource() = default;

    [[nodiscard]] virtual auto stateName() const -> std::string = 0;
    [[nodiscard]] virtual auto dumpState() const -> nlohmann::json = 0;
};

} // namespace Primrosefork
