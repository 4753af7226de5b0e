#pragma once

#include "httpmessage.h"
#include "responsesyntax.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

struct http_parser;
struct http_parser_settings;

namespace Primrosefork {

/** The start line and the headers of a message. */
struct MessageHead {
    std::string method; ///< Method of a request; empty for a response.
    std::string target; ///< Target of a request as received; empty for a response.
    int status = 0; ///< Status of a response; 0 for a request.
    HttpHeaders headers;
    bool keepsAlive = false; ///< Whether another message may follow on the connection.
    bool hasLength = false; ///< Whether the message itself defines its end, rather than the end of the connection.

    /** Returns the bytes of memory that the head takes. */
    [[nodiscard]] auto memorySize() const -> std::size_t { return this->method.capacity() + this->target.capacity() + this->headers.memorySize(); }
};

/** Result of MessageParser::feed(). */
enum class ParseResult {
    NeedsMore, ///< All bytes were consumed and the message is not complete yet.
    Complete, ///< The message is complete; bytes that were not consumed belong to the next one.
    Malformed,
    HeadTooLarge, ///< The head exceeds its limit, or a line between the chunks of a response does.
};

/** Callbacks of a parser. */
struct ParseHandlers {
    std::function<void(const MessageHead&)> onHead;
    std::function<void(std::string_view)> onBody; ///< Called with bytes of the body, without the framing of chunks.
};

/**
 * Reads HTTP/1.1 messages from the bytes of one connection, one at a time.
 *
 * A message with an ambiguous length, which another HTTP implementation could
 * read differently, is malformed. The head of a malformed message is not reported
 * unless the error stands behind it.
 */
class MessageParser {
public:
    enum class Kind {
        Request,
        Response,
    };

    MessageParser(Kind, ParseHandlers, std::size_t maxHeadBytes);
    ~MessageParser();
    MessageParser(const MessageParser&) = delete;
    auto operator=(const MessageParser&) -> MessageParser& = delete;

    /** Prepares for the next message. \a isBodiless states that it has no body, as the response to a HEAD request. */
    auto reset(bool isBodiless = false) -> void;

    /** Parses \a bytes and sets \a consumed to the number of bytes that belong to this message. */
    auto feed(std::string_view bytes, std::size_t& consumed) -> ParseResult;

    /** Returns whether the message is complete now that the connection has ended. */
    [[nodiscard]] auto finish() -> bool;

    /** Returns whether a part of a message has been read. */
    [[nodiscard]] auto hasBegun() const -> bool { return this->headBytes > 0; }

    /** Returns the number of bytes read up to the end of the head; may include a part of the body. */
    [[nodiscard]] auto headSize() const -> std::size_t { return this->headBytes; }
    [[nodiscard]] auto hasHead() const -> bool { return this->isHeadComplete; }
    [[nodiscard]] auto head() const -> const MessageHead& { return this->current; }

    /** Returns the head, which head() no longer has afterwards. */
    auto takeHead() -> MessageHead { return std::exchange(this->current, {}); }

private:
    static auto settings() -> const http_parser_settings&;
    static auto self(http_parser*) -> MessageParser*;
    auto feedResponse(std::string_view bytes, std::size_t& consumed) -> ParseResult;
    auto parse(std::string_view bytes, std::size_t& consumed) -> ParseResult;
    auto addHeaderField(std::string_view) -> void;
    auto addHeaderValue(std::string_view) -> void;
    auto flushHeader() -> void;
    auto headCompleted() -> int;
    [[nodiscard]] auto isChunked() const -> bool;

    Kind kind;
    ParseHandlers handlers;
    std::size_t maxHeadBytes;
    std::unique_ptr<http_parser> parser;
    ResponseSyntax syntax; ///< Reads responses before the library, which accepts malformed ones.
    MessageHead current;
    std::string fieldName;
    std::string fieldValue;
    bool isInValue = false;
    std::size_t headBytes = 0;
    bool isHeadComplete = false;
    bool isMessageComplete = false;
    bool isBodiless = false;
    bool hasInvalidName = false; ///< Whether a header name contains a space or tab, which other implementations may ignore.
};

} // namespace Primrosefork
