#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <system_error>
#include <vector>

namespace Primrosefork {

/** A reclaim notice as the cloud reports it. */
struct CloudNotice {
    std::string instanceId;
    std::chrono::milliseconds remaining { 0 }; ///< Time until the cloud reclaims the instance.
};

/**
 * The interface to the cloud that provides reclaimable instances.
 */
class CloudApi {
public:
    using NoticesHandler = std::function<void(std::error_code, const std::vector<CloudNotice>&)>;

    virtual ~CloudApi() = default;

    /** Fetches the reclaim notices that are in force. */
    virtual auto fetchNotices(NoticesHandler) -> void = 0;
};

} // namespace Primrosefork
