#include "runmove.h"

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::chrono::milliseconds eventTransitTime = 500ms; ///< Events that arrive later than this after a call were sent after it.

} // namespace

auto RunMove::begin(const BackendServer& destination) -> void
{
    this->target = destination;
    this->isCalling = true;
}

auto RunMove::end(std::error_code error, const MoveResult& result, const BackendServer& source, EventLoop::TimePoint now) -> void
{
    this->isCalling = false;
    if (error) {
        if (result.mayHaveStoppedRun)
            this->unconfirmedSince = now;
        return;
    }
    this->copyName = result.kvCacheSource;
    if (result.isAtSource)
        this->target = source;
}

auto RunMove::eventReceived(EventLoop::TimePoint now) -> void
{
    // A stopped run sends no more events.
    if (this->unconfirmedSince && now - *this->unconfirmedSince >= eventTransitTime)
        this->unconfirmedSince.reset();
}

} // namespace Primrosefork
