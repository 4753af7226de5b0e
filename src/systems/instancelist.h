#pragma once

#include "backendserver.h"

#include <functional>
#include <system_error>

namespace Primrosefork {

/**
 * The interface to the platform's list of backend servers, which may be out of
 * date.
 */
class InstanceList {
public:
    using Handler = std::function<void(std::error_code, const BackendServers&)>;

    virtual ~InstanceList() = default;

    /** Fetches the whole list. */
    virtual auto fetch(Handler) -> void = 0;
};

} // namespace Primrosefork
