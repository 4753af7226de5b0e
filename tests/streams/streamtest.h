#pragma once

#include "cluster.h"
#include "streamcaller.h"

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Primrosefork::StreamTest {

using Callers = std::vector<std::unique_ptr<Testkit::StreamCaller>>;

constexpr std::int64_t maxStall = 1500; ///< Milliseconds: the bound of a move, and half a second for a busy machine.

/** Starts a caller of \a tokens tokens that asks \a nodes in turn, not all callers the same one first. */
auto addCaller(Callers&, Testkit::Cluster&, const std::vector<std::size_t>& nodes, std::int64_t tokens, bool dependsOnHistory = false) -> void;

[[nodiscard]] auto haveAllBegun(const Callers&) -> bool;
[[nodiscard]] auto haveAllReceived(const Callers&, std::int64_t tokens) -> bool;
[[nodiscard]] auto areAllWhole(const Callers&) -> bool;

/** Returns how many streams run on engine \a engine. */
[[nodiscard]] auto runningOn(Testkit::Cluster&, std::size_t engine) -> std::int64_t;

/** Returns how many streams engine \a engine was ever given. */
[[nodiscard]] auto startedOn(Testkit::Cluster&, std::size_t engine) -> std::int64_t;

/** Returns the metric \a name of the first node. */
[[nodiscard]] auto metric(Testkit::Cluster&, const std::string& name) -> double;

/** Has the cloud announce that \a instances are gone after \a remaining. */
auto notice(Testkit::Cluster&, const nlohmann::json& instances, std::chrono::milliseconds remaining) -> void;

/** Serves the callers for \a time. */
auto runFor(Testkit::Cluster&, std::chrono::milliseconds time) -> void;

/** Checks that each caller has every byte of its answer, each once. */
auto checkRight(const Callers&) -> void;

} // namespace Primrosefork::StreamTest
