#include "node.h"

#include <doctest/doctest.h>
#include <fstream>
#include <regex>
#include <string>
#include <vector>

using namespace Primrosefork;

namespace {

/** Returns section and writer of each row of the table in the docs. */
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

TEST_CASE("each section has the writer that the docs name")
{
    EventLoop loop;
    const Node node(loop, NodeSettings {});
    CHECK(node.board().owners() == documentedOwners());
}

TEST_CASE("a section has one writer")
{
    Blackboard blackboard;
    static_cast<void>(blackboard.lifecycle.acquireWriter("First"));
    CHECK_THROWS_AS(static_cast<void>(blackboard.lifecycle.acquireWriter("Second")), std::logic_error);
}

TEST_CASE("readers are told of a change")
{
    Blackboard blackboard;
    auto writer = blackboard.lifecycle.acquireWriter("Test");
    auto seen = Lifecycle::Starting;
    blackboard.lifecycle.changed.connect([&seen](Lifecycle value) { seen = value; });
    writer.write(Lifecycle::Serving);
    CHECK(seen == Lifecycle::Serving);
}

} // namespace
