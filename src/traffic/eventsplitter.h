#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Primrosefork {

/** One complete event of a text/event-stream. */
struct StreamEvent {
    std::string_view text; ///< Bytes of the event, with the empty line at its end.
    std::optional<std::string_view> id; ///< Value of the last id field, if there is one.
};

/**
 * Splits the bytes of an event stream into complete events.
 *
 * An incomplete event is buffered, so that another engine can continue the
 * stream after the last event that was passed on.
 */
class EventSplitter {
public:
    using Handler = std::function<void(const StreamEvent&)>;

    /** Appends \a bytes and calls \a handle for each event that they complete. */
    auto add(std::string_view bytes, const Handler& handle) -> void;

    /** Returns whether an incomplete event is buffered. */
    [[nodiscard]] auto hasPartialEvent() const -> bool { return !this->pending.empty(); }

    /** Returns the number of buffered bytes. */
    [[nodiscard]] auto pendingBytes() const -> std::size_t { return this->pending.size(); }

private:
    std::string pending;
    std::size_t lineBegin = 0; ///< Offset of the last, incomplete line in the buffered bytes.
};

} // namespace Primrosefork
