#include "cluster.h"
#include "httpserver.h"
#include "messages.h"
#include "process.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

const Address stateAddress { "127.0.0.1", 18471 };

/** A temporary folder with configurations, and a stand-in for the operators' port of a node that runs version 4. */
class CheckFixture {
public:
    CheckFixture()
        : server(this->loop, {}, [](const std::shared_ptr<HttpExchange>& exchange) {
            exchange->respond({ HttpStatus::ok, {}, R"({"node":"n1","traffic":{"version":4}})" });
        })
    {
        auto pattern = (std::filesystem::temp_directory_path() / "primrosefork-check-XXXXXX").string();
        this->folder = mkdtemp(pattern.data()) ? pattern : "";
        this->write("v3.json", configurationDocument(3, R"(["k1"])"));
        this->write("v4.json", configurationDocument(4, R"(["k1"])"));
        this->write("v5.json", configurationDocument(5, R"(["k1","k2"])"));
        this->write("other4.json", configurationDocument(4, R"(["k2"])"));
        this->write("text.json", "{");
        this->write("incomplete.json", R"({"version":1,"routes":[{}]})");
        this->write("unknown.json", R"({"version":5,"routes":[{"name":"r","host":"h","prefix":"/","route-type":"idempotent","backend":"gone"}],"services":[],"tenants":[]})");
        REQUIRE_FALSE(this->server.listen(stateAddress));
    }

    ~CheckFixture() { std::filesystem::remove_all(this->folder); }
    CheckFixture(const CheckFixture&) = delete;
    auto operator=(const CheckFixture&) -> CheckFixture& = delete;

    /** Runs `primrosefork gateway check` in the folder with \a arguments. */
    auto run(std::vector<std::string> arguments) -> ProgramResult
    {
        for (auto& argument : arguments) {
            const auto name = argument.substr(argument.find('=') + 1);
            if (name.ends_with(".json"))
                argument.replace(argument.size() - name.size(), name.size(), this->folder + "/" + name);
        }
        std::vector<std::string> words { "gateway", "check", "--timeout=500ms" };
        words.insert(words.end(), arguments.begin(), arguments.end());
        std::filesystem::remove(this->folder + "/output");
        Process process(Cluster::cliProgram(), words, this->folder + "/output");
        const auto end = EventLoop::now() + 5s;
        while (process.isRunning() && EventLoop::now() < end)
            this->loop.runOnce();
        return { process.waitForExit(0ms).value_or(-1), process.output() };
    }

private:
    auto write(const std::string& name, const std::string& text) const -> void { std::ofstream(this->folder + "/" + name) << text; }

    EventLoop loop;
    HttpServer server;
    std::string folder;
};

struct CommandCase {
    const char* name;
    std::vector<std::string> arguments;
    int exitCode;
    std::vector<std::string> output; ///< Texts that the command must print.
};

const CommandCase commandCases[] = {
    { "a valid file", { "v4.json" }, 0, { "valid" } },
    { "no file", {}, 2, { "expected one file" } },
    { "two files", { "v4.json", "v5.json" }, 2, { "expected one file" } },
    { "a file that is not there", { "gone.json" }, 1, { "cannot be read" } },
    { "a file that is no JSON", { "text.json" }, 3, { "not a JSON object" } },
    { "a route without fields", { "incomplete.json" }, 3, { "/routes/0/name" } },
    { "a route to a service that is not configured", { "unknown.json" }, 3, { "route r: the service \"gone\" is not configured" } },
    { "the findings as JSON", { "unknown.json", "--json" }, 3, { "\"valid\": false", "\"place\": \"route r\"" } },
    { "a newer version than the file in force", { "v5.json", "--against=v4.json" }, 0, { "version: 4 -> 5", "workspace salon, credentials: 0 removed -> 1 added" } },
    { "an older one, which nodes ignore", { "v3.json", "--against=v4.json" }, 3, { "nodes ignore it: 4 is in force" } },
    { "the same version with another content", { "other4.json", "--against=v4.json" }, 0, { "warning: it is that of the configuration in force" } },
    { "a file in force that is not valid", { "v4.json", "--against=text.json" }, 3, { "text.json" } },
    { "a newer version than that of a node", { "v5.json", "--against=127.0.0.1:18471" }, 0, { "version: 4 -> 5" } },
    { "an older version than that of a node", { "v3.json", "--against=127.0.0.1:18471" }, 3, { "nodes ignore it: 4 is in force" } },
    { "a node that does not answer", { "v4.json", "--against=127.0.0.1:18472" }, 5, { "did not answer" } },
    { "neither a file nor an address", { "v4.json", "--against=current" }, 1, { "cannot be read" } },
};

// Guards against a command that reports a bad configuration with the exit code of a good one, or prints a credential.
TEST_CASE("the command prints what the check finds and exits with the code for it")
{
    CheckFixture fixture;
    for (const auto& row : commandCases) {
        INFO(std::string(row.name));
        const auto result = fixture.run(row.arguments);
        INFO(result.output);
        CHECK(result.exitCode == row.exitCode);
        for (const auto& text : row.output)
            CHECK(result.output.find(text) != std::string::npos);
        CHECK(result.output.find("k2") == std::string::npos);
    }
}

} // namespace
