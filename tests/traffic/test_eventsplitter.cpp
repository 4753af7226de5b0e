#include "eventsplitter.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace Primrosefork;

namespace {

struct SplitCase {
    const char* name;
    std::string bytes;
    std::vector<std::string> ids; ///< Ids of the complete events; "-" for an event without one.
    bool hasPartial;
};

const SplitCase splitCases[] = {
    { "no bytes", "", {}, false },
    { "one event", "id: 1\ndata: a\n\n", { "1" }, false },
    { "two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", { "1", "2" }, false },
    { "carriage returns", "id: 1\r\ndata: a\r\n\r\n", { "1" }, false },
    { "an event without an id", "data: a\n\n", { "-" }, false },
    { "an id after the data", "data: a\nid: 7\n\n", { "7" }, false },
    { "the end of the bytes in the middle of a line", "id: 1\ndata: a\n\nid: 2\nda", { "1" }, true },
    { "the end of the bytes before the empty line", "id: 1\ndata: a\n", {}, true },
    { "a carriage return in the line of the id", "id: 1\rdata: a\n\n", { "1" }, false },
    { "an id with a zero byte, which is none", std::string("id: 1\nid: 2\0\n\n", 14), { "1" }, false },
    { "a data line that contains an id field", "data: id: 9\n\n", { "-" }, false },
};

auto split(const std::vector<std::string>& pieces, std::vector<std::string>& texts) -> std::pair<std::vector<std::string>, bool>
{
    EventSplitter splitter;
    std::vector<std::string> ids;
    for (const auto& piece : pieces) {
        splitter.add(piece, [&](const StreamEvent& event) {
            ids.emplace_back(event.id ? std::string(*event.id) : "-");
            texts.emplace_back(event.text);
        });
    }
    return { ids, splitter.hasPartialEvent() };
}

TEST_CASE("complete events are passed on and an incomplete one is buffered")
{
    for (const auto& row : splitCases) {
        CAPTURE(row.name);
        std::vector<std::string> texts;
        const auto [ids, hasPartial] = split({ row.bytes }, texts);
        CHECK(ids == row.ids);
        CHECK(hasPartial == row.hasPartial);
    }
}

TEST_CASE("the events do not depend on where the bytes are split")
{
    for (const auto& row : splitCases) {
        CAPTURE(row.name);
        std::vector<std::string> whole;
        split({ row.bytes }, whole);
        for (std::size_t cut = 0; cut <= row.bytes.size(); ++cut) {
            std::vector<std::string> texts;
            const auto [ids, hasPartial] = split({ row.bytes.substr(0, cut), row.bytes.substr(cut) }, texts);
            CHECK(ids == row.ids);
            CHECK(texts == whole);
            CHECK(hasPartial == row.hasPartial);
        }
    }
}

} // namespace
