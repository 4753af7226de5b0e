#include "intakefixture.h"

#include "messages.h"
#include "rawcaller.h"
#include "scratch.h"
#include "units.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <sys/resource.h>

using namespace std::chrono_literals;

namespace Primrosefork::IntakeTest {

namespace {

constexpr std::uint16_t storePort = 18401;
constexpr std::uint16_t fleetPort = 18402;
constexpr std::uint16_t serverPort = 18421;
constexpr std::uint16_t readinessPort = 18412;
constexpr std::uint16_t peersPort = 18413;
constexpr std::uint16_t operatorsPort = 18414;

/** Starts the node with a limit of \a descriptors, which it inherits from this process. */
auto startNode(const std::string& folder, std::size_t descriptors) -> std::unique_ptr<Testkit::Process>
{
    rlimit own {};
    getrlimit(RLIMIT_NOFILE, &own);
    const rlimit limited { descriptors, own.rlim_max };
    setrlimit(RLIMIT_NOFILE, &limited);
    auto process = std::make_unique<Testkit::Process>(NODE_PROGRAM, std::vector<std::string> { "--settings", folder + "/settings.json" }, folder + "/node.log");
    setrlimit(RLIMIT_NOFILE, &own);
    return process;
}

auto answer(const std::string& request) -> Testkit::ScriptedAnswer
{
    if (Testkit::requestIdOf(request).starts_with("ordinary"))
        return { Testkit::answerTo(request, 200, "hello") };
    return {};
}

} // namespace

IntakeFixture::IntakeFixture(std::size_t memory, std::size_t descriptors)
    : ip(Testkit::uniqueNetwork() + "1")
    , folder(Testkit::makeTemporaryFolder())
    , store(loop, { ip, storePort }, { ip, fleetPort })
    , server(loop, { ip, serverPort }, answer)
{
    const auto at = [this](std::uint16_t port) { return Address { this->ip, port }.toString(); };
    Testkit::writeJson(this->folder + "/settings.json",
        { { "interface", "gateway" }, { "node", { { "id", "node-1" }, { "zone", "a" }, { "region", "r" }, { "memory", std::to_string(memory / mebibyte) + "MiB" } } },
            { "listen", { { "callers", at(callersPort) }, { "readiness", at(readinessPort) }, { "peers", at(peersPort) }, { "operators", at(operatorsPort) } } },
            { "systems", { { "key_value_service", at(storePort) }, { "fleet_api", at(fleetPort) } } } });
    this->store.put(Testkit::configurationKey(), Testkit::configurationDocument(1, R"(["k1"])"));
    this->store.put(Testkit::registrationKey("i-1"), Testkit::registrationDocument("app", at(serverPort)));
    this->process = startNode(this->folder, descriptors);
    REQUIRE(this->statusOfRequests(20s) == 200);
}

IntakeFixture::~IntakeFixture()
{
    this->process.reset();
    std::filesystem::remove_all(this->folder);
}

auto IntakeFixture::runUntil(const std::function<bool()>& done, std::chrono::milliseconds limit) -> bool
{
    const auto end = EventLoop::now() + limit;
    while (!done() && EventLoop::now() < end)
        this->loop.runOnce();
    return done();
}

auto IntakeFixture::statusOfRequest() -> int
{
    Testkit::RawCaller caller(this->loop, this->callers());
    caller.send(Testkit::makeRequest("/read/", "ordinary-" + std::to_string(this->requests++)));
    this->runUntil([&caller] { return caller.isClosed || Testkit::isCompleteAnswer(caller.received); }, 5s);
    return Testkit::statusOf(caller.received);
}

auto IntakeFixture::statusOfRequests(std::chrono::milliseconds limit) -> int
{
    const auto end = EventLoop::now() + limit;
    auto status = this->statusOfRequest();
    while (status != 200 && EventLoop::now() < end) {
        this->runUntil([] { return false; }, 100ms);
        status = this->statusOfRequest();
    }
    return status;
}

auto IntakeFixture::peakBytes() const -> std::size_t
{
    std::ifstream file("/proc/" + std::to_string(this->process->pid()) + "/status");
    std::size_t kibibytes = 0;
    for (std::string word; file >> word;) {
        if (word == "VmHWM:")
            file >> kibibytes;
    }
    return kibibytes * kibibyte;
}

} // namespace Primrosefork::IntakeTest
