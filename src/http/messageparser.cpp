#include "messageparser.h"

#include <algorithm>
#include <http_parser.h>
#include <strings.h>
#include <utility>

namespace Primrosefork {

namespace {

constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;
constexpr int firstFinalStatus = 200;
constexpr int skipBody = 1; ///< Returned from on_headers_complete for a message without a body.
constexpr int rejectHead = -1; ///< Returned from on_headers_complete for a malformed head.

/** Returns whether \a header names a transfer coding other than chunks alone. */
auto isUnknownCoding(const HttpHeader& header) -> bool
{
    if (strcasecmp(header.name.c_str(), "Transfer-Encoding") != 0)
        return false;
    const auto coding = header.value.substr(0, header.value.find_last_not_of(" \t") + 1);
    return strcasecmp(coding.c_str(), "chunked") != 0;
}

} // namespace

MessageParser::MessageParser(Kind kind, ParseHandlers handlers, std::size_t maxHeadBytes)
    : kind(kind)
    , handlers(std::move(handlers))
    , maxHeadBytes(maxHeadBytes)
    , parser(std::make_unique<http_parser>())
{
    this->reset();
}

MessageParser::~MessageParser() = default;

auto MessageParser::self(http_parser* parser) -> MessageParser*
{
    return static_cast<MessageParser*>(parser->data);
}

auto MessageParser::settings() -> const http_parser_settings&
{
    static const auto callbacks = [] {
        http_parser_settings result {};
        result.on_url = [](http_parser* parser, const char* at, std::size_t length) {
            self(parser)->current.target.append(at, length);
            return 0;
        };
        result.on_header_field = [](http_parser* parser, const char* at, std::size_t length) {
            self(parser)->addHeaderField({ at, length });
            return 0;
        };
        result.on_header_value = [](http_parser* parser, const char* at, std::size_t length) {
            self(parser)->addHeaderValue({ at, length });
            return 0;
        };
        result.on_headers_complete = [](http_parser* parser) { return self(parser)->headCompleted(); };
        result.on_body = [](http_parser* parser, const char* at, std::size_t length) {
            self(parser)->handlers.onBody({ at, length });
            return 0;
        };
        result.on_message_complete = [](http_parser* parser) {
            self(parser)->isMessageComplete = true;
            // Makes http_parser stop before the bytes of the next message.
            http_parser_pause(parser, 1);
            return 0;
        };
        return result;
    }();
    return callbacks;
}

auto MessageParser::reset(bool bodiless) -> void
{
    http_parser_init(this->parser.get(), this->kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    this->parser->data = this;
    this->syntax.reset();
    this->current = {};
    this->fieldName.clear();
    this->fieldValue.clear();
    this->isInValue = false;
    this->headBytes = 0;
    this->isHeadComplete = false;
    this->isMessageComplete = false;
    this->isBodiless = bodiless;
    this->hasInvalidName = false;
}

auto MessageParser::feed(std::string_view bytes, std::size_t& consumed) -> ParseResult
{
    return this->kind == Kind::Response ? this->feedResponse(bytes, consumed) : this->parse(bytes, consumed);
}

auto MessageParser::feedResponse(std::string_view bytes, std::size_t& consumed) -> ParseResult
{
    consumed = 0;
    if (!this->isHeadComplete) {
        const auto headSize = this->syntax.checkHead(bytes);
        if (this->syntax.isMalformed())
            return ParseResult::Malformed;
        const auto result = this->parse(bytes.substr(0, headSize), consumed);
        if (result != ParseResult::NeedsMore || headSize == bytes.size())
            return result;
    }
    // Passed on apart from the head, which tells whether the body is chunked.
    const auto body = bytes.substr(consumed);
    const auto bodySize = this->isChunked() ? this->syntax.checkChunks(body) : body.size();
    std::size_t bodyConsumed = 0;
    const auto result = bodySize > 0 ? this->parse(body.substr(0, bodySize), bodyConsumed) : ParseResult::NeedsMore;
    consumed += bodyConsumed;
    return result == ParseResult::NeedsMore && bodySize < body.size() ? ParseResult::Malformed : result;
}

auto MessageParser::parse(std::string_view bytes, std::size_t& consumed) -> ParseResult
{
    const auto wasHeadWhole = this->isHeadComplete;
    consumed = http_parser_execute(this->parser.get(), &settings(), bytes.data(), bytes.size());
    if (!wasHeadWhole)
        this->headBytes += consumed;
    const auto error = HTTP_PARSER_ERRNO(this->parser.get());
    if (this->hasInvalidName)
        return ParseResult::Malformed;
    if (this->isMessageComplete && (error == HPE_PAUSED || error == HPE_OK))
        return ParseResult::Complete;
    // The library limits the lines around chunks as well.
    if (error == HPE_HEADER_OVERFLOW && (!this->isHeadComplete || this->kind == Kind::Response))
        return ParseResult::HeadTooLarge;
    if (!this->isHeadComplete && this->headBytes > this->maxHeadBytes)
        return ParseResult::HeadTooLarge;
    return error == HPE_OK ? ParseResult::NeedsMore : ParseResult::Malformed;
}

auto MessageParser::finish() -> bool
{
    if (!this->isHeadComplete || this->isMessageComplete)
        return this->isMessageComplete;
    std::size_t consumed = 0;
    return this->parse({}, consumed) == ParseResult::Complete;
}

auto MessageParser::addHeaderField(std::string_view text) -> void
{
    // Fields after the body are no headers.
    if (this->isHeadComplete)
        return;
    if (this->isInValue)
        this->flushHeader();
    this->fieldName += text;
}

auto MessageParser::addHeaderValue(std::string_view text) -> void
{
    if (this->isHeadComplete)
        return;
    this->isInValue = true;
    this->fieldValue += text;
}

auto MessageParser::flushHeader() -> void
{
    if (this->fieldName.find_first_of(" \t") != std::string::npos)
        this->hasInvalidName = true;
    if (!this->fieldName.empty())
        this->current.headers.add(std::exchange(this->fieldName, {}), std::exchange(this->fieldValue, {}));
    this->isInValue = false;
}

auto MessageParser::headCompleted() -> int
{
    if (this->isHeadComplete)
        return 0; // Ignores a second call, after the trailers of a chunked body.
    this->flushHeader();
    const auto& headers = this->current.headers;
    if (this->hasInvalidName || (this->kind == Kind::Response && std::any_of(headers.begin(), headers.end(), isUnknownCoding)))
        return rejectHead;
    this->isHeadComplete = true;
    if (this->kind == Kind::Request)
        this->current.method = http_method_str(static_cast<http_method>(this->parser->method));
    else
        this->current.status = static_cast<int>(this->parser->status_code);
    this->parser->upgrade = 0; // Protocol upgrades are not supported, so the message is parsed like any other.
    this->current.keepsAlive = http_should_keep_alive(this->parser.get()) != 0;
    const auto isInterim = this->kind == Kind::Response && this->current.status < firstFinalStatus;
    const auto hasNoBody = this->isBodiless || isInterim || this->current.status == statusNoContent || this->current.status == statusNotModified;
    const auto hasContentLength = (this->parser->flags & F_CONTENTLENGTH) != 0;
    this->current.hasLength = hasNoBody || hasContentLength || this->isChunked();
    this->handlers.onHead(this->current);
    return hasNoBody ? skipBody : 0;
}

auto MessageParser::isChunked() const -> bool
{
    return (this->parser->flags & F_CHUNKED) != 0;
}

} // namespace Primrosefork
