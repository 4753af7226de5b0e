#include "responsesyntax.h"

#include <string_view>

namespace Primrosefork {

namespace {

constexpr std::string_view statusLineFormat = "HTTP/1.# ###"; ///< '#' stands for a digit.
constexpr std::size_t statusPosition = 9; ///< Of the first digit of the status.
constexpr int decimal = 10;
constexpr int lowestStatus = 100;
constexpr int highestStatus = 599;
constexpr int statusSwitchingProtocols = 101; ///< Never valid here, because no request asks for it.

auto isDigit(char byte) -> bool
{
    return byte >= '0' && byte <= '9';
}

} // namespace

auto ResponseSyntax::checkHead(std::string_view bytes) -> void
{
    for (const auto byte : bytes) {
        if (this->state != State::StatusLine)
            return;
        this->state = this->statusLineStateAfter(byte);
    }
}

auto ResponseSyntax::statusLineStateAfter(char byte) -> State
{
    const auto isLineEnd = byte == '\r' || byte == '\n';
    if (this->position < statusLineFormat.size()) {
        // Empty lines may precede a message.
        if (this->position == 0 && isLineEnd)
            return State::StatusLine;
        const auto expected = statusLineFormat[this->position];
        if (expected == '#' ? !isDigit(byte) : byte != expected)
            return State::Malformed;
        if (this->position >= statusPosition)
            this->status = this->status * decimal + (byte - '0');
        ++this->position;
        return State::StatusLine;
    }
    if (this->status < lowestStatus || this->status > highestStatus || this->status == statusSwitchingProtocols)
        return State::Malformed;
    return byte == ' ' || isLineEnd ? State::Fields : State::Malformed;
}

} // namespace Primrosefork
