#pragma once

#include "messageparser.h"

#include <cstddef>
#include <string_view>

struct evbuffer;

namespace Primrosefork {

/**
 * Reads the bytes of one response beside evhttp, which accepts much that is not
 * HTTP, and tells whether the response is sound.
 */
class ResponseCheck {
public:
    explicit ResponseCheck(std::size_t maxHeadBytes);

    /** Reads the last \a count bytes of \a input, which have just been received. */
    auto bytesAdded(evbuffer* input, std::size_t count) -> void;

    [[nodiscard]] auto isMalformed() const -> bool { return this->result == ParseResult::Malformed; }

    /** Returns whether the head, or a line between chunks, exceeds its limit. */
    [[nodiscard]] auto isHeadTooLarge() const -> bool { return this->result == ParseResult::HeadTooLarge; }

    /** Returns whether the response is complete, now that it or its connection has ended. */
    [[nodiscard]] auto isComplete() -> bool;

    /** Returns whether the connection may be used again: the response is complete, keeps it open, and no bytes follow. */
    [[nodiscard]] auto isReusable() const -> bool;

private:
    auto read(std::string_view) -> void;

    MessageParser parser;
    ParseResult result = ParseResult::NeedsMore;
    bool hasExcessBytes = false; ///< Whether bytes followed the response.
};

} // namespace Primrosefork
