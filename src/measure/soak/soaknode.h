#pragma once

#include "address.h"
#include "process.h"
#include "promiseledger.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace Primrosefork::Measure {

/**
 * A node process that is stopped, killed and frozen, and started again.
 */
class SoakNode {
public:
    using Time = PromiseLedger::Time;

    /** Addresses of the systems that the node uses. */
    struct Systems {
        Address store;
        Address fleet;
    };

    SoakNode(PromiseLedger&, std::size_t index, const std::string& ip, const std::string& folder, const Systems&, const PromiseBounds&);

    auto start() -> void;

    /** Begins a planned stop; the node is started again \a pause after its process ended. */
    auto stop(Time now, Time pause) -> void;
    auto kill(Time now, Time pause) -> void;
    auto freeze(Time now) -> void;
    auto thaw(Time now) -> void;

    /** Changes settings that may change while the process runs. */
    auto reload() -> void;

    /** Notices the end of the process, and starts it again when it is time. */
    auto poll(Time now) -> void;

    /** Returns whether the balancer sends new connections to the node. */
    [[nodiscard]] auto takesConnections(Time now) const -> bool;

    /** Returns whether the process runs, and nothing is to be done to it. */
    [[nodiscard]] auto isUp() const -> bool { return this->phase == Phase::Up; }

    auto measure() -> void;

    [[nodiscard]] auto callers() const -> Address { return { this->ip, callersPort }; }
    [[nodiscard]] auto logFile() const -> const std::string& { return this->log; }

private:
    enum class Phase : std::uint8_t {
        Up,
        Stopping,
        Killed,
        Frozen,
        Away, ///< Ended, to be started again.
    };

    static constexpr std::uint16_t callersPort = 8080;

    auto writeSettings() const -> void;

    PromiseLedger& ledger;
    std::size_t index;
    std::string ip;
    std::string settingsFile;
    std::string log;
    nlohmann::json settings;
    std::unique_ptr<Testkit::Process> process;
    Phase phase = Phase::Away;
    Time phaseSince { 0 };
    Time pause { 0 }; ///< Time between the end of the process and its next start.
};

} // namespace Primrosefork::Measure
