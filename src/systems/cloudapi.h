#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <system_error>
#include <vector>

namespace Primrosefork {

/** One notice as the cloud gives it. */
struct CloudNotice {
    std::string instanceId;
    std::chrono::milliseconds remaining { 0 }; ///< Until the instance is taken.
};

/**
 * The cloud's interface to reclaimable instances.
 */
class CloudApi {
public:
    using NoticesHandler = std::function<void(std::error_code, const std::vector<CloudNotice>&)>;

    virtual ~CloudApi() = default;

    /** Fetches the notices in force. */
    virtual auto fetchNotices(NoticesHandler) -> void = 0;
};

} // namespace Primrosefork
