#include "events.h"

#include <doctest/doctest.h>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

using namespace Primrosefork;

namespace {

auto levelName(Severity severity) -> const char*
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

/** Returns the first three columns of each row of the event catalogue, joined as "number name level". */
auto catalogueRows() -> std::set<std::string>
{
    std::set<std::string> rows;
    std::ifstream file(SOURCE_FOLDER "/docs/EVENTS.md");
    const std::regex row(R"(^\| (\d+) \| (\w+) \| (\w+) \|.*)");
    for (std::string line; std::getline(file, line);) {
        std::smatch match;
        if (std::regex_match(line, match, row))
            rows.insert(match[1].str() + " " + match[2].str() + " " + match[3].str());
    }
    return rows;
}

TEST_CASE("the events in the code and in the catalogue have the same numbers, names and levels")
{
    std::set<std::string> rows;
    for (const auto& description : eventDescriptions())
        rows.insert(std::to_string(static_cast<int>(description.event)) + " " + description.name + " " + levelName(description.severity));
    CHECK(rows == catalogueRows());
}

} // namespace
