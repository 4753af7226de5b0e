#pragma once

#include "events.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace Primrosefork {

/** One named value in the log line of an event. */
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
    /** Configures the logger of the process; \a level is the lowest level to write: "debug", "info", "warn" or "error". */
    explicit EventLog(const std::string& level);

    auto write(Event, std::initializer_list<EventField> fields = {}) const -> void;
};

} // namespace Primrosefork
