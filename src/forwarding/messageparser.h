#pragma once

#include "httpmessage.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct http_parser;
struct http_parser_settings;

namespace Primrosefork {

/** The start line and the headers of a message. */
struct MessageHead {
    std::string method; ///< Of a request.
    std::string target; ///< Of a request, as it was sent.
    int status = 0; ///< Of a response.
    HttpHeaders headers;
    bool keepsAlive = false; ///< Whether another message may follow on the connection.
    bool hasLength = false; ///< Whether the message itself says where it ends.
};

/** Why a parser stopped. */
enum class ParseResult {
    NeedsMore, ///< All bytes were taken, the message is not whole yet.
    Complete, ///< The message is whole; bytes that were not taken belong to the next one.
    Malformed,
    HeadTooLarge,
};

/** What a parser tells its owner. */
struct ParseHandlers {
    std::function<void(const MessageHead&)> onHead;
    std::function<void(std::string_view)> onBody; ///< Without the framing of chunks.
};

/**
 * Reads HTTP/1.1 messages from the bytes of one connection, one at a time.
 *
 * Messages whose length two readers could understand differently are malformed.
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

    /** Prepares for the next message; one without a body follows a request for \a isBodiless (HEAD). */
    auto reset(bool isBodiless = false) -> void;

    /** Parses \a bytes and sets \a taken to how many belong to this message. */
    auto feed(std::string_view bytes, std::size_t& taken) -> ParseResult;

    /** Returns whether the message is whole now that the connection has ended. */
    [[nodiscard]] auto finish() -> bool;

    /** Returns whether a part of a message has been read. */
    [[nodiscard]] auto hasBegun() const -> bool { return this->headBytes > 0; }
    [[nodiscard]] auto hasHead() const -> bool { return this->isHeadWhole; }
    [[nodiscard]] auto head() const -> const MessageHead& { return this->current; }

private:
    static auto settings() -> const http_parser_settings&;
    static auto self(http_parser*) -> MessageParser*;
    auto addHeaderField(std::string_view) -> void;
    auto addHeaderValue(std::string_view) -> void;
    auto flushHeader() -> void;
    auto headCompleted() -> int;

    Kind kind;
    ParseHandlers handlers;
    std::size_t maxHeadBytes;
    std::unique_ptr<http_parser> parser;
    MessageHead current;
    std::string fieldName;
    std::string fieldValue;
    bool isInValue = false;
    std::size_t headBytes = 0;
    bool isHeadWhole = false;
    bool isWhole = false;
    bool isBodiless = false;
    bool hasBadName = false; ///< A header name with a space, which others may read as the name without it.
};

} // namespace Primrosefork
