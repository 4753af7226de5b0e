#pragma once

#include "address.h"

#include <functional>
#include <string>
#include <system_error>

namespace Primrosefork {

/** The result of moving a run. */
struct MoveResult {
    /**
     * Address of the source engine and handle of the copy of the run's KV cache,
     * for the engine that continues the run; empty after an error.
     */
    std::string kvCacheSource;

    bool isAtSource = false; ///< Whether the copy stayed at the source, which stopped the run, because the destination had no room.
    bool mayHaveStoppedRun = false; ///< After an error, whether the source may have stopped the run nevertheless.
};

/**
 * Moves the runs of requests between engines together with their KV cache.
 */
class RunMover {
public:
    using Handler = std::function<void(std::error_code, const MoveResult&)>;

    virtual ~RunMover() = default;

    /**
     * Stops the run of \a requestId at \a source and copies its KV cache to \a destination.
     * After an error there is no copy that can be used: the run continues at \a source or has ended,
     * unless the result says that it may have been stopped.
     * The handler may be called within this call.
     */
    virtual auto move(const Address& source, const std::string& requestId, const Address& destination, Handler) -> void = 0;
};

} // namespace Primrosefork
