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
 * Writes numbered events to standard error through log4cxx, one a line:
 * time, level, number, name and the fields as name="value".
 */
class EventLog {
public:
    /** Sets the log up for the process; \a level is "debug", "info", "warn" or "error". */
    explicit EventLog(const std::string& level);

    auto write(Event, std::initializer_list<EventField> fields = {}) const -> void;
};

} // namespace Primrosefork
