#include "responsecheck.h"

#include <event2/buffer.h>
#include <vector>

namespace Primrosefork {

ResponseCheck::ResponseCheck(std::size_t maxHeadBytes)
    : parser(MessageParser::Kind::Response, { [](const MessageHead&) {}, [](std::string_view) {} }, maxHeadBytes)
{
}

auto ResponseCheck::bytesAdded(evbuffer* input, std::size_t count) -> void
{
    evbuffer_ptr place;
    evbuffer_ptr_set(input, &place, evbuffer_get_length(input) - count, EVBUFFER_PTR_SET);
    const auto length = static_cast<ev_ssize_t>(count);
    std::vector<evbuffer_iovec> pieces(static_cast<std::size_t>(evbuffer_peek(input, length, &place, nullptr, 0)));
    evbuffer_peek(input, length, &place, pieces.data(), static_cast<int>(pieces.size()));
    for (const auto& piece : pieces)
        this->read({ static_cast<const char*>(piece.iov_base), piece.iov_len });
}

auto ResponseCheck::read(std::string_view bytes) -> void
{
    while (!bytes.empty() && this->result == ParseResult::NeedsMore) {
        std::size_t consumed = 0;
        this->result = this->parser.feed(bytes, consumed);
        bytes.remove_prefix(consumed);
        const auto isInterim = this->result == ParseResult::Complete && this->parser.head().status < HttpStatus::ok;
        if (isInterim) {
            this->parser.reset();
            this->result = ParseResult::NeedsMore;
        }
    }
    this->hasExcessBytes = this->hasExcessBytes || !bytes.empty();
}

auto ResponseCheck::isComplete() -> bool
{
    return this->result == ParseResult::Complete || (this->result == ParseResult::NeedsMore && this->parser.finish());
}

auto ResponseCheck::isReusable() const -> bool
{
    return this->result == ParseResult::Complete && !this->hasExcessBytes && this->parser.head().keepsAlive;
}

} // namespace Primrosefork
