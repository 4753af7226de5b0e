#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>

namespace Primrosefork {

/**
 * One admitted caller's request on its way to an answer.
 */
class RequestRun {
public:
    /** Called once when the answer is whole, refused or cut off. */
    using EndHandler = std::function<void(std::int64_t tokens)>;

    virtual ~RequestRun() = default;

    virtual auto begin() -> void = 0;

    /** The caller went away: ends the work that may be ended. */
    virtual auto callerGone() -> void = 0;

    /** The reclaim notices were replaced. */
    virtual auto reclaimNoticed() -> void { }

    /** The node is about to end: gives the caller a clean place to ask again. */
    virtual auto nodeLeaving() -> void { }

    [[nodiscard]] virtual auto dumpState() const -> nlohmann::json = 0;
};

} // namespace Primrosefork
