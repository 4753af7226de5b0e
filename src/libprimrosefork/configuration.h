#pragma once

#include "servicetemplate.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace Primrosefork {

/** Revision number of a configuration record; each change increases it. */
using Revision = std::uint64_t;

/**
 * The record of one workspace service that is in force.
 */
struct ServiceRecord {
    std::string workspace;
    std::string name;
    std::string templateName;
    Revision revision = 0;
    std::string writeId; ///< Id of the write; shows whether a write whose reply was lost took effect.
    ServiceParameters parameters;
};

/** Name of the workspace and name of the service. */
using ServiceKey = std::pair<std::string, std::string>;

/**
 * The configuration that a node has in force.
 */
struct Configuration {
    std::map<std::string, Workspace> workspaces;
    std::map<std::string, ServiceTemplate> templates;
    std::map<ServiceKey, ServiceRecord> services;
    std::map<std::string, Revision> revisions; ///< Revision of every applied record, also of deleted ones, by its key in the store.
    std::map<std::string, std::shared_ptr<const std::string>> records; ///< The applied records as stored, by their key in the store.
    Revision storeRevision = 0; ///< Highest store revision among the records received from the store and from peers.

    /** Returns the workspace whose callers' key has the hash \a keyHash, or null when there is none. */
    [[nodiscard]] auto workspaceByKeyHash(const std::string& keyHash) const -> const Workspace*;

    /** Returns the revision of the record in force at the store key \a key, or 0 when there is none. */
    [[nodiscard]] auto revisionOf(const std::string& key) const -> Revision;

    /** Returns a digest of the keys and revisions of all records; nodes with equal digests have the same records in force. */
    [[nodiscard]] auto digest() const -> std::string;

    /** Returns the service \a name of \a workspace, or null when there is none. */
    [[nodiscard]] auto service(const std::string& workspace, const std::string& name) const -> const ServiceRecord*;
};

} // namespace Primrosefork
