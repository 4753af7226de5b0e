#pragma once

#include "blackboard.h"
#include "cloudapi.h"
#include "eventloop.h"
#include "statesource.h"

#include <chrono>

namespace Primrosefork {

class EventLog;

/**
 * Polls the reclaim notices of the cloud and publishes them. A notice is kept for
 * a while after its deadline, even when the cloud no longer lists it.
 */
class NoticeController : public StateSource {
public:
    NoticeController(EventLoop&, CloudApi&, Blackboard&, const EventLog&, std::chrono::milliseconds period);

    auto begin() -> void;

    [[nodiscard]] auto stateName() const -> std::string override { return "reclaim_notices"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto fetch() -> void;
    auto received(std::error_code, const std::vector<CloudNotice>&) -> void;

    CloudApi& cloud;
    SectionWriter<ReclaimNotices> notices;
    const EventLog& log;
    std::chrono::milliseconds period;
    Timer timer;
};

} // namespace Primrosefork
