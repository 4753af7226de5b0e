#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>

namespace Primrosefork {

/**
 * One admitted request of a caller, until it is answered.
 */
class RequestRun {
public:
    /** Called once when the request was answered completely, refused or cut off, with the number of tokens generated for it. */
    using EndHandler = std::function<void(std::int64_t tokens)>;

    virtual ~RequestRun() = default;

    virtual auto begin() -> void = 0;

    /** Reports that the caller closed its connection; cancels the work that may be cancelled. */
    virtual auto callerDisconnected() -> void = 0;

    /** Reports that the reclaim notices were replaced. */
    virtual auto reclaimNoticesChanged() -> void { }

    /** Reports that the node is about to stop; hands an unfinished answer back at a token boundary, from which the caller can continue on another node. */
    virtual auto nodeLeaving() -> void { }

    [[nodiscard]] virtual auto dumpState() const -> nlohmann::json = 0;
};

} // namespace Primrosefork
