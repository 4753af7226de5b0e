#pragma once

#include "httpmessage.h"

#include <chrono>
#include <string>

namespace Primrosefork {

/** Returns \a headers without those that concern one connection only, and without the length of the body. */
[[nodiscard]] auto withoutHopHeaders(const HttpHeaders& headers) -> HttpHeaders;

/** Returns \a wait as the value of Retry-After, in seconds with two digits. */
[[nodiscard]] auto retryAfterValue(std::chrono::milliseconds wait) -> std::string;

/** Returns the first line of a response with \a status, and its end. */
[[nodiscard]] auto statusLine(int status) -> std::string;

} // namespace Primrosefork
