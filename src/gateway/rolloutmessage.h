#pragma once

#include "rolloutreport.h"

#include <algorithm>
#include <cereal/cereal.hpp>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <string>
#include <vector>

namespace Primrosefork {

/**
 * Compact encoding of the parts of messages that are about roll-outs. Counts have
 * as many bytes as they need, and histograms only the buckets that hold something.
 */
namespace RolloutWire {

constexpr std::size_t maxTextBytes = 1'024; ///< Longest name of a service or version.
constexpr std::int64_t maxMilliseconds = 86'400'000; ///< A day, the bound of an order's times.
constexpr std::uint64_t shareUnits = 1'000'000; ///< Shares are in millionths.

template <typename Archive>
auto writeCount(Archive& archive, std::uint64_t value) -> void
{
    while (value >= 0x80U) {
        archive(static_cast<std::uint8_t>(0x80U | (value & 0x7fU)));
        value >>= 7U;
    }
    archive(static_cast<std::uint8_t>(value));
}

template <typename Archive>
auto readCount(Archive& archive) -> std::uint64_t
{
    std::uint64_t value = 0;
    for (unsigned shift = 0; shift < 64U; shift += 7U) {
        std::uint8_t byte = 0;
        archive(byte);
        value |= static_cast<std::uint64_t>(byte & 0x7fU) << shift;
        if (byte < 0x80U)
            return value;
    }
    throw cereal::Exception("a count is too long");
}

/** Serialises \a value, a count from 0 to \a maximum; what is above is brought into range. */
template <typename Archive, typename Value>
auto count(Archive& archive, Value& value, std::uint64_t maximum) -> void
{
    if constexpr (Archive::is_saving::value)
        writeCount(archive, std::min(static_cast<std::uint64_t>(value), maximum));
    else
        value = static_cast<Value>(std::min(readCount(archive), maximum));
}

template <typename Archive>
auto time(Archive& archive, std::chrono::milliseconds& value) -> void
{
    auto milliseconds = std::clamp<std::int64_t>(value.count(), 0, maxMilliseconds);
    count(archive, milliseconds, maxMilliseconds);
    value = std::chrono::milliseconds(milliseconds);
}

template <typename Archive>
auto text(Archive& archive, std::string& value) -> void
{
    auto size = std::min(value.size(), maxTextBytes);
    count(archive, size, maxTextBytes);
    value.resize(size);
    archive(cereal::binary_data(value.data(), value.size()));
}

template <typename Archive>
auto share(Archive& archive, double& value) -> void
{
    auto units = std::isnan(value) ? 0 : static_cast<std::uint64_t>(std::clamp(value, 0.0, 1.0) * static_cast<double>(shareUnits));
    count(archive, units, shareUnits);
    value = static_cast<double>(units) / static_cast<double>(shareUnits);
}

/** Serialises an enumerator; one above \a last is refused. */
template <typename Archive, typename Enumeration>
auto enumerator(Archive& archive, Enumeration& value, Enumeration last) -> void
{
    archive(value);
    if (Archive::is_loading::value && value > last)
        throw cereal::Exception("not an enumerator");
}

} // namespace RolloutWire

template <typename Archive>
auto serialize(Archive& archive, SideCounts& value) -> void
{
    constexpr std::uint64_t maxCount = 0xffff'ffffU;
    RolloutWire::count(archive, value.answers, maxCount);
    RolloutWire::count(archive, value.failures, maxCount);
    auto filled = static_cast<std::uint64_t>(std::count_if(value.times.begin(), value.times.end(), [](std::uint32_t count) { return count > 0; }));
    RolloutWire::count(archive, filled, timeBuckets);
    if constexpr (Archive::is_saving::value) {
        for (std::size_t bucket = 0; bucket < timeBuckets; ++bucket) {
            if (value.times[bucket] == 0)
                continue;
            RolloutWire::count(archive, bucket, timeBuckets - 1);
            RolloutWire::count(archive, value.times[bucket], maxCount);
        }
    } else {
        for (; filled > 0; --filled) {
            std::size_t bucket = 0;
            RolloutWire::count(archive, bucket, timeBuckets - 1);
            RolloutWire::count(archive, value.times[bucket], maxCount);
        }
    }
}

template <typename Archive>
auto serialize(Archive& archive, RouteCounts& value) -> void
{
    archive(value.route);
    RolloutWire::enumerator(archive, value.aspect, RolloutAspect::Pace);
    archive(value.earlier, value.next);
}

template <typename Archive>
auto serialize(Archive& archive, RolloutReport& value) -> void
{
    constexpr std::uint64_t anyCount = ~std::uint64_t { 0 };
    RolloutWire::text(archive, value.service);
    RolloutWire::text(archive, value.version);
    RolloutWire::count(archive, value.order, anyCount);
    RolloutWire::count(archive, value.step, 0xffff'ffffU);
    RolloutWire::enumerator(archive, value.phase, RolloutPhase::RolledBack);
    RolloutWire::share(archive, value.share);
    RolloutWire::time(archive, value.left);
    RolloutWire::count(archive, value.received, anyCount);
    RolloutWire::count(archive, value.sent, anyCount);
    RolloutWire::count(archive, value.openAtEarlier, anyCount);
    RolloutWire::time(archive, value.longestAnswer);
    archive(value.failedServers);
    auto routes = std::min(value.routes.size(), maxReportedRoutes);
    RolloutWire::count(archive, routes, maxReportedRoutes);
    value.routes.resize(routes);
    for (auto& entry : value.routes)
        archive(entry);
}

template <typename Archive>
auto serialize(Archive& archive, RolloutShare& value) -> void
{
    RolloutWire::text(archive, value.service);
    RolloutWire::text(archive, value.version);
    RolloutWire::count(archive, value.order, ~std::uint64_t { 0 });
    RolloutWire::count(archive, value.step, 0xffff'ffffU);
    RolloutWire::enumerator(archive, value.phase, RolloutPhase::RolledBack);
    RolloutWire::share(archive, value.share);
    RolloutWire::time(archive, value.left);
    RolloutWire::time(archive, value.drainTime);
}

} // namespace Primrosefork
