#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Primrosefork::Testkit {

/**
 * A child process of a test or measurement. The destructor kills it.
 */
class Process {
public:
    /** Starts \a program with \a arguments; its standard output and error are appended to the file \a log. */
    Process(const std::string& program, const std::vector<std::string>& arguments, std::string log);
    ~Process();
    Process(const Process&) = delete;
    auto operator=(const Process&) -> Process& = delete;

    auto sendSignal(int signalNumber) -> void;

    /** Returns the exit code (128 + signal when a signal ended the process), or nothing when it was not started or still runs after \a limit. */
    auto waitForExit(std::chrono::milliseconds limit) -> std::optional<int>;

    [[nodiscard]] auto isRunning() -> bool;
    [[nodiscard]] auto pid() const -> pid_t { return this->processId; }

    /** Returns the contents of the log file. */
    [[nodiscard]] auto output() const -> std::string;

    /** Returns the processor time that the process has used, user and system together. */
    [[nodiscard]] auto processorTime() const -> std::chrono::milliseconds;

    /** Returns the resident memory of the process in bytes. */
    [[nodiscard]] auto residentBytes() const -> std::size_t;

    /** Returns the number of open descriptors of the process. */
    [[nodiscard]] auto descriptorCount() const -> std::size_t;

    /** Returns the number of threads of the process. */
    [[nodiscard]] auto threadCount() const -> std::size_t;

private:
    auto reap(int options) -> void;

    std::string logFile;
    pid_t processId = -1;
    std::optional<int> exitCode;
};

/** The outcome of runProgram(). */
struct ProgramResult {
    int exitCode = -1; ///< 128 + signal when a signal ended the program; -1 when it was not started or was killed at the limit.
    std::string output; ///< Standard output and error together.
};

/** Runs \a program with \a arguments and waits until it exits; kills it after \a limit. */
[[nodiscard]] auto runProgram(const std::string& program, const std::vector<std::string>& arguments, std::chrono::milliseconds limit)
    -> ProgramResult;

} // namespace Primrosefork::Testkit
