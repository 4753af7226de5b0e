#include "cluster.h"
#include "hash.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

using Testkit::Cluster;

/** A temporary folder with the files that the commands read. */
class CommandFiles {
public:
    CommandFiles()
    {
        auto pattern = (std::filesystem::temp_directory_path() / "primrosefork-cli-XXXXXX").string();
        this->folder = mkdtemp(pattern.data()) ? pattern : "";
        this->write("workspace.json", R"({"key_sha256": ")" + sha256Hex("viajera-key") + "\"}");
        this->write("template.json", R"({"routes": [{"path": "hold", "kind": "plain", "idempotent": false}]})");
        this->write("models.json", R"({"routes": [{"path": "chat", "kind": "model", "idempotent": true}]})");
        this->write("parameters.json", R"({"backend_pools": ["booking"]})");
        this->write("bad.json", R"({"backend_pools": [], "colour": 1})");
        this->write("text.json", "{");
        this->write("credential", std::string(Cluster::operatorKey) + "\n");
        this->write("caller", std::string(Cluster::callerKey) + "\n");
    }

    ~CommandFiles() { std::filesystem::remove_all(this->folder); }
    CommandFiles(const CommandFiles&) = delete;
    auto operator=(const CommandFiles&) -> CommandFiles& = delete;

    [[nodiscard]] auto path() const -> const std::string& { return this->folder; }

private:
    auto write(const std::string& name, const std::string& text) const -> void { std::ofstream(this->folder + "/" + name) << text; }

    std::string folder;
};

auto split(const std::string& text) -> std::vector<std::string>
{
    std::istringstream words(text);
    return { std::istream_iterator<std::string>(words), {} };
}

struct CommandCase {
    std::string name;
    std::string arguments;
    int exitCode;
    std::vector<std::string> output; ///< Texts that the command must print.
};

/** Commands run in this order on one cluster, so that later rows see the changes of earlier ones. */
const CommandCase commandCases[] = {
    { "help", "--help", 0, { "service create WORKSPACE/NAME", "Examples:", "Exit codes:" } },
    { "no command", "", 2, { "Usage:" } },
    { "unknown command", "service paint", 2, { "Usage:" } },
    { "unknown option", "service list --colour=red", 2, { "unknown command line flag 'colour'" } },
    { "bad node", "service list --node=localhost:1", 2, { "must be a numeric address" } },
    { "bad timeout", "service list --timeout=5", 2, { "--timeout: expected a duration" } },
    { "credential of a caller", "service list --credential_file=caller", 1, { "bad_credential" } },
    { "list services", "service list", 0, { "NAME", "jadeleaf/desk", "assistant" } },
    { "list as JSON", "service list --json", 0, { R"("name": "jadeleaf/desk")" } },
    { "put workspace", "workspace put viajera --file workspace.json", 0, { "accepted: revision 1 of config/workspaces/viajera" } },
    { "put workspace again", "workspace put viajera --file workspace.json", 4, { "conflict: the base is revision 0, in force is revision 1 by ana" } },
    { "list workspaces", "workspace list", 0, { "jadeleaf", "viajera", "ana" } },
    { "put template", "template put holds --file template.json", 0, { "accepted: revision 1 of config/templates/holds" } },
    { "show template", "template show holds", 0, { "holds, revision 1 by ana of ", R"("path": "hold")" } },
    { "list templates", "template list", 0, { "assistant", "holds" } },
    { "create without a template", "service create viajera/app --file parameters.json", 2, { "expected WORKSPACE/NAME, --template and --file" } },
    { "create with findings", "service create viajera/app --template holds --file bad.json", 3, { "/backend_pools: at least one pool is needed", "/colour: unknown key" } },
    { "create from an unknown template", "service create viajera/app --template none --file parameters.json", 3, { "/template: no template is called \"none\"" } },
    { "create from a file that is not JSON", "service create viajera/app --template holds --file text.json", 3, { "not valid JSON" } },
    { "create", "service create viajera/app --template holds --file parameters.json", 0, { "accepted: revision 1 of config/services/viajera/app" } },
    { "create again", "service create viajera/app --template holds --file parameters.json", 4, { "conflict", "in force: {\"backend_pools\":[\"booking\"]}" } },
    { "set", "service set viajera/app priority=7 weight=2", 0, { "accepted: revision 2" } },
    { "set out of range", "service set viajera/app priority=70", 3, { "/priority: out of range, expected 0 to 9" } },
    { "set on an older base", "service set viajera/app priority=8 --base_revision 1", 4,
        { "conflict: the base is revision 1, in force is revision 2 by ana", "in force: {\"backend_pools\":[\"booking\"],\"priority\":7,\"weight\":2}",
            "yours:    {\"backend_pools\":[\"booking\"],\"priority\":8,\"weight\":2}" } },
    { "set from a file without a base", "service set viajera/app --file parameters.json", 2, { "--base_revision" } },
    { "set from a file", "service set viajera/app --file parameters.json --base_revision 2", 0, { "accepted: revision 3" } },
    { "set of an unknown service", "service set viajera/none priority=7", 1, { "no_such_record" } },
    { "conflict as JSON", "service set viajera/app priority=8 --base_revision 1 --json", 4, { R"("error": "conflict")", R"("yours")", R"("in_force")" } },
    { "show", "service show viajera/app", 0, { "viajera/app, revision 3 by ana of ", "template: holds" } },
    { "history", "service history viajera/app", 0, { "REVISION", "3", "{\"backend_pools\":[\"booking\"],\"priority\":7,\"weight\":2}" } },
    { "roll forward without a base", "service roll-forward viajera/app --to_revision 2", 2, { "--base_revision is needed" } },
    { "roll forward", "service roll-forward viajera/app --to_revision 2 --base_revision 3", 0, { "accepted: revision 4" } },
    { "show after the roll forward", "service show viajera/app", 0, { "revision 4", "\"priority\": 7" } },
    { "template that makes a service invalid", "template put holds --file models.json --base_revision 1", 3,
        { "/services/viajera/app/models: the template has model routes: at least one model is needed" } },
    { "list backend servers", "backend list", 0, { "engine-0", "plain-0", "booking", "live" } },
    { "drain", "backend drain plain-0", 0, { "accepted: revision 2 of config/services/jadeleaf/desk", "accepted: revision 5 of config/services/viajera/app" } },
    { "drain again", "backend drain plain-0", 0, { "nothing to change" } },
    { "list backend servers after the drain", "backend list", 0, { "jadeleaf/desk,viajera/app" } },
    { "undrain in one service", "backend undrain plain-0 --service viajera/app", 0, { "accepted: revision 6 of config/services/viajera/app" } },
    { "undrain", "backend undrain plain-0", 0, { "accepted: revision 3 of config/services/jadeleaf/desk" } },
    { "drain of an unknown backend server", "backend drain none", 1, { "the node knows no backend server none" } },
    { "node status", "node status", 0, { "node-0", "serving" } },
    { "state", "state", 0, { R"("configuration")", R"("requests")" } },
    { "delete a template in use", "template delete holds --base_revision 1", 3, { "services use the template" } },
    { "delete", "service delete viajera/app --base_revision 6", 0, { "accepted: revision 7" } },
    { "show a deleted service", "service show viajera/app", 1, { "no_such_record" } },
    { "history of a deleted service", "service history viajera/app", 0, { "deleted", "6" } },
    { "roll a deleted service forward", "service roll-forward viajera/app --base_revision 7 --to_revision 6", 0, { "accepted: revision 8" } },
    { "check settings", "check settings text.json", 3, { "not valid JSON" } },
    { "check template", "check template template.json", 0, { "template.json: valid" } },
    { "check parameters", "check parameters bad.json --template_file template.json", 3, { "2 findings", "/backend_pools: at least one pool is needed", "/colour: unknown key" } },
    { "check parameters without a template", "check parameters parameters.json", 2, { "--template_file is needed" } },
    { "check workspace", "check workspace workspace.json", 0, { "valid" } },
    { "check a missing file", "check template none.json", 1, { "cannot be read" } },
    { "node that does not answer", "service list --node=127.0.0.1:9", 5, { "the node did not answer" } },
};

/** Sets the environment variables and the working directory of the commands. */
auto prepareEnvironment(const Cluster& cluster, const CommandFiles& files) -> void
{
    std::filesystem::current_path(files.path());
    setenv("PRIMROSEFORK_NODE", cluster.operatorsAddress(0).toString().c_str(), 1);
    setenv("PRIMROSEFORK_CREDENTIAL_FILE", "credential", 1);
}

TEST_CASE("each subcommand prints its outcome and exits with the matching code")
{
    Cluster cluster({ .engines = 1, .plainServices = 1 });
    REQUIRE(cluster.start());
    const CommandFiles files;
    prepareEnvironment(cluster, files);

    for (const auto& row : commandCases) {
        CAPTURE(std::string(row.name));

        const auto result = Testkit::runProgram(Cluster::cliProgram(), split(row.arguments), 30s);

        INFO("output: ", result.output);
        CHECK(result.exitCode == row.exitCode);
        for (const auto& text : row.output)
            CHECK(result.output.find(text) != std::string::npos);
    }
    std::filesystem::current_path("/");
}

struct OutageCase {
    std::string name;
    const char* control; ///< Faults that the store stand-in is set to before the command.
    int exitCode;
    const char* output;
};

const OutageCase outageCases[] = {
    { "the store is down", R"({"down": true})", 1, "the change did not take effect" },
    { "the store accepts requests and does not answer", R"({"silent": true})", 1, "the change did not take effect" },
    { "the reply to the write is lost", R"({"lost_replies": 1})", 0, "accepted: revision 2" },
    { "the reply to the write is lost and the store goes down", R"({"lost_replies": 1, "down_after_write": true})", 6, "--write_id=" },
};

TEST_CASE("during store faults the output and exit code tell whether the change took effect or its outcome is unknown")
{
    const CommandFiles files;
    for (const auto& row : outageCases) {
        CAPTURE(std::string(row.name));
        Cluster cluster({ .engines = 1, .plainServices = 1 });
        REQUIRE(cluster.start());
        prepareEnvironment(cluster, files);
        cluster.control(cluster.keyValueService(), nlohmann::json::parse(row.control));

        const auto result = Testkit::runProgram(Cluster::cliProgram(), { "service", "set", "jadeleaf/desk", "priority=7" }, 30s);

        INFO("output: ", result.output);
        CHECK(result.exitCode == row.exitCode);
        CHECK(result.output.find(row.output) != std::string::npos);
    }
    std::filesystem::current_path("/");
}

TEST_CASE("a change of unknown outcome is resolved by repeating it with its write id")
{
    Cluster cluster({ .engines = 1, .plainServices = 1 });
    REQUIRE(cluster.start());
    const CommandFiles files;
    prepareEnvironment(cluster, files);
    cluster.control(cluster.keyValueService(), { { "lost_replies", 1 }, { "down_after_write", true } });
    const auto first = Testkit::runProgram(Cluster::cliProgram(), { "service", "set", "jadeleaf/desk", "priority=7" }, 30s);
    REQUIRE(first.exitCode == 6);
    const auto start = first.output.find("--write_id=") + std::string("--write_id=").size();
    const auto writeId = first.output.substr(start, first.output.find(' ', start) - start);
    cluster.control(cluster.keyValueService(), { { "down", false }, { "down_after_write", false } });

    const auto again = Testkit::runProgram(Cluster::cliProgram(), { "service", "set", "jadeleaf/desk", "priority=7", "--write_id=" + writeId }, 30s);

    INFO("output: ", again.output);
    CHECK(again.exitCode == 0);
    CHECK(again.output.find("accepted: revision 2") != std::string::npos);
    std::filesystem::current_path("/");
}

} // namespace
