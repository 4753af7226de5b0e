#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <system_error>

namespace Primrosefork {

/**
 * Splits a stream of pieces into lines of limited length.
 */
class LineSplitter {
public:
    explicit LineSplitter(std::size_t maxLineBytes);

    /**
     * Adds \a piece and calls \a onLine for each line that it completes,
     * without its newline. Returns Error::TooLarge when a line exceeds the
     * limit. Stops when \a onLine returns false.
     */
    auto add(std::string_view piece, const std::function<bool(std::string_view)>& onLine) -> std::error_code;

private:
    std::size_t maxLineBytes;
    std::string partialLine;
};

} // namespace Primrosefork
