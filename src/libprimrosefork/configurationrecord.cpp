#include "configurationrecord.h"

#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

namespace Primrosefork {

namespace {

using Json = nlohmann::json;

auto splitKey(const std::string& key) -> std::vector<std::string>
{
    std::vector<std::string> parts;
    std::istringstream text(key);
    for (std::string part; std::getline(text, part, '/');)
        parts.push_back(part);
    return parts;
}

auto applyWorkspace(Configuration& configuration, const std::string& name, const Json& content, Findings& findings) -> void
{
    auto workspace = parseWorkspace(content, name, findings);
    if (findings.empty())
        configuration.workspaces[name] = std::move(workspace);
}

auto applyTemplate(Configuration& configuration, const std::string& name, const Json& content, Findings& findings) -> void
{
    auto serviceTemplate = parseServiceTemplate(content, name, findings);
    if (findings.empty())
        configuration.templates[name] = std::move(serviceTemplate);
}

auto applyService(Configuration& configuration, const ServiceKey& key, const Json& record, Findings& findings) -> void
{
    const auto templateName = record.value("template", "");
    const auto found = configuration.templates.find(templateName);
    if (found == configuration.templates.end()) {
        findings.push_back({ "/template", "no template is called \"" + templateName + "\"" });
        return;
    }
    auto parameters = parseServiceParameters(record.at("content"), found->second, findings);
    if (!findings.empty())
        return;
    configuration.services[key] = { key.first, key.second, templateName, record.at("revision").get<Revision>(),
        record.value("write_id", ""), std::move(parameters) };
}

auto applyContent(Configuration& configuration, const std::string& key, const Json& record, Findings& findings) -> void
{
    constexpr std::size_t namedParts = 3;
    constexpr std::size_t serviceParts = 4;
    const auto parts = splitKey(key);
    if (parts.size() == namedParts && parts[1] == "workspaces")
        applyWorkspace(configuration, parts[2], record.at("content"), findings);
    else if (parts.size() == namedParts && parts[1] == "templates")
        applyTemplate(configuration, parts[2], record.at("content"), findings);
    else if (parts.size() == serviceParts && parts[1] == "services")
        applyService(configuration, { parts[2], parts[3] }, record, findings);
    else
        findings.push_back({ "", "not a key of the configuration" });
}

} // namespace

namespace ConfigurationKeys {

auto workspace(const std::string& name) -> std::string
{
    return "config/workspaces/" + name;
}

auto serviceTemplate(const std::string& name) -> std::string
{
    return "config/templates/" + name;
}

auto service(const std::string& workspace, const std::string& name) -> std::string
{
    return "config/services/" + workspace + "/" + name;
}

} // namespace ConfigurationKeys

auto applyRecord(Configuration& configuration, const std::string& key, std::string_view value, Findings& findings) -> bool
{
    const auto record = Json::parse(value, nullptr, false);
    if (!record.is_object() || !record.contains("revision") || !record["revision"].is_number_unsigned() || !record.contains("content")) {
        findings.push_back({ "", "not a record with a revision and a content" });
        return false;
    }
    const auto revision = record["revision"].get<Revision>();
    if (revision <= configuration.revisions[key])
        return true;

    Findings own;
    applyContent(configuration, key, record, own);
    findings.insert(findings.end(), own.begin(), own.end());
    if (!own.empty())
        return false;
    configuration.revisions[key] = revision;
    return true;
}

} // namespace Primrosefork
