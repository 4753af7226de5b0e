#include "configurationchanges.h"

#include <algorithm>
#include <utility>

namespace Primrosefork {

namespace {

using Json = nlohmann::json;

auto keyOf(const ServiceKey& service) -> std::string
{
    return ConfigurationKeys::service(service.first, service.second);
}

auto templateOf(const ConfigurationRecord* record) -> std::string
{
    return record ? record->current.templateName : "";
}

auto contentOf(const ConfigurationRecord* record) -> Json
{
    return record ? record->current.content : Json::object();
}

} // namespace

CreateService::CreateService(const ServiceKey& service, std::string templateName, Json parameters)
    : recordKey(keyOf(service))
    , templateName(std::move(templateName))
    , parameters(std::move(parameters))
{
}

auto CreateService::apply(const ConfigurationRecord* /*record*/, Findings& /*findings*/) const -> ChangedContent
{
    return { this->templateName, false, this->parameters };
}

ChangeParameters::ChangeParameters(const ServiceKey& service, Json parameters)
    : recordKey(keyOf(service))
    , parameters(std::move(parameters))
{
}

auto ChangeParameters::apply(const ConfigurationRecord* record, Findings& /*findings*/) const -> ChangedContent
{
    return { templateOf(record), false, this->parameters };
}

DrainBackend::DrainBackend(const ServiceKey& service, std::string backendServer, bool isDrained)
    : recordKey(keyOf(service))
    , backendServer(std::move(backendServer))
    , isDrained(isDrained)
{
}

auto DrainBackend::apply(const ConfigurationRecord* record, Findings& findings) const -> ChangedContent
{
    if (!isValidName(this->backendServer))
        findings.push_back({ "/backend_server", "not a valid id" });
    auto content = contentOf(record);
    auto drained = content.value("drained_backends", std::vector<std::string> {});
    std::erase(drained, this->backendServer);
    if (this->isDrained)
        drained.push_back(this->backendServer);
    content["drained_backends"] = drained;
    return { templateOf(record), false, std::move(content) };
}

PutTemplate::PutTemplate(const std::string& name, Json content)
    : recordKey(ConfigurationKeys::serviceTemplate(name))
    , content(std::move(content))
{
}

auto PutTemplate::apply(const ConfigurationRecord* /*record*/, Findings& /*findings*/) const -> ChangedContent
{
    return { "", false, this->content };
}

PutWorkspace::PutWorkspace(const std::string& name, Json content)
    : recordKey(ConfigurationKeys::workspace(name))
    , content(std::move(content))
{
}

auto PutWorkspace::apply(const ConfigurationRecord* /*record*/, Findings& /*findings*/) const -> ChangedContent
{
    return { "", false, this->content };
}

RollForward::RollForward(std::string key, Revision targetRevision)
    : recordKey(std::move(key))
    , targetRevision(targetRevision)
{
}

auto RollForward::apply(const ConfigurationRecord* record, Findings& findings) const -> ChangedContent
{
    const auto* version = record ? record->findRevision(this->targetRevision) : nullptr;
    if (!version) {
        findings.push_back({ "/to_revision", "the history has no such revision" });
        return { templateOf(record), false, contentOf(record) };
    }
    return { version->templateName, version->isDeleted, version->content };
}

DeleteRecord::DeleteRecord(std::string key)
    : recordKey(std::move(key))
{
}

auto DeleteRecord::apply(const ConfigurationRecord* record, Findings& /*findings*/) const -> ChangedContent
{
    return { templateOf(record), true, contentOf(record) };
}

} // namespace Primrosefork
