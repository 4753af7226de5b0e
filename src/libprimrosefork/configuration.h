#pragma once

#include "servicetemplate.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace Primrosefork {

/** The number of a change to one configuration record; it only goes up. */
using Revision = std::uint64_t;

/**
 * One workspace service as an operator accepted it.
 */
struct ServiceRecord {
    std::string workspace;
    std::string name;
    std::string templateName;
    Revision revision = 0;
    std::string writeId; ///< Identifies the write, so that a lost reply can be told apart.
    ServiceParameters parameters;
};

/** Workspace and service name. */
using ServiceKey = std::pair<std::string, std::string>;

/**
 * The configuration that a node has in force.
 */
struct Configuration {
    std::map<std::string, Workspace> workspaces;
    std::map<std::string, ServiceTemplate> templates;
    std::map<ServiceKey, ServiceRecord> services;
    std::map<std::string, Revision> revisions; ///< Of every record, by its key in the store.
    std::map<std::string, std::shared_ptr<const std::string>> records; ///< The records in force as the store holds them, by key.
    Revision storeRevision = 0; ///< The newest revision of the store that was seen.

    /** Returns the workspace whose callers' key has the hash \a keyHash, or null. */
    [[nodiscard]] auto workspaceOfKey(const std::string& keyHash) const -> const Workspace*;

    /** Returns the revision of the record at \a key that is in force, 0 when there is none. */
    [[nodiscard]] auto revisionOf(const std::string& key) const -> Revision;

    /** Returns a digest of all records with their revisions; nodes with the same one have the same in force. */
    [[nodiscard]] auto digest() const -> std::string;

    /** Returns the service \a name of \a workspace, or null. */
    [[nodiscard]] auto service(const std::string& workspace, const std::string& name) const -> const ServiceRecord*;
};

} // namespace Primrosefork
