#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Primrosefork {

/** One whole event of a text/event-stream. */
struct StreamEvent {
    std::string_view text; ///< With the empty line at its end.
    std::optional<std::string_view> id;
};

/**
 * Cuts the bytes of an event stream into whole events.
 *
 * An event that has no end yet is kept back, so that what was passed on can be
 * continued by another engine.
 */
class EventSplitter {
public:
    using Handler = std::function<void(const StreamEvent&)>;

    /** Adds \a bytes and calls \a handle for each event that is whole now. */
    auto add(std::string_view bytes, const Handler& handle) -> void;

    /** Returns whether there is a part of an event without its end. */
    [[nodiscard]] auto hasPartialEvent() const -> bool { return !this->pending.empty(); }

    /** Returns how many bytes are kept back. */
    [[nodiscard]] auto pendingBytes() const -> std::size_t { return this->pending.size(); }

private:
    std::string pending;
};

} // namespace Primrosefork
