#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Primrosefork {

/**
 * Checks the bytes of one HTTP/1.1 response against the syntax of RFC 9112.
 *
 * The library that parses messages accepts more: any number as a status, any
 * version, blanks in the names of fields and any bytes after a chunk.
 */
class ResponseSyntax {
public:
    /** Prepares for the next response. */
    auto reset() -> void { *this = {}; }

    /** Checks \a bytes of the head and returns how many of them belong to it and come before the first one that breaks the syntax. */
    auto checkHead(std::string_view bytes) -> std::size_t;

    /** Checks \a bytes of a chunked body in the same way, after the head. */
    auto checkChunks(std::string_view bytes) -> std::size_t;

    [[nodiscard]] auto isMalformed() const -> bool { return this->state == State::Malformed; }

private:
    enum class State : std::uint8_t {
        StatusLine,
        Reason,
        LineStart, ///< At the first byte of a field line or of the empty line after the last one.
        FieldName,
        FieldValue,
        LineEnd, ///< After the carriage return of a line.
        FieldsEnd, ///< After the carriage return of the empty line.
        ChunkSizeStart,
        ChunkSize,
        ChunkExtension,
        ChunkSizeEnd, ///< After the carriage return of the line with the size.
        ChunkData,
        ChunkDataReturn, ///< At the carriage return after the data.
        ChunkDataEnd, ///< After that carriage return.
        Complete, ///< At the end of the head or of the chunked body.
        Malformed,
    };

    [[nodiscard]] auto hasEnded() const -> bool { return this->state == State::Complete || this->state == State::Malformed; }
    auto headStateAfter(char) -> State;
    auto statusLineStateAfter(char) -> State;
    [[nodiscard]] auto lineStartStateAfter(char) const -> State;
    auto chunkStateAfter(char) -> State;
    auto sizeStateAfter(char) -> State;

    State state = State::StatusLine;
    std::size_t position = 0; ///< Number of bytes read of the status line, up to the end of the status.
    int status = 0; ///< The digits of the status that were read.
    bool hasLines = false; ///< Whether a field line was read, which the next line may continue.
    bool isInChunks = false; ///< Whether checkChunks() was called.
    std::uint64_t chunkLeft = 0; ///< Number of bytes of the chunk that are still to come.
};

} // namespace Primrosefork
