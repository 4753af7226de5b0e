#include "nodesettings.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <regex>
#include <set>
#include <sstream>

using namespace Primrosefork;

namespace {

using Json = nlohmann::json;

/** One row of the settings table in docs/SETTINGS.md. */
struct SettingRow {
    std::string path;
    std::string type;
    std::string range;
};

auto readText(const std::string& path) -> std::string
{
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

auto documentedSettings() -> std::vector<SettingRow>
{
    std::vector<SettingRow> rows;
    std::istringstream page(readText(SOURCE_FOLDER "/docs/SETTINGS.md"));
    const std::regex row(R"(^\| `(/[^`]+)` \| ([^|]*) \| ([^|]*)\|.*)");
    for (std::string line; std::getline(page, line);) {
        std::smatch match;
        if (!std::regex_match(line, match, row))
            continue;
        auto range = match[3].str();
        range.erase(range.find_last_not_of(' ') + 1);
        rows.push_back({ match[1].str(), match[2].str(), range });
    }
    return rows;
}

/** Returns the names of the settings that the source code reads. */
auto readFields() -> std::set<std::string>
{
    std::set<std::string> names;
    const auto code = readText(SOURCE_FOLDER "/src/libprimrosefork/nodesettings.cpp");
    const std::regex call(R"re((?:string|optionalString|boolean|integer|optionalInteger|number|duration|size|address|optionalAddress|strings)\("(\w+)")re");
    for (std::sregex_iterator match(code.begin(), code.end(), call), end; match != end; ++match)
        names.insert((*match)[1].str());
    return names;
}

auto lastPart(const std::string& path) -> std::string
{
    return path.substr(path.rfind('/') + 1);
}

/** Returns settings with only \a value, at \a path; '*' in the path is the first item of a list. */
auto settingsWith(const std::string& path, Json value) -> Json
{
    auto rest = path;
    while (!rest.empty()) {
        const auto part = lastPart(rest);
        rest.erase(rest.rfind('/'));
        value = part == "*" ? Json::array({ value }) : Json { { part, value } };
    }
    return value;
}

auto findingsAt(const std::string& path, const Json& value) -> std::vector<std::string>
{
    Findings findings;
    static_cast<void>(parseNodeSettings(settingsWith(path, value).dump(), findings));
    const auto place = std::regex_replace(path, std::regex(R"(\*)"), "0");
    std::vector<std::string> messages;
    for (const auto& finding : findings) {
        if (finding.place == place)
            messages.push_back(finding.message);
    }
    return messages;
}

TEST_CASE("the settings page lists exactly the settings that the code reads")
{
    std::set<std::string> documented;
    for (const auto& row : documentedSettings())
        documented.insert(lastPart(row.path));
    CHECK(documented == readFields());
}

TEST_CASE("each path on the settings page is a known setting that rejects a value of the wrong type")
{
    REQUIRE_FALSE(documentedSettings().empty());
    for (const auto& row : documentedSettings()) {
        CAPTURE(row.path);
        const auto messages = findingsAt(row.path, Json { { "colour", 1 } });
        REQUIRE_FALSE(messages.empty()); // Conflicts with other settings may add findings to the one on the type.
        CHECK(messages.front() != "unknown key");
        CHECK(messages.front() != "missing");
    }
}

TEST_CASE("each range on the settings page is the one that the code enforces")
{
    for (const auto& row : documentedSettings()) {
        CAPTURE(row.path);
        Json tooLarge;
        if (row.type == "duration")
            tooLarge = "9999h";
        else if (row.type == "size")
            tooLarge = "9999MiB";
        else if (row.type == "whole number")
            tooLarge = 9'999'999;
        else
            continue;
        const auto messages = findingsAt(row.path, tooLarge);
        CHECK(std::find(messages.begin(), messages.end(), "out of range, expected " + row.range) != messages.end());
    }
}

} // namespace
