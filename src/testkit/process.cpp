#include "process.h"

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

extern char** environ;

using namespace std::chrono_literals;

namespace Primrosefork::Testkit {

namespace {

constexpr auto pollPeriod = 5ms;
constexpr int signalExitBase = 128;

auto spawn(const std::string& program, const std::vector<std::string>& arguments, const std::string& log) -> pid_t
{
    std::vector<char*> pointers { const_cast<char*>(program.c_str()) };
    for (const auto& argument : arguments)
        pointers.push_back(const_cast<char*>(argument.c_str()));
    pointers.push_back(nullptr);

    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, S_IRUSR | S_IWUSR);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    pid_t pid = -1;
    if (posix_spawn(&pid, program.c_str(), &actions, nullptr, pointers.data(), environ) != 0)
        pid = -1;
    posix_spawn_file_actions_destroy(&actions);
    return pid;
}

auto readFile(const std::string& path) -> std::string
{
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

auto entryCount(const std::string& folder) -> std::size_t
{
    std::error_code error;
    std::size_t count = 0;
    for (std::filesystem::directory_iterator entry(folder, error); !error && entry != std::filesystem::directory_iterator(); entry.increment(error))
        ++count;
    return count;
}

} // namespace

Process::Process(const std::string& program, const std::vector<std::string>& arguments, std::string log)
    : logFile(std::move(log))
    , processId(spawn(program, arguments, this->logFile))
{
}

Process::~Process()
{
    if (!this->isRunning())
        return;
    kill(this->processId, SIGCONT);
    kill(this->processId, SIGKILL);
    this->reap(0);
}

auto Process::sendSignal(int signalNumber) -> void
{
    if (this->isRunning())
        kill(this->processId, signalNumber);
}

auto Process::waitForExit(std::chrono::milliseconds limit) -> std::optional<int>
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (this->isRunning() && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(pollPeriod);
    return this->exitCode;
}

auto Process::isRunning() -> bool
{
    if (this->processId < 0)
        return false;
    if (!this->exitCode)
        this->reap(WNOHANG);
    return !this->exitCode;
}

auto Process::reap(int options) -> void
{
    int status = 0;
    if (waitpid(this->processId, &status, options) != this->processId)
        return;
    this->exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : signalExitBase + WTERMSIG(status);
}

auto Process::output() const -> std::string
{
    return readFile(this->logFile);
}

auto Process::processorTime() const -> std::chrono::milliseconds
{
    constexpr int fieldsBeforeUserTime = 11; ///< Fields of /proc/PID/stat between the program name in parentheses and utime.
    const auto stat = readFile("/proc/" + std::to_string(this->processId) + "/stat");
    std::istringstream fields(stat.substr(std::min(stat.rfind(')') + 2, stat.size())));
    std::string skipped;
    for (int index = 0; index < fieldsBeforeUserTime; ++index)
        fields >> skipped;
    std::int64_t user = 0;
    std::int64_t system = 0;
    fields >> user >> system;
    return std::chrono::milliseconds((user + system) * 1000 / sysconf(_SC_CLK_TCK));
}

auto Process::residentBytes() const -> std::size_t
{
    std::istringstream fields(readFile("/proc/" + std::to_string(this->processId) + "/statm"));
    std::size_t total = 0;
    std::size_t resident = 0;
    fields >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

auto Process::descriptorCount() const -> std::size_t
{
    return entryCount("/proc/" + std::to_string(this->processId) + "/fd");
}

auto Process::threadCount() const -> std::size_t
{
    return entryCount("/proc/" + std::to_string(this->processId) + "/task");
}

auto runProgram(const std::string& program, const std::vector<std::string>& arguments, std::chrono::milliseconds limit) -> ProgramResult
{
    static std::atomic<int> count { 0 };
    const auto log = std::filesystem::temp_directory_path() / ("primrosefork-run-" + std::to_string(getpid()) + "-" + std::to_string(count++));
    ProgramResult result;
    {
        Process process(program, arguments, log);
        result.exitCode = process.waitForExit(limit).value_or(-1);
        result.output = process.output();
    }
    std::filesystem::remove(log);
    return result;
}

} // namespace Primrosefork::Testkit
