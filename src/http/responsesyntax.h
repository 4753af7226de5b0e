#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Primrosefork {

/**
 * Checks the status line of one HTTP/1.1 response against the syntax of RFC 9112.
 *
 * The library that parses messages accepts more: any number as a status and any
 * version.
 */
class ResponseSyntax {
public:
    /** Prepares for the next response. */
    auto reset() -> void { *this = {}; }

    /** Checks \a bytes of the head. */
    auto checkHead(std::string_view bytes) -> void;

    [[nodiscard]] auto isMalformed() const -> bool { return this->state == State::Malformed; }

private:
    enum class State : std::uint8_t {
        StatusLine,
        Fields,
        Malformed,
    };

    auto statusLineStateAfter(char) -> State;

    State state = State::StatusLine;
    std::size_t position = 0; ///< Number of bytes read of the status line, up to the end of the status.
    int status = 0;
};

} // namespace Primrosefork
