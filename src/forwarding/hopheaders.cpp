#include "hopheaders.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <http_parser.h>
#include <strings.h>
#include <vector>

namespace Primrosefork {

namespace {

constexpr std::array hopHeaders { "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer",
    "Transfer-Encoding", "Upgrade", "Content-Length", "Expect" };

/** Returns the header names that the Connection headers in \a headers list. */
auto listedNames(const HttpHeaders& headers) -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto& header : headers) {
        if (strcasecmp(header.name.c_str(), "Connection") != 0)
            continue;
        std::string name;
        for (const auto character : header.value + ",") {
            if (character == ',') {
                if (!name.empty())
                    names.push_back(name);
                name.clear();
            } else if (character != ' ' && character != '\t') {
                name += character;
            }
        }
    }
    return names;
}

} // namespace

auto withoutHopHeaders(const HttpHeaders& headers) -> HttpHeaders
{
    const auto listed = listedNames(headers);
    const auto isHop = [&listed](const HttpHeader& header) {
        const auto isSame = [&header](const auto& name) { return strcasecmp(std::string(name).c_str(), header.name.c_str()) == 0; };
        return std::any_of(hopHeaders.begin(), hopHeaders.end(), isSame) || std::any_of(listed.begin(), listed.end(), isSame);
    };
    HttpHeaders result;
    for (const auto& header : headers) {
        if (!isHop(header))
            result.add(header.name, header.value);
    }
    return result;
}

auto retryAfterValue(std::chrono::milliseconds wait) -> std::string
{
    using Hundredths = std::chrono::duration<std::int64_t, std::centi>;
    const auto hundredths = std::chrono::ceil<Hundredths>(wait).count();
    const auto fraction = std::to_string(hundredths % Hundredths::period::den);
    return std::to_string(hundredths / Hundredths::period::den) + (fraction.size() < 2 ? ".0" : ".") + fraction;
}

auto statusLine(int status) -> std::string
{
    return "HTTP/1.1 " + std::to_string(status) + " " + http_status_str(static_cast<http_status>(status)) + "\r\n";
}

} // namespace Primrosefork
