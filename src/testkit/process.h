#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Primrosefork::Testkit {

/**
 * A process that a test or measurement started; it is killed with this object.
 */
class Process {
public:
    /** Starts \a program with \a arguments; its standard output and error go to the file \a log. */
    Process(const std::string& program, const std::vector<std::string>& arguments, std::string log);
    ~Process();
    Process(const Process&) = delete;
    auto operator=(const Process&) -> Process& = delete;

    auto sendSignal(int signalNumber) -> void;

    /** Returns the exit code (128 + signal when it was killed), or nothing when it still runs after \a limit. */
    auto waitForExit(std::chrono::milliseconds limit) -> std::optional<int>;

    [[nodiscard]] auto isRunning() -> bool;
    [[nodiscard]] auto pid() const -> pid_t { return this->processId; }

    /** Returns what it has written so far. */
    [[nodiscard]] auto output() const -> std::string;

    /** Returns the processor time that it has used. */
    [[nodiscard]] auto processorTime() const -> std::chrono::milliseconds;

    /** Returns its resident memory in bytes. */
    [[nodiscard]] auto residentBytes() const -> std::size_t;

private:
    auto reap(int options) -> void;

    std::string logFile;
    pid_t processId = -1;
    std::optional<int> exitCode;
};

/** What a program that ran to its end left. */
struct ProgramResult {
    int exitCode = -1;
    std::string output; ///< Standard output and error together.
};

/** Runs \a program to its end, or kills it after \a limit. */
[[nodiscard]] auto runProgram(const std::string& program, const std::vector<std::string>& arguments, std::chrono::milliseconds limit)
    -> ProgramResult;

} // namespace Primrosefork::Testkit
