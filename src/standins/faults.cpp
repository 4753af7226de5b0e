#include "faults.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace Primrosefork {

auto Faults::update(const nlohmann::json& json) -> void
{
    this->delay = std::chrono::milliseconds(json.value("delay_ms", this->delay.count()));
    this->isDown = json.value("down", this->isDown);
    this->isSilent = json.value("silent", this->isSilent);
    this->replyDelay = std::chrono::milliseconds(json.value("reply_delay_ms", this->replyDelay.count()));
    this->lostReplies = json.value("lost_replies", this->lostReplies);
}

auto afterDelay(EventLoop& loop, const Faults& faults, std::function<void()> task) -> void
{
    afterDelay(loop, faults.delay, std::move(task));
}

auto afterDelay(EventLoop& loop, std::chrono::milliseconds delay, std::function<void()> task) -> void
{
    if (delay.count() == 0)
        return task();
    auto timer = std::make_shared<std::unique_ptr<Timer>>();
    *timer = std::make_unique<Timer>(loop, [&loop, timer, task = std::move(task)] {
        task();
        // The timer must not be destroyed inside its own callback.
        loop.post([timer] { timer->reset(); });
    });
    (*timer)->start(delay);
}

} // namespace Primrosefork
