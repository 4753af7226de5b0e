#include "node.h"

#include <doctest/doctest.h>
#include <fstream>
#include <regex>
#include <string>
#include <vector>

using namespace Primrosefork;

namespace {

/** Returns the section and the writer of each row of the table in docs/BLACKBOARD.md. */
auto documentedOwners() -> std::vector<SectionOwner>
{
    std::vector<SectionOwner> owners;
    std::ifstream file(SOURCE_FOLDER "/docs/BLACKBOARD.md");
    const std::regex row(R"(^\| `(\w+)` \| (\w+) \|.*)");
    for (std::string line; std::getline(file, line);) {
        std::smatch match;
        if (std::regex_match(line, match, row))
            owners.push_back({ match[1].str(), match[2].str() });
    }
    return owners;
}

TEST_CASE("each section is written by the controller documented for it")
{
    EventLoop loop;
    const Node node(loop, NodeSettings {});
    CHECK(node.board().owners() == documentedOwners());
}

TEST_CASE("acquiring a second writer for a section throws")
{
    Blackboard blackboard;
    static_cast<void>(blackboard.lifecycle.acquireWriter("First"));
    CHECK_THROWS_AS(static_cast<void>(blackboard.lifecycle.acquireWriter("Second")), std::logic_error);
}

TEST_CASE("writing a section notifies its readers with the new value")
{
    Blackboard blackboard;
    auto writer = blackboard.lifecycle.acquireWriter("Test");
    auto received = Lifecycle::Starting;
    blackboard.lifecycle.changed.connect([&received](Lifecycle value) { received = value; });
    writer.write(Lifecycle::Serving);
    CHECK(received == Lifecycle::Serving);
}

} // namespace
