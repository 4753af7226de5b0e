#pragma once

#include "configurationchange.h"

#include <string>

namespace Primrosefork {

/** Creates a workspace service from a template. */
class CreateService : public ConfigurationChange {
public:
    CreateService(const ServiceKey&, std::string templateName, nlohmann::json parameters);

    [[nodiscard]] auto key() const -> std::string override { return this->recordKey; }
    [[nodiscard]] auto isAllowedWithoutRecord() const -> bool override { return true; }
    [[nodiscard]] auto apply(const ConfigurationRecord*, Findings&) const -> ChangedContent override;

private:
    std::string recordKey;
    std::string templateName;
    nlohmann::json parameters;
};

/** Replaces the parameters of a workspace service. */
class ChangeParameters : public ConfigurationChange {
public:
    ChangeParameters(const ServiceKey&, nlohmann::json parameters);

    [[nodiscard]] auto key() const -> std::string override { return this->recordKey; }
    [[nodiscard]] auto isAllowedWithoutRecord() const -> bool override { return false; }
    [[nodiscard]] auto apply(const ConfigurationRecord*, Findings&) const -> ChangedContent override;

private:
    std::string recordKey;
    nlohmann::json parameters;
};

/** Excludes a backend server from new work of a workspace service, or ends the exclusion. */
class DrainBackend : public ConfigurationChange {
public:
    DrainBackend(const ServiceKey&, std::string backendServer, bool isDrained);

    [[nodiscard]] auto key() const -> std::string override { return this->recordKey; }
    [[nodiscard]] auto isAllowedWithoutRecord() const -> bool override { return false; }
    [[nodiscard]] auto apply(const ConfigurationRecord*, Findings&) const -> ChangedContent override;

private:
    std::string recordKey;
    std::string backendServer;
    bool isDrained;
};

/** Creates or replaces a template. */
class PutTemplate : public ConfigurationChange {
public:
    PutTemplate(const std::string& name, nlohmann::json content);

    [[nodiscard]] auto key() const -> std::string override { return this->recordKey; }
    [[nodiscard]] auto isAllowedWithoutRecord() const -> bool override { return true; }
    [[nodiscard]] auto apply(const ConfigurationRecord*, Findings&) const -> ChangedContent override;

private:
    std::string recordKey;
    nlohmann::json content;
};

/** Creates or replaces a workspace. */
class PutWorkspace : public ConfigurationChange {
public:
    PutWorkspace(const std::string& name, nlohmann::json content);

    [[nodiscard]] auto key() const -> std::string override { return this->recordKey; }
    [[nodiscard]] auto isAllowedWithoutRecord() const -> bool override { return true; }
    [[nodiscard]] auto apply(const ConfigurationRecord*, Findings&) const -> ChangedContent override;

private:
    std::string recordKey;
    nlohmann::json content;
};

/** Restores an earlier version of a record as a new revision. */
class RollForward : public ConfigurationChange {
public:
    RollForward(std::string key, Revision targetRevision);

    [[nodiscard]] auto key() const -> std::string override { return this->recordKey; }
    [[nodiscard]] auto isAllowedWithoutRecord() const -> bool override { return true; }
    [[nodiscard]] auto apply(const ConfigurationRecord*, Findings&) const -> ChangedContent override;

private:
    std::string recordKey;
    Revision targetRevision;
};

/** Marks a record as deleted, so that it is no longer in force; its history is kept. */
class DeleteRecord : public ConfigurationChange {
public:
    explicit DeleteRecord(std::string key);

    [[nodiscard]] auto key() const -> std::string override { return this->recordKey; }
    [[nodiscard]] auto isAllowedWithoutRecord() const -> bool override { return false; }
    [[nodiscard]] auto apply(const ConfigurationRecord*, Findings&) const -> ChangedContent override;

private:
    std::string recordKey;
};

} // namespace Primrosefork
