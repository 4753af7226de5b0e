#include "eventlog.h"

#include <algorithm>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace Primrosefork {

namespace {

constexpr auto linePattern = "%d{ISO8601} %-5p %m%n";

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

auto appendQuoted(std::string& line, const std::string& value) -> void
{
    line += '"';
    for (const auto character : value) {
        if (character == '"' || character == '\\')
            line += '\\';
        line += character < ' ' && character >= 0 ? ' ' : character;
    }
    line += '"';
}

} // namespace

EventLog::EventLog(const std::string& level)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(linePattern);
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
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

    auto line = std::to_string(static_cast<int>(event)) + " " + description.name;
    for (const auto& field : fields) {
        line += ' ';
        line += field.name;
        line += '=';
        appendQuoted(line, field.value);
    }
    logger->forcedLog(level, line);
}

} // namespace Primrosefork
