#include "linesplitter.h"

#include "errors.h"

namespace Primrosefork {

LineSplitter::LineSplitter(std::size_t maxLineBytes)
    : maxLineBytes(maxLineBytes)
{
}

auto LineSplitter::add(std::string_view piece, const std::function<bool(std::string_view)>& onLine) -> std::error_code
{
    while (!piece.empty()) {
        const auto newline = piece.find('\n');
        const auto part = piece.substr(0, newline);
        if (this->partialLine.size() + part.size() > this->maxLineBytes)
            return Error::TooLarge;
        this->partialLine += part;
        if (newline == std::string_view::npos)
            return {};
        piece.remove_prefix(newline + 1);
        const auto line = std::move(this->partialLine);
        this->partialLine.clear();
        if (!onLine(line))
            return {};
    }
    return {};
}

} // namespace Primrosefork
