#include "configurationchange.h"

#include "units.h"

#include <utility>

namespace Primrosefork {

namespace {

constexpr std::size_t maxContentBytes = 256 * kibibyte;
constexpr std::size_t maxRecordBytes = 768 * kibibyte; ///< Below the size limit of a value in the store, which is one megabyte.

auto revisionInForce(const std::optional<ConfigurationRecord>& record) -> Revision
{
    return record && !record->current.isDeleted ? record->current.revision : 0;
}

auto isAtBase(const std::optional<ConfigurationRecord>& record, Revision base) -> bool
{
    return base == revisionInForce(record) || (record && base == record->current.revision);
}

auto checkWorkspaceOfService(const Configuration& next, const std::string& key, Findings& findings) -> void
{
    for (const auto& [serviceKey, service] : next.services) {
        if (ConfigurationKeys::service(serviceKey.first, serviceKey.second) == key && !next.workspaces.contains(serviceKey.first))
            findings.push_back({ "/workspace", "no workspace is called \"" + serviceKey.first + "\"" });
    }
}

auto checkKeyOfWorkspace(const Configuration& next, const std::string& key, Findings& findings) -> void
{
    for (const auto& [name, workspace] : next.workspaces) {
        if (ConfigurationKeys::workspace(name) != key)
            continue;
        for (const auto& [otherName, other] : next.workspaces) {
            if (otherName != name && other.keyHash == workspace.keyHash)
                findings.push_back({ "/key_sha256", "the workspace \"" + otherName + "\" has the same key" });
        }
    }
}

auto checkServicesOfWorkspace(const Configuration& next, const std::string& key, Findings& findings) -> void
{
    for (const auto& [serviceKey, service] : next.services) {
        if (ConfigurationKeys::workspace(serviceKey.first) == key && !next.workspaces.contains(serviceKey.first))
            findings.push_back({ "", "the workspace has the service \"" + serviceKey.second + "\"" });
    }
}

auto checkResult(const Configuration& configuration, const std::string& key, const RecordVersion& version, Findings& findings) -> void
{
    if (version.content.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace).size() > maxContentBytes)
        findings.push_back({ "", "larger than 256 KiB" });
    auto next = configuration;
    applyVersion(next, key, version, findings);
    if (!findings.empty())
        return;
    checkReferences(next, key, findings);
}

auto makeRecord(const std::optional<ConfigurationRecord>& record, const RecordVersion& version) -> ConfigurationRecord
{
    ConfigurationRecord next { version, {} };
    if (record) {
        next.history.push_back(record->current);
        next.history.insert(next.history.end(), record->history.begin(), record->history.end());
    }
    if (next.history.size() > maxHistoryVersions)
        next.history.resize(maxHistoryVersions);
    while (!next.history.empty() && formatRecord(next).size() > maxRecordBytes)
        next.history.pop_back();
    return next;
}

auto makeVersion(const std::optional<ConfigurationRecord>& record, const ChangeOrigin& origin, ChangedContent changed) -> RecordVersion
{
    const auto previousRevision = record ? record->current.revision : 0;
    return { previousRevision + 1, origin.writeId, origin.author, origin.time, std::move(changed.templateName), changed.isDeleted, std::move(changed.content) };
}

} // namespace

auto checkReferences(const Configuration& configuration, const std::string& key, Findings& findings) -> void
{
    checkWorkspaceOfService(configuration, key, findings);
    checkKeyOfWorkspace(configuration, key, findings);
    checkServicesOfWorkspace(configuration, key, findings);
}

auto undoLastVersion(const ConfigurationRecord& record, const std::string& writeId) -> ConfigurationRecord
{
    ConfigurationRecord undone { record.history.empty() ? record.current : record.history.front(), record.history };
    undone.current.isDeleted = record.history.empty() || undone.current.isDeleted;
    undone.current.revision = record.current.revision + 1;
    undone.current.writeId = writeId;
    undone.current.author = record.current.author;
    undone.current.time = record.current.time;
    return undone;
}

auto prepareChange(const ConfigurationChange& change, const ChangeOrigin& origin,
    const std::optional<ConfigurationRecord>& record, const Configuration& configuration) -> PreparedChange
{
    PreparedChange prepared;
    if (record)
        prepared.record = *record;
    if (const auto* written = record ? record->findWrite(origin.writeId) : nullptr) {
        prepared.verdict = ChangeVerdict::AlreadyAccepted;
        prepared.version = *written;
        return prepared;
    }
    if (revisionInForce(record) == 0 && !change.isAllowedWithoutRecord()) {
        prepared.verdict = ChangeVerdict::NotFound;
        return prepared;
    }
    prepared.version = makeVersion(record, origin, change.apply(record ? &*record : nullptr, prepared.findings));
    if (!isAtBase(record, origin.base)) {
        prepared.verdict = ChangeVerdict::Conflict;
        prepared.findings.clear();
        return prepared;
    }
    if (prepared.findings.empty())
        checkResult(configuration, change.key(), prepared.version, prepared.findings);
    if (!prepared.findings.empty())
        return prepared;
    prepared.verdict = ChangeVerdict::Ready;
    prepared.record = makeRecord(record, prepared.version);
    return prepared;
}

} // namespace Primrosefork
