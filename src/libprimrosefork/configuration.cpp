#include "configuration.h"

#include "hash.h"

namespace Primrosefork {

auto Configuration::workspaceByKeyHash(const std::string& keyHash) const -> const Workspace*
{
    for (const auto& [name, workspace] : this->workspaces) {
        if (workspace.keyHash == keyHash)
            return &workspace;
    }
    return nullptr;
}

auto Configuration::revisionOf(const std::string& key) const -> Revision
{
    const auto found = this->revisions.find(key);
    return found == this->revisions.end() ? 0 : found->second;
}

auto Configuration::digest() const -> std::string
{
    constexpr std::size_t digits = 16;
    std::string text;
    for (const auto& [key, revision] : this->revisions)
        text += key + "=" + std::to_string(revision) + "\n";
    return sha256Hex(text).substr(0, digits);
}

auto Configuration::service(const std::string& workspace, const std::string& name) const -> const ServiceRecord*
{
    const auto found = this->services.find({ workspace, name });
    return found == this->services.end() ? nullptr : &found->second;
}

} // namespace Primrosefork
