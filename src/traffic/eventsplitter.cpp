#include "eventsplitter.h"

namespace Primrosefork {

namespace {

/** Returns the offset after the first empty line of \a text, or npos if it has none. */
auto endOfEvent(std::string_view text) -> std::size_t
{
    for (auto line = std::size_t { 0 }; line < text.size();) {
        const auto end = text.find('\n', line);
        if (end == std::string_view::npos)
            return end;
        const auto isEmpty = end == line || (end == line + 1 && text[line] == '\r');
        if (isEmpty)
            return end + 1;
        line = end + 1;
    }
    return std::string_view::npos;
}

auto trimmed(std::string_view text) -> std::string_view
{
    while (!text.empty() && text.front() == ' ')
        text.remove_prefix(1);
    while (!text.empty() && text.back() == ' ')
        text.remove_suffix(1);
    return text;
}

auto idOf(std::string_view event) -> std::optional<std::string_view>
{
    constexpr std::string_view name = "id:";
    std::optional<std::string_view> id;
    while (!event.empty()) {
        const auto end = event.find_first_of("\r\n");
        const auto line = event.substr(0, end);
        // An id with a zero byte is none.
        if (line.starts_with(name) && line.find('\0') == std::string_view::npos)
            id = trimmed(line.substr(name.size()));
        if (end == std::string_view::npos)
            break;
        event.remove_prefix(end + 1);
    }
    return id;
}

} // namespace

auto EventSplitter::add(std::string_view bytes, const Handler& handle) -> void
{
    this->pending.append(bytes);
    std::string_view rest(this->pending);
    for (auto end = endOfEvent(rest); end != std::string_view::npos; end = endOfEvent(rest)) {
        const auto text = rest.substr(0, end);
        handle({ text, idOf(text) });
        rest.remove_prefix(end);
    }
    this->pending.erase(0, this->pending.size() - rest.size());
}

} // namespace Primrosefork
