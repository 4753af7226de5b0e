#pragma once

namespace Primrosefork {

/** Measures routing decisions with and without shared load, and the bytes that sharing it takes; returns the number of targets that hold, of sharedLoadTargets. */
auto measureSharedLoad() -> int;

constexpr int sharedLoadTargets = 2;

} // namespace Primrosefork
