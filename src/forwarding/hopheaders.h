#pragma once

#include "httpmessage.h"

#include <chrono>
#include <string>

namespace Primrosefork {

/** Returns \a headers without the hop-by-hop headers, which concern one connection only, and without Content-Length. */
[[nodiscard]] auto withoutHopHeaders(const HttpHeaders& headers) -> HttpHeaders;

/** Returns \a wait as the value of a Retry-After header, in seconds with two decimal places, rounded up. */
[[nodiscard]] auto retryAfterValue(std::chrono::milliseconds wait) -> std::string;

/** Returns the status line of a response with \a status, including CRLF. */
[[nodiscard]] auto statusLine(int status) -> std::string;

} // namespace Primrosefork
