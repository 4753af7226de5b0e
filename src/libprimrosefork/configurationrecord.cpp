#include "configurationrecord.h"

#include <algorithm>
#include <sstream>

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

auto applyWorkspace(Configuration& configuration, const std::string& name, const RecordVersion& version, Findings& findings) -> void
{
    if (version.isDeleted) {
        configuration.workspaces.erase(name);
        return;
    }
    auto workspace = parseWorkspace(version.content, name, findings);
    if (findings.empty())
        configuration.workspaces[name] = std::move(workspace);
}

auto isTemplateUsed(const Configuration& configuration, const std::string& name) -> bool
{
    return std::any_of(configuration.services.begin(), configuration.services.end(),
        [&name](const auto& service) { return service.second.templateName == name; });
}

/** Adds to \a findings why the services in force do not fit \a serviceTemplate, the new content of their template. */
auto checkServices(const Configuration& configuration, const ServiceTemplate& serviceTemplate, Findings& findings) -> void
{
    for (const auto& [key, service] : configuration.services) {
        if (service.templateName != serviceTemplate.name)
            continue;
        const auto stored = configuration.records.find(ConfigurationKeys::service(key.first, key.second));
        const auto record = stored == configuration.records.end() ? std::nullopt : parseRecord(*stored->second);
        Findings serviceFindings;
        if (record)
            static_cast<void>(parseServiceParameters(record->current.content, serviceTemplate, serviceFindings));
        for (const auto& finding : serviceFindings)
            findings.push_back({ "/services/" + key.first + "/" + key.second + finding.place, finding.message });
    }
}

auto applyTemplate(Configuration& configuration, const std::string& name, const RecordVersion& version, Findings& findings) -> void
{
    if (!version.isDeleted) {
        auto serviceTemplate = parseServiceTemplate(version.content, name, findings);
        if (findings.empty())
            checkServices(configuration, serviceTemplate, findings);
        if (findings.empty())
            configuration.templates[name] = std::move(serviceTemplate);
        return;
    }
    if (isTemplateUsed(configuration, name))
        findings.push_back({ "", "services use the template" });
    else
        configuration.templates.erase(name);
}

auto applyService(Configuration& configuration, const ServiceKey& key, const RecordVersion& version, Findings& findings) -> void
{
    if (version.isDeleted) {
        configuration.services.erase(key);
        return;
    }
    if (!isValidName(key.second))
        findings.push_back({ "", "the name of the service is not valid" });
    const auto found = configuration.templates.find(version.templateName);
    if (found == configuration.templates.end()) {
        findings.push_back({ "/template", "no template is called \"" + version.templateName + "\"" });
        return;
    }
    auto parameters = parseServiceParameters(version.content, found->second, findings);
    if (findings.empty())
        configuration.services[key] = { key.first, key.second, version.templateName, version.revision, version.writeId, std::move(parameters) };
}

auto readVersion(const Json& json) -> RecordVersion
{
    RecordVersion version;
    version.revision = json.at("revision").get<Revision>();
    version.writeId = json.value("write_id", "");
    version.author = json.value("author", "");
    version.time = std::chrono::system_clock::time_point(std::chrono::milliseconds(json.value("time_ms", std::int64_t { 0 })));
    version.templateName = json.value("template", "");
    version.isDeleted = json.value("deleted", false);
    version.content = json.at("content");
    return version;
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

auto ConfigurationRecord::findRevision(Revision revision) const -> const RecordVersion*
{
    if (this->current.revision == revision)
        return &this->current;
    const auto found = std::find_if(this->history.begin(), this->history.end(),
        [revision](const RecordVersion& version) { return version.revision == revision; });
    return found == this->history.end() ? nullptr : &*found;
}

auto ConfigurationRecord::findWrite(const std::string& writeId) const -> const RecordVersion*
{
    if (writeId.empty())
        return nullptr;
    if (this->current.writeId == writeId)
        return &this->current;
    const auto found = std::find_if(this->history.begin(), this->history.end(),
        [&writeId](const RecordVersion& version) { return version.writeId == writeId; });
    return found == this->history.end() ? nullptr : &*found;
}

auto parseRecord(std::string_view value) -> std::optional<ConfigurationRecord>
{
    const auto json = Json::parse(value, nullptr, false);
    if (!json.is_object() || !json.contains("revision") || !json["revision"].is_number_unsigned())
        return std::nullopt;
    try {
        ConfigurationRecord record { readVersion(json), {} };
        for (const auto& version : json.value("history", Json::array()))
            record.history.push_back(readVersion(version));
        return record;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

auto toJson(const RecordVersion& version) -> Json
{
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(version.time.time_since_epoch());
    Json json { { "revision", version.revision }, { "write_id", version.writeId }, { "author", version.author },
        { "time_ms", time.count() }, { "content", version.content } };
    if (!version.templateName.empty())
        json["template"] = version.templateName;
    if (version.isDeleted)
        json["deleted"] = true;
    return json;
}

auto formatRecord(const ConfigurationRecord& record) -> std::string
{
    auto json = toJson(record.current);
    json["history"] = Json::array();
    for (const auto& version : record.history)
        json["history"].push_back(toJson(version));
    return json.dump();
}

auto applyVersion(Configuration& configuration, const std::string& key, const RecordVersion& version, Findings& findings) -> void
{
    constexpr std::size_t namedKeyParts = 3;
    constexpr std::size_t serviceKeyParts = 4;
    const auto parts = splitKey(key);
    if (parts.size() == namedKeyParts && parts[1] == "workspaces")
        applyWorkspace(configuration, parts[2], version, findings);
    else if (parts.size() == namedKeyParts && parts[1] == "templates")
        applyTemplate(configuration, parts[2], version, findings);
    else if (parts.size() == serviceKeyParts && parts[1] == "services")
        applyService(configuration, { parts[2], parts[3] }, version, findings);
    else
        findings.push_back({ "", "not a key of the configuration" });
}

auto isOlderRecord(const Configuration& configuration, const std::string& key, std::string_view value) -> bool
{
    const auto record = parseRecord(value);
    return record && record->current.revision < configuration.revisionOf(key);
}

auto applyRecord(Configuration& configuration, const std::string& key, std::string_view value, Findings& findings) -> bool
{
    const auto record = parseRecord(value);
    if (!record) {
        findings.push_back({ "", "not a record with a revision and a content" });
        return false;
    }
    if (record->current.revision <= configuration.revisionOf(key))
        return true;

    Findings versionFindings;
    applyVersion(configuration, key, record->current, versionFindings);
    findings.insert(findings.end(), versionFindings.begin(), versionFindings.end());
    if (!versionFindings.empty())
        return false;
    configuration.revisions[key] = record->current.revision;
    configuration.records[key] = std::make_shared<const std::string>(value);
    return true;
}

} // namespace Primrosefork
