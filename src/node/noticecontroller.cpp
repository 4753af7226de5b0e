#include "noticecontroller.h"

#include "eventlog.h"

#include <nlohmann/json.hpp>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto noticeRetention = 60s; ///< How long a notice is kept after its deadline.

} // namespace

NoticeController::NoticeController(EventLoop& loop, CloudApi& cloud, Blackboard& blackboard, const EventLog& log, std::chrono::milliseconds period)
    : cloud(cloud)
    , notices(blackboard.reclaimNotices.acquireWriter("NoticeController"))
    , log(log)
    , period(period)
    , timer(loop, [this] { this->fetch(); })
{
}

auto NoticeController::begin() -> void
{
    this->fetch();
}

auto NoticeController::fetch() -> void
{
    this->cloud.fetchNotices([this](std::error_code error, const std::vector<CloudNotice>& current) { this->received(error, current); });
}

auto NoticeController::received(std::error_code error, const std::vector<CloudNotice>& current) -> void
{
    this->timer.start(this->period);
    if (error)
        return;
    const auto now = EventLoop::now();
    auto next = this->notices.value();
    std::erase_if(next, [now](const auto& entry) { return entry.second.deadline + noticeRetention < now; });
    for (const auto& notice : current) {
        if (next.contains(notice.instanceId))
            continue;
        next[notice.instanceId] = { notice.instanceId, now + notice.remaining };
        this->log.write(Event::ReclaimNoticed, { { "instance", notice.instanceId }, { "remaining_ms", std::to_string(notice.remaining.count()) } });
    }
    if (next != this->notices.value())
        this->notices.write(std::move(next));
}

auto NoticeController::dumpState() const -> nlohmann::json
{
    auto result = nlohmann::json::object();
    const auto now = EventLoop::now();
    for (const auto& [id, notice] : this->notices.value())
        result[id] = { { "remaining_ms", std::chrono::duration_cast<std::chrono::milliseconds>(notice.deadline - now).count() } };
    return result;
}

} // namespace Primrosefork
