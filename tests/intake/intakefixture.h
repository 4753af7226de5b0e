#pragma once

#include "process.h"
#include "scriptedserver.h"
#include "storestandin.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace Primrosefork::IntakeTest {

/**
 * A gateway node as a process of its own, with a store and a backend server in
 * the process of the test.
 *
 * The server answers the requests whose id begins with "ordinary" and leaves
 * all others open.
 */
class IntakeFixture {
public:
    /** Starts a node with \a memory bytes in its settings and at most \a descriptors open descriptors, and waits until it serves. */
    IntakeFixture(std::size_t memory, std::size_t descriptors);
    ~IntakeFixture();
    IntakeFixture(const IntakeFixture&) = delete;
    auto operator=(const IntakeFixture&) -> IntakeFixture& = delete;

    /** Runs the loop until \a done returns true, but not longer than \a limit; returns the last result of \a done. */
    auto runUntil(const std::function<bool()>& done, std::chrono::milliseconds limit) -> bool;

    /** Sends one request and returns the status of its answer; 0 without one. */
    auto statusOfRequest() -> int;

    /** Sends requests, one after the other, until one is answered with 200 or \a limit has passed; returns the last status. */
    auto statusOfRequests(std::chrono::milliseconds limit) -> int;

    [[nodiscard]] auto callers() const -> Address { return { this->ip, callersPort }; }
    [[nodiscard]] auto node() -> Testkit::Process& { return *this->process; }

    /** Returns the largest resident memory that the node has had, in bytes. */
    [[nodiscard]] auto peakBytes() const -> std::size_t;

private:
    static constexpr std::uint16_t callersPort = 18411;

    std::string ip; ///< Loopback address of this test alone.
    std::string folder;
    EventLoop loop;
    Testkit::StoreStandIn store;
    Testkit::ScriptedServer server;
    std::unique_ptr<Testkit::Process> process;
    int requests = 0;
};

} // namespace Primrosefork::IntakeTest
