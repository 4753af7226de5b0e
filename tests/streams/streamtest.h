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

constexpr std::int64_t maxStallMilliseconds = 1500; ///< Longest accepted stall of a stream: the bound of a move, 1 s, and 500 ms for a busy machine.

/** Starts a caller that requests \a tokens tokens from \a nodes in turn; consecutive callers start at different nodes. */
auto addCaller(Callers&, Testkit::Cluster&, const std::vector<std::size_t>& nodes, std::int64_t tokens, bool dependsOnHistory = false) -> void;

[[nodiscard]] auto haveAllBegun(const Callers&) -> bool;
[[nodiscard]] auto haveAllReceived(const Callers&, std::int64_t tokens) -> bool;
[[nodiscard]] auto areAllComplete(const Callers&) -> bool;

/** Returns the number of streams running on engine \a engine. */
[[nodiscard]] auto runningStreams(Testkit::Cluster&, std::size_t engine) -> std::int64_t;

/** Returns the number of streams ever started on engine \a engine. */
[[nodiscard]] auto startedStreams(Testkit::Cluster&, std::size_t engine) -> std::int64_t;

/** Returns the value of the metric \a name of the first node. */
[[nodiscard]] auto metricValue(Testkit::Cluster&, const std::string& name) -> double;

/** Makes the cloud stand-in announce the reclaim of \a instances after \a remaining. */
auto announceReclaim(Testkit::Cluster&, const nlohmann::json& instances, std::chrono::milliseconds remaining) -> void;

/** Runs the event loop of the callers for \a time. */
auto runFor(Testkit::Cluster&, std::chrono::milliseconds time) -> void;

/** Checks that each caller received its complete answer without wrong, missing or repeated tokens. */
auto checkAnswers(const Callers&) -> void;

} // namespace Primrosefork::StreamTest
