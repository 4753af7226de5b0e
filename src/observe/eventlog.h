#pragma once

#include "events.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace Primrosefork {

/** One named value that belongs to an event. */
struct EventField {
    std::string_view name;
    std::string value;
};

/**
 * Writes numbered events to standard output through log4cxx, one JSON object a
 * line: time, level, event number, name and the fields of the event.
 */
class EventLog {
public:
    /** Sets the log up for the process; \a level is "debug", "info", "warn" or "error". */
    explicit EventLog(const std::string& level);

    auto write(Event, std::initializer_list<EventField> fields = {}) const -> void;
};

} // namespace Primrosefork
