#include "commands.h"
#include "jsonfile.h"
#include "jsonreader.h"
#include "output.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <gflags/gflags.h>
#include <iostream>
#include <sodium.h>

DEFINE_string(node, "", "Operators' address of a node, or PRIMROSEFORK_NODE.");
DEFINE_string(credential_file, "", "File with the operator's key, or PRIMROSEFORK_CREDENTIAL_FILE; the key itself may be in PRIMROSEFORK_CREDENTIAL.");
DEFINE_bool(json, false, "Print the node's answer as JSON.");
DEFINE_int64(base_revision, -1, "The revision that the change is based on.");
DEFINE_uint64(to_revision, 0, "The earlier revision whose content is put in force again.");
DEFINE_string(write_id, "", "The write id of an earlier change whose outcome was unknown.");
DEFINE_string(file, "", "The file with the content; - is standard input.");
DEFINE_string(template, "", "The template from which a service is created.");
DEFINE_string(template_file, "", "The template file against which parameters are checked.");
DEFINE_string(against, "", "The file with the configuration in force, or the operators' address of a gateway node.");
DEFINE_string(service, "", "The only service in which a backend server is drained.");
DEFINE_string(timeout, "20s", "Time-out of each call to the node.");
DECLARE_bool(help);

namespace google {
extern void (*gflags_exitfunc)(int); // Called by gflags after it has reported an invalid flag.
} // namespace google

namespace {

using namespace Primrosefork;
using namespace std::chrono_literals;

auto environment(const char* name) -> std::string
{
    const auto* value = std::getenv(name);
    return value ? value : "";
}

/** Returns \a flag, or the environment variable \a variable when the flag is empty. */
auto flagOrEnvironment(const std::string& flag, const char* variable) -> std::string
{
    return flag.empty() ? environment(variable) : flag;
}

/** Returns the operator's key. No flag takes the key itself, because other users can see command lines. */
auto readCredential() -> std::string
{
    const auto file = flagOrEnvironment(FLAGS_credential_file, "PRIMROSEFORK_CREDENTIAL_FILE");
    if (file.empty())
        return environment("PRIMROSEFORK_CREDENTIAL");
    auto text = readFile(file).value_or("");
    text.erase(text.find_last_not_of(" \r\n") + 1);
    return text;
}

/** Sets \a timeout from the flag; prints an error and returns false when it is not valid. */
auto readTimeout(std::chrono::milliseconds& timeout) -> bool
{
    Findings findings;
    const nlohmann::json json { { "timeout", FLAGS_timeout } };
    JsonReader reader(json, "", findings);
    reader.duration("timeout", timeout, 10ms, 1h);
    if (!findings.empty())
        printError("--timeout: " + findings.front().message);
    return findings.empty();
}

/** Sets the address and the credential in \a line; prints an error and returns false when one is missing or invalid. */
auto readNode(CommandLine& line) -> bool
{
    const auto address = parseAddress(flagOrEnvironment(FLAGS_node, "PRIMROSEFORK_NODE"));
    if (!address) {
        printError("--node or PRIMROSEFORK_NODE must be a numeric address such as 127.0.0.1:8081");
        return false;
    }
    line.node = *address;
    line.credential = readCredential();
    if (line.credential.empty())
        printError("no credential: set --credential_file or PRIMROSEFORK_CREDENTIAL");
    return !line.credential.empty();
}

auto readCommandLine(int argc, char** argv) -> CommandLine
{
    CommandLine line;
    std::vector<std::string> words(argv + 1, argv + argc);
    line.group = words.empty() ? "" : words[0];
    line.verb = words.size() < 2 ? "" : words[1];
    line.arguments.assign(words.begin() + std::min<std::ptrdiff_t>(2, static_cast<std::ptrdiff_t>(words.size())), words.end());
    line.isJson = FLAGS_json;
    if (FLAGS_base_revision >= 0)
        line.baseRevision = static_cast<std::uint64_t>(FLAGS_base_revision);
    line.toRevision = FLAGS_to_revision;
    line.writeId = FLAGS_write_id;
    line.file = FLAGS_file;
    line.templateName = FLAGS_template;
    line.templateFile = FLAGS_template_file;
    line.service = FLAGS_service;
    line.against = FLAGS_against;
    return line;
}

auto runProgram(int argc, char** argv) -> ExitCode
{
    google::gflags_exitfunc = [](int) { std::exit(static_cast<int>(ExitCode::Usage)); };
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    const auto commands = makeCommands();
    if (FLAGS_help) {
        std::cout << helpText(commands);
        return ExitCode::Success;
    }
    auto line = readCommandLine(argc, argv);
    const auto found = std::find_if(commands.begin(), commands.end(),
        [&line](const CommandEntry& entry) { return entry.group == line.group && entry.verb == line.verb; });
    if (found == commands.end()) {
        std::cerr << helpText(commands);
        return ExitCode::Usage;
    }
    if (!readTimeout(line.timeout) || (!found->isOffline && !readNode(line)))
        return ExitCode::Usage;
    std::signal(SIGPIPE, SIG_IGN);
    return found->command->run(line);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    if (sodium_init() < 0)
        return EXIT_FAILURE;
    try {
        return static_cast<int>(runProgram(argc, argv));
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return EXIT_FAILURE;
    }
}
