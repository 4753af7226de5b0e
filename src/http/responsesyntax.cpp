#include "responsesyntax.h"

#include <algorithm>
#include <limits>
#include <string_view>

namespace Primrosefork {

namespace {

constexpr std::string_view statusLineFormat = "HTTP/1.# ###"; ///< '#' stands for a digit.
constexpr std::size_t statusPosition = 9; ///< Of the first digit of the status.
constexpr int decimal = 10;
constexpr int hexadecimal = 16;
constexpr int lowestStatus = 100;
constexpr int highestStatus = 599;
constexpr int statusSwitchingProtocols = 101; ///< Never valid here, because no request asks for it.

auto isDigit(char byte) -> bool
{
    return byte >= '0' && byte <= '9';
}

auto isLetter(char byte) -> bool
{
    return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
}

/** Returns whether \a byte may stand in the name of a field. */
auto isTokenByte(char byte) -> bool
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return isLetter(byte) || isDigit(byte) || marks.find(byte) != std::string_view::npos;
}

/** Returns whether \a byte may stand in a value, a reason phrase or the extension of a chunk. */
auto isTextByte(char byte) -> bool
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteByte = 0x7f;
    const auto code = static_cast<unsigned char>(byte);
    return byte == '\t' || (code >= firstPrintable && code != deleteByte);
}

/** Returns the value of the hexadecimal digit \a byte, or -1. */
auto hexValue(char byte) -> int
{
    if (isDigit(byte))
        return byte - '0';
    if (byte >= 'a' && byte <= 'f')
        return byte - 'a' + decimal;
    if (byte >= 'A' && byte <= 'F')
        return byte - 'A' + decimal;
    return -1;
}

} // namespace

auto ResponseSyntax::checkHead(std::string_view bytes) -> std::size_t
{
    std::size_t count = 0;
    while (count < bytes.size() && !this->hasEnded()) {
        this->state = this->headStateAfter(bytes[count]);
        if (!this->isMalformed())
            ++count;
    }
    return count;
}

auto ResponseSyntax::headStateAfter(char byte) -> State
{
    switch (this->state) {
    case State::StatusLine:
        return this->statusLineStateAfter(byte);
    case State::Reason:
    case State::FieldValue:
        if (byte == '\r')
            return State::LineEnd;
        if (byte == '\n')
            return State::LineStart;
        return isTextByte(byte) ? this->state : State::Malformed;
    case State::LineStart:
        return this->lineStartStateAfter(byte);
    case State::FieldName:
        if (byte == ':') {
            this->hasLines = true;
            return State::FieldValue;
        }
        return isTokenByte(byte) ? State::FieldName : State::Malformed;
    case State::LineEnd:
        return byte == '\n' ? State::LineStart : State::Malformed;
    case State::FieldsEnd:
        return byte == '\n' ? State::Complete : State::Malformed;
    default:
        return State::Malformed;
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
    if (byte == ' ')
        return State::Reason;
    if (isLineEnd)
        return byte == '\r' ? State::LineEnd : State::LineStart;
    return State::Malformed;
}

auto ResponseSyntax::lineStartStateAfter(char byte) const -> State
{
    if (byte == '\r')
        return State::FieldsEnd;
    if (byte == '\n')
        return State::Complete;
    if (byte == ' ' || byte == '\t')
        return this->hasLines ? State::FieldValue : State::Malformed;
    return isTokenByte(byte) ? State::FieldName : State::Malformed;
}

auto ResponseSyntax::checkChunks(std::string_view bytes) -> std::size_t
{
    if (!this->isInChunks && this->state == State::Complete)
        this->state = State::ChunkSizeStart;
    this->isInChunks = true;
    std::size_t count = 0;
    while (count < bytes.size() && !this->hasEnded()) {
        if (this->state != State::ChunkData) {
            this->state = this->chunkStateAfter(bytes[count]);
            if (!this->isMalformed())
                ++count;
            continue;
        }
        const auto size = std::min<std::uint64_t>(this->chunkLeft, bytes.size() - count);
        count += static_cast<std::size_t>(size);
        this->chunkLeft -= size;
        if (this->chunkLeft == 0)
            this->state = State::ChunkDataReturn;
    }
    return count;
}

auto ResponseSyntax::chunkStateAfter(char byte) -> State
{
    switch (this->state) {
    case State::ChunkSizeStart:
    case State::ChunkSize:
        return this->sizeStateAfter(byte);
    case State::ChunkExtension:
        if (byte == '\r')
            return State::ChunkSizeEnd;
        return isTextByte(byte) ? State::ChunkExtension : State::Malformed;
    case State::ChunkSizeEnd:
        if (byte != '\n')
            return State::Malformed;
        this->hasLines = false;
        return this->chunkLeft == 0 ? State::LineStart : State::ChunkData;
    case State::ChunkDataReturn:
        return byte == '\r' ? State::ChunkDataEnd : State::Malformed;
    case State::ChunkDataEnd:
        return byte == '\n' ? State::ChunkSizeStart : State::Malformed;
    default:
        return this->headStateAfter(byte); // The trailers have the syntax of header fields.
    }
}

auto ResponseSyntax::sizeStateAfter(char byte) -> State
{
    const auto digit = hexValue(byte);
    if (this->state == State::ChunkSizeStart) {
        this->chunkLeft = 0;
        if (digit < 0)
            return State::Malformed;
    }
    if (digit >= 0) {
        if (this->chunkLeft > std::numeric_limits<std::uint64_t>::max() / hexadecimal)
            return State::Malformed;
        this->chunkLeft = this->chunkLeft * hexadecimal + static_cast<std::uint64_t>(digit);
        return State::ChunkSize;
    }
    if (byte == '\r')
        return State::ChunkSizeEnd;
    return byte == ';' || byte == ' ' ? State::ChunkExtension : State::Malformed;
}

} // namespace Primrosefork
