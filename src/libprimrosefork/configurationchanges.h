#pragma once

#include "configurationchange.h"

#include <string>

namespace Primrosefork {

/** Makes a workspace service from a template. */
class CreateService : public ConfigurationChange {
public:
    CreateService(const ServiceKey&, std::string templateName, nlohmann::json parameters);

    [[nodiscard]] auto key() const -> std::string override { return this->recordKey; }
    [[nodiscard]] auto createsRecord() const -> bool override { return true; }
    [[nodiscard]] auto apply(const ConfigurationRecord*, Findings&) const -> ChangedContent override;

private:
    std::string recordKey;
    std::string templateName;
    nlohmann::json parameters;
};

/** Gives a workspace service other parameters. */
class ChangeParameters : public ConfigurationChange {
public:
    ChangeParameters(const ServiceKey&, nlohmann::json parameters);

    [[nodiscard]] auto key() const -> std::string override { return this->recordKey; }
    [[nodiscard]] auto createsRecord() const -> bool override { return false; }
    [[nodiscard]] auto apply(const ConfigurationRecord*, Findings&) const -> ChangedContent override;

private:
    std::string recordKey;
    nlohmann::json parameters;
};

/** Keeps new work of a workspace service from a backend server, or lets it come again. */
class DrainBackend : public ConfigurationChange {
public:
    DrainBackend(const ServiceKey&, std::string backendServer, bool isDrained);

    [[nodiscard]] auto key() const -> std::string override { return this->recordKey; }
    [[nodiscard]] auto createsRecord() const -> bool override { return false; }
    [[nodiscard]] auto apply(const ConfigurationRecord*, Findings&) const -> ChangedContent override;

private:
    std::string recordKey;
    std::string backendServer;
    bool isDrained;
};

/** Makes or replaces a template. */
class PutTemplate : public ConfigurationChange {
public:
    PutTemplate(const std::string& name, nlohmann::json content);

    [[nodiscard]] auto key() const -> std::string override { return this->recordKey; }
    [[nodiscard]] auto createsRecord() const -> bool override { return true; }
    [[nodiscard]] auto apply(const ConfigurationRecord*, Findings&) const -> ChangedContent override;

private:
    std::string recordKey;
    nlohmann::json content;
};

/** Makes or replaces a workspace. */
class PutWorkspace : public ConfigurationChange {
public:
    PutWorkspace(const std::string& name, nlohmann::json content);

    [[nodiscard]] auto key() const -> std::string override { return this->recordKey; }
    [[nodiscard]] auto createsRecord() const -> bool override { return true; }
    [[nodiscard]] auto apply(const ConfigurationRecord*, Findings&) const -> ChangedContent override;

private:
    std::string recordKey;
    nlohmann::json content;
};

/** Puts an earlier content of a record in force again, as a new revision. */
class RollForward : public ConfigurationChange {
public:
    RollForward(std::string key, Revision earlier);

    [[nodiscard]] auto key() const -> std::string override { return this->recordKey; }
    [[nodiscard]] auto createsRecord() const -> bool override { return true; }
    [[nodiscard]] auto apply(const ConfigurationRecord*, Findings&) const -> ChangedContent override;

private:
    std::string recordKey;
    Revision earlier;
};

/** Takes a record out of force; its history stays. */
class DeleteRecord : public ConfigurationChange {
public:
    explicit DeleteRecord(std::string key);

    [[nodiscard]] auto key() const -> std::string override { return this->recordKey; }
    [[nodiscard]] auto createsRecord() const -> bool override { return false; }
    [[nodiscard]] auto apply(const ConfigurationRecord*, Findings&) const -> ChangedContent override;

private:
    std::string recordKey;
};

} // namespace Primrosefork
