#include "configurationcontroller.h"
#include "eventlog.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

/** A store that never answers. */
class UnresponsiveStore : public KeyValueStore {
public:
    auto get(const std::string& /*key*/, EntryHandler /*handler*/) -> void override { }
    auto list(const std::string& /*prefix*/, ListingHandler /*handler*/) -> void override { }
    auto compareAndSwap(const StoreSwap& /*swap*/, SwapHandler /*handler*/) -> void override { }
    auto watch(const std::string& /*prefix*/, StoreRevision /*after*/, std::chrono::milliseconds /*wait*/, ListingHandler /*handler*/) -> void override { }
    auto grantLease(std::chrono::milliseconds /*duration*/, LeaseHandler /*handler*/) -> void override { }
    auto renewLease(LeaseId /*lease*/, DoneHandler /*handler*/) -> void override { }
    auto revokeLease(LeaseId /*lease*/, DoneHandler /*handler*/) -> void override { }
};

auto makeWorkspace(std::uint64_t revision, char key) -> std::string
{
    return nlohmann::json { { "revision", revision }, { "content", { { "key_sha256", std::string(64, key) } } } }.dump();
}

struct PeerListingCase {
    const char* name;
    std::vector<StoreEntry> received; ///< Records from a peer, received after revision 2 of workspace "a" with key 5 at store revision 10.
    char keyOfA; ///< Digit of which the key of workspace "a" consists afterwards.
    std::size_t workspaces;
    StoreRevision recordsRevision;
};

const PeerListingCase peerListingCases[] = {
    { "no record", {}, '5', 1, 10 },
    { "the same record again", { { "config/workspaces/a", makeWorkspace(2, '5'), 10 } }, '5', 1, 10 },
    { "an older record", { { "config/workspaces/a", makeWorkspace(1, '4'), 9 } }, '5', 1, 10 },
    { "an older record under a newer store revision", { { "config/workspaces/a", makeWorkspace(1, '4'), 11 } }, '5', 1, 11 },
    { "a newer record", { { "config/workspaces/a", makeWorkspace(3, '6'), 11 } }, '6', 1, 11 },
    { "another record, older in the store", { { "config/workspaces/b", makeWorkspace(1, '7'), 4 } }, '5', 2, 10 },
    { "a record that is not valid", { { "config/workspaces/a", "{}", 12 } }, '5', 1, 12 },
};

TEST_CASE("records of a peer never replace a record by an older revision")
{
    const EventLog log("error");
    for (const auto& row : peerListingCases) {
        CAPTURE(std::string(row.name));
        EventLoop loop;
        UnresponsiveStore store;
        Blackboard blackboard;
        ConfigurationController controller(loop, store, blackboard, log, { .watch = 1s });
        controller.applyFromPeer({ { { "config/workspaces/a", makeWorkspace(2, '5'), 10 } }, 10 });

        controller.applyFromPeer({ row.received, 12 });

        const auto& current = blackboard.configuration.value();
        CHECK(current.workspaces.at("a").keyHash == std::string(64, row.keyOfA));
        CHECK(current.workspaces.size() == row.workspaces);
        CHECK(controller.recordsRevision() == row.recordsRevision);
    }
}

TEST_CASE("a node returns the records after the requested store revision")
{
    const EventLog log("error");
    EventLoop loop;
    UnresponsiveStore store;
    Blackboard blackboard;
    ConfigurationController controller(loop, store, blackboard, log, { .watch = 1s });
    controller.applyFromPeer({ { { "config/workspaces/a", makeWorkspace(2, '5'), 10 }, { "config/workspaces/b", makeWorkspace(1, '7'), 4 } }, 10 });

    const auto listing = controller.recordsAfter(4);

    CHECK(listing.revision == 10);
    REQUIRE(listing.entries.size() == 1);
    CHECK(listing.entries[0].key == "config/workspaces/a");
    CHECK(listing.entries[0].value == makeWorkspace(2, '5'));
}

} // namespace
