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

/** The kind of backend server that serves a route. */
enum class RouteKind {
    Model, ///< A model engine; answers may be streamed and resumed.
    Plain, ///< A plain service; the body of the call is forwarded unchanged.
};

/** Whether requests run short or long; long ones are limited so that they do not delay short ones. */
enum class WorkClass {
    Short,
    Long,
};

/**
 * One kind of call that a workspace service answers.
 */
struct Route {
    std::string path; ///< Path below the service, such as "chat" or "bookings/confirm".
    RouteKind kind = RouteKind::Model;
    bool isIdempotent = true;
    WorkClass workClass = WorkClass::Short;
    std::int64_t expectedTokens = 128; ///< Maximum number of tokens of a model answer when the request does not set one; routing and admission expect this many.
    std::chrono::milliseconds deadline { 60'000 }; ///< Time limit of a call when the caller sets none.
};

/**
 * A template from which operators create workspace services: its routes decide
 * which parameters a service has to set.
 */
struct ServiceTemplate {
    std::string name;
    std::vector<Route> routes;

    /** Returns the route with \a path, or null when the template has none. */
    [[nodiscard]] auto route(std::string_view path) const -> const Route*;
};

/** A model and the version of it that a service uses. */
struct ModelVersion {
    std::string model;
    std::string version;

    auto operator==(const ModelVersion&) const -> bool = default;
};

/**
 * The parameters of one workspace service.
 */
struct ServiceParameters {
    std::vector<ModelVersion> models; ///< Models of the service: the first one serves its requests, the others are to be kept loaded.
    std::vector<std::string> backendPools; ///< Names of the pools of backend servers that serve the service.
    std::int64_t priority = 5; ///< Priority of the requests: 0 is served last, 9 first.
    std::int64_t spendPerHour = 0; ///< Limit on the spending per hour, in millionths of the currency unit; 0 is no limit.
    std::int64_t weight = 1; ///< Share of the service relative to other services when capacity is short.
    std::int64_t tokensPerSecond = 0; ///< Admission limit in tokens per second; 0 is no limit.
    std::vector<std::string> drainedBackends; ///< Ids of backend servers that get no new work of the service.
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

/** Returns whether \a name may be used in a key of the store: it has to be 1 to 64 letters, digits, '-', '_' and '.'. */
[[nodiscard]] auto isValidName(std::string_view name) -> bool;

} // namespace Primrosefork
