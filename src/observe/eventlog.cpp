#include "eventlog.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <nlohmann/json.hpp>

namespace Primrosefork {

namespace {

constexpr auto linePattern = "%m%n"; ///< Writes only the message, which is a complete JSON object.

auto levelOf(Severity severity) -> log4cxx::LevelPtr
{
    switch (severity) {
    case Severity::Debug:
        return log4cxx::Level::getDebug();
    case Severity::Info:
        return log4cxx::Level::getInfo();
    case Severity::Warning:
        return log4cxx::Level::getWarn();
    case Severity::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getError();
}

auto descriptionOf(Event event) -> const EventDescription&
{
    const auto all = eventDescriptions();
    return *std::find_if(all.begin(), all.end(), [event](const auto& entry) { return entry.event == event; });
}

/** Returns the time of day as ISO 8601 in UTC, with microseconds. */
auto timeOfDay() -> std::string
{
    using std::chrono::microseconds;
    const auto now = std::chrono::duration_cast<microseconds>(std::chrono::system_clock::now().time_since_epoch());
    const auto seconds = static_cast<std::time_t>(now.count() / microseconds::period::den);
    std::tm calendar {};
    gmtime_r(&seconds, &calendar);
    std::array<char, 40> text {};
    const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &calendar);
    std::snprintf(text.data() + length, text.size() - length, ".%06dZ", static_cast<int>(now.count() % microseconds::period::den));
    return text.data();
}

auto nameOf(Severity severity) -> const char*
{
    switch (severity) {
    case Severity::Debug:
        return "debug";
    case Severity::Info:
        return "info";
    case Severity::Warning:
        return "warn";
    case Severity::Error:
        return "error";
    }
    return "";
}

} // namespace

EventLog::EventLog(const std::string& level)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(linePattern);
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemOut());
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::toLevel(level));
}

auto EventLog::write(Event event, std::initializer_list<EventField> fields) const -> void
{
    const auto& description = descriptionOf(event);
    const auto logger = log4cxx::Logger::getRootLogger();
    const auto level = levelOf(description.severity);
    if (!logger->isEnabledFor(level))
        return;

    nlohmann::ordered_json line { { "time", timeOfDay() }, { "level", nameOf(description.severity) }, { "event", static_cast<int>(event) },
        { "name", description.name } };
    for (const auto& field : fields)
        line[std::string(field.name)] = field.value;
    logger->forcedLog(level, line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace Primrosefork
