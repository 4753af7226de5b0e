#include "httpmessage.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <memory>
#include <strings.h>

namespace Primrosefork {

namespace {

auto isSameName(std::string_view first, std::string_view second) -> bool
{
    return first.size() == second.size() && strncasecmp(first.data(), second.data(), first.size()) == 0;
}

using EncodedText = std::unique_ptr<char, decltype(&free)>;

} // namespace

auto HttpHeaders::add(std::string name, std::string value) -> void
{
    this->textBytes += name.capacity() + value.capacity();
    this->headers.push_back({ std::move(name), std::move(value) });
}

auto HttpHeaders::get(std::string_view name) const -> std::optional<std::string>
{
    for (const auto& header : this->headers) {
        if (isSameName(header.name, name))
            return header.value;
    }
    return std::nullopt;
}

auto HttpHeaders::count(std::string_view name) const -> std::size_t
{
    std::size_t found = 0;
    for (const auto& header : this->headers)
        found += isSameName(header.name, name) ? 1 : 0;
    return found;
}

auto HttpRequest::queryValue(const std::string& name) const -> std::optional<std::string>
{
    evkeyvalq values {};
    if (this->query.empty() || evhttp_parse_query_str(this->query.c_str(), &values) != 0)
        return std::nullopt;
    std::optional<std::string> result;
    if (const auto* value = evhttp_find_header(&values, name.c_str()))
        result = value;
    evhttp_clear_headers(&values);
    return result;
}

auto HttpRequest::target() const -> std::string
{
    return this->query.empty() ? this->path : this->path + "?" + this->query;
}

auto percentEncode(std::string_view text) -> std::string
{
    const EncodedText encoded(evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0), &free);
    return encoded ? encoded.get() : "";
}

} // namespace Primrosefork
