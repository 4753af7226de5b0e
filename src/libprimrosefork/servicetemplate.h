#pragma once

#include "finding.h"

#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Primrosefork {

/** What serves a route. */
enum class RouteKind {
    Model, ///< A model engine; answers may be streamed and resumed.
    Plain, ///< A plain service; the call is passed on as it is.
};

/** Whether work runs long enough to be kept from standing before other work. */
enum class WorkClass {
    Short,
    Long,
};

/**
 * One kind of call that a workspace service answers.
 */
struct Route {
    std::string path; ///< Below the service, "chat" or "bookings/confirm".
    RouteKind kind = RouteKind::Model;
    bool isIdempotent = true;
    WorkClass workClass = WorkClass::Short;
    std::int64_t expectedTokens = 128; ///< Of a model answer, until the route's own history says better.
    std::chrono::milliseconds deadline { 60'000 }; ///< When the caller names none.
};

/**
 * What an operator creates workspace services from: the routes, and which
 * parameters a service has to fill in.
 */
struct ServiceTemplate {
    std::string name;
    std::vector<Route> routes;

    /** Returns the route of \a path, or null when the template has none. */
    [[nodiscard]] auto route(std::string_view path) const -> const Route*;
};

/** A model and the version of it that a service uses. */
struct ModelVersion {
    std::string model;
    std::string version;

    auto operator==(const ModelVersion&) const -> bool = default;
};

/**
 * The parameters that one workspace service fills its template with.
 */
struct ServiceParameters {
    std::vector<ModelVersion> models; ///< The first one serves; the others are kept loaded.
    std::vector<std::string> backendPools; ///< Pools of backend servers in the instance list.
    std::int64_t priority = 5; ///< 0 is served last, 9 first.
    std::int64_t spendPerHour = 0; ///< In millionths of the currency unit; 0 is no limit.
    std::int64_t weight = 1; ///< Share against other services when there is not enough for all.
    std::int64_t tokensPerSecond = 0; ///< Admission limit; 0 is no limit.
    std::vector<std::string> drainedBackends; ///< Ids of backend servers that get no new work.
};

/**
 * A workspace: its callers' credential and its share of the system.
 */
struct Workspace {
    std::string name;
    std::string keyHash; ///< Lower-case hexadecimal SHA-256 of the callers' key.
    std::int64_t weight = 1;
};

/** Reads a template from \a json and adds what is wrong with it to \a findings. */
[[nodiscard]] auto parseServiceTemplate(const nlohmann::json& json, const std::string& name, Findings& findings) -> ServiceTemplate;

/** Reads parameters from \a json and adds what is wrong with them to \a findings. */
[[nodiscard]] auto parseServiceParameters(const nlohmann::json& json, const ServiceTemplate&, Findings& findings) -> ServiceParameters;

/** Reads a workspace from \a json and adds what is wrong with it to \a findings. */
[[nodiscard]] auto parseWorkspace(const nlohmann::json& json, const std::string& name, Findings& findings) -> Workspace;

/** Returns whether \a name may be used in a key of the store: letters, digits, '-', '_' and '.', 1 to 64 of them. */
[[nodiscard]] auto isValidName(std::string_view name) -> bool;

} // namespace Primrosefork
