#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <system_error>

namespace Primrosefork {

/**
 * Cuts a stream of pieces into lines, with a limit on the length of a line.
 */
class LineSplitter {
public:
    explicit LineSplitter(std::size_t maxLineBytes);

    /**
     * Takes \a piece and calls \a onLine for each line that is now whole,
     * without its newline. Returns Error::TooLarge when a line exceeds the
     * limit. Stops when \a onLine returns false.
     */
    auto add(std::string_view piece, const std::function<bool(std::string_view)>& onLine) -> std::error_code;

private:
    std::size_t maxLineBytes;
    std::string rest;
};

} // namespace Primrosefork
