#include "eventsplitter.h"

namespace Primrosefork {

namespace {

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
    // The buffered part of the last line has no line end, so only the new bytes are searched for one.
    const auto searched = this->pending.size();
    this->pending.append(bytes);
    std::size_t begin = 0;
    auto line = this->lineBegin;
    for (auto end = this->pending.find('\n', searched); end != std::string::npos; end = this->pending.find('\n', line)) {
        const auto isEmpty = end == line || (end == line + 1 && this->pending[line] == '\r');
        line = end + 1;
        if (!isEmpty)
            continue;
        const auto text = std::string_view(this->pending).substr(begin, line - begin);
        handle({ text, idOf(text) });
        begin = line;
    }
    this->pending.erase(0, begin);
    this->lineBegin = line - begin;
}

} // namespace Primrosefork
