#include "adapter.h"
#include "eventloop.h"
#include "gatewaysettings.h"
#include "node.h"
#include "nodesettings.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sodium.h>
#include <sstream>

DEFINE_string(settings, "", "The node's settings file (JSON, docs/SETTINGS.md).");
DEFINE_bool(check_settings, false, "Checks the settings file, prints every finding and exits without starting a node.");

namespace {

using namespace Primrosefork;

constexpr int exitUsage = 2;
constexpr int exitBadSettings = 3;
constexpr std::size_t clientBufferDivisor = 8; ///< Answers of the platform's services may fill the memory of a gateway node divided by this.

constexpr auto usage = R"(Serves callers' requests as one entry node.

Examples:
  primrosefork-node --settings /etc/primrosefork/node.json
  primrosefork-node --settings node.json --check_settings

Signals: SIGTERM and SIGINT begin the planned stop, SIGUSR1 writes the state
dump to standard error.

Exit codes: 0 stopped as planned, 1 could not start, 2 wrong usage, 3 the
settings file is not valid.)";

auto readFile(const std::string& path, std::string& text) -> bool
{
    const std::ifstream file(path);
    std::ostringstream content;
    content << file.rdbuf();
    text = content.str();
    return file.good();
}

auto runNode(const NodeSettings& settings) -> int
{
    std::signal(SIGPIPE, SIG_IGN);
    EventLoop loop;
    Node node(loop, settings);
    const SignalWatcher terminate(loop, SIGTERM, [&node] { node.requestStop("SIGTERM"); });
    const SignalWatcher interrupt(loop, SIGINT, [&node] { node.requestStop("SIGINT"); });
    const SignalWatcher dump(loop, SIGUSR1, [&node] { node.writeStateDump(); });
    if (node.begin())
        return EXIT_FAILURE;
    loop.run();
    return EXIT_SUCCESS;
}

/** Reads the gateway's settings at \a path into \a settings, adds what is wrong to \a findings and returns whether there are none. */
auto readGatewaySettings(const std::string& path, GatewaySettings& settings, Findings& findings) -> bool
{
    std::string text;
    if (!readFile(path, text))
        findings.push_back({ "", "cannot be read" });
    else
        settings = parseGatewaySettings(text, findings);
    return findings.empty();
}

auto runGateway(const std::string& path, const GatewaySettings& settings) -> int
{
    std::signal(SIGPIPE, SIG_IGN);
    EventLoop loop;
    HttpClient client(loop, settings.memory / clientBufferDivisor);
    GatewayNode node(loop, settings, makePlatformSystems(client, settings));
    const SignalWatcher terminate(loop, SIGTERM, [&node] { node.requestStop("SIGTERM"); });
    const SignalWatcher interrupt(loop, SIGINT, [&node] { node.requestStop("SIGINT"); });
    const SignalWatcher dump(loop, SIGUSR1, [&node] { node.writeStateDump(); });
    const SignalWatcher reload(loop, SIGHUP, [&node, &path] {
        GatewaySettings next;
        Findings findings;
        if (readGatewaySettings(path, next, findings))
            node.settingsReloaded(next);
        else
            node.settingsRejected(findings);
    });
    if (node.begin())
        return EXIT_FAILURE;
    loop.run();
    return EXIT_SUCCESS;
}

auto reportFindings(const std::string& path, const Findings& findings) -> int
{
    std::cerr << path << ": " << findings.size() << " findings\n"
              << formatFindings(findings);
    return exitBadSettings;
}

auto runProgram(int argc, char** argv) -> int
{
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_settings.empty() || argc > 1) {
        std::cerr << usage << "\n";
        return exitUsage;
    }
    std::string text;
    if (!readFile(FLAGS_settings, text)) {
        std::cerr << FLAGS_settings << ": cannot be read\n";
        return exitBadSettings;
    }
    Findings findings;
    const auto isGateway = isGatewaySettings(text);
    const auto gatewaySettings = isGateway ? parseGatewaySettings(text, findings) : GatewaySettings {};
    const auto settings = isGateway ? NodeSettings {} : parseNodeSettings(text, findings);
    if (!findings.empty())
        return reportFindings(FLAGS_settings, findings);
    if (FLAGS_check_settings) {
        std::cout << FLAGS_settings << ": valid\n";
        return EXIT_SUCCESS;
    }
    return isGateway ? runGateway(FLAGS_settings, gatewaySettings) : runNode(settings);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    if (sodium_init() < 0)
        return EXIT_FAILURE;
    try {
        return runProgram(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return EXIT_FAILURE;
    }
}
