#include "jsonfile.h"

#include "output.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace Primrosefork {

auto readFile(const std::string& path) -> std::optional<std::string>
{
    std::ostringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    const std::ifstream file(path);
    if (!file)
        return std::nullopt;
    text << file.rdbuf();
    return text.str();
}

auto readJsonFile(const std::string& path) -> std::optional<nlohmann::json>
{
    const auto text = readFile(path);
    if (!text) {
        printError(path + ": cannot be read");
        return std::nullopt;
    }
    auto json = nlohmann::json::parse(*text, nullptr, false);
    if (json.is_discarded()) {
        printFindings(path, { { "", "not valid JSON" } });
        return std::nullopt;
    }
    return json;
}

} // namespace Primrosefork
