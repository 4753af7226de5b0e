#include "loadmessage.h"

#include "fleetmessage.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace Primrosefork {

namespace {

/** The first byte of a block. */
enum class BlockKind : std::uint8_t {
    ReportedLoads = 1,
    LoadAnswer = 2,
};

constexpr unsigned bitsPerByte = 8;
constexpr unsigned digitBits = 7; ///< Bits of a number in each of its bytes; the highest bit says that another byte follows.
constexpr std::uint64_t digitMask = 0x7F;
constexpr std::uint64_t moreBit = 0x80;
constexpr unsigned maxShift = 63;
constexpr std::int64_t maxCount = 1'000'000'000'000; ///< Bound of all numbers, so that sums over nodes do not overflow.
constexpr std::size_t keyBytes = 4;
constexpr double fractionScale = 100; ///< Means and rates are sent in hundredths.
constexpr std::size_t maxItems = 1'024; ///< Bound of each list, above what nodes send.

/** Appends values to a text. */
class Writer {
public:
    auto number(std::uint64_t value) -> void
    {
        for (; value > digitMask; value >>= digitBits)
            this->text.push_back(static_cast<char>((value & digitMask) | moreBit));
        this->text.push_back(static_cast<char>(value));
    }

    auto count(std::int64_t value) -> void { this->number(static_cast<std::uint64_t>(std::clamp<std::int64_t>(value, 0, maxCount))); }

    auto fraction(double value) -> void
    {
        const auto scaled = std::isnan(value) ? 0 : std::clamp(value * fractionScale, 0.0, static_cast<double>(maxCount));
        this->count(std::llround(scaled));
    }

    auto key(std::uint32_t value) -> void
    {
        for (std::size_t index = 0; index < keyBytes; ++index)
            this->text.push_back(static_cast<char>(value >> (bitsPerByte * index)));
    }

    auto bytes(const std::string& value) -> void
    {
        this->number(value.size());
        this->text += value;
    }

    std::string text;
};

/** Reads values from a text; after a value that is not valid, all are zero and isValid is false. */
class Reader {
public:
    explicit Reader(std::string_view text)
        : rest(text)
    {
    }

    auto number() -> std::uint64_t
    {
        std::uint64_t value = 0;
        for (unsigned shift = 0; shift <= maxShift; shift += digitBits) {
            const auto digit = this->byte();
            value |= (digit & digitMask) << shift;
            if ((digit & moreBit) == 0)
                return value;
        }
        this->fail();
        return 0;
    }

    auto count() -> std::int64_t { return static_cast<std::int64_t>(std::min<std::uint64_t>(this->number(), static_cast<std::uint64_t>(maxCount))); }

    auto fraction() -> double { return static_cast<double>(this->count()) / fractionScale; }

    auto key() -> std::uint32_t
    {
        std::uint32_t value = 0;
        for (std::size_t index = 0; index < keyBytes; ++index)
            value |= static_cast<std::uint32_t>(this->byte()) << (bitsPerByte * index);
        return value;
    }

    auto bytes() -> std::string_view
    {
        const auto size = this->number();
        if (size > this->rest.size()) {
            this->fail();
            return {};
        }
        const auto value = this->rest.substr(0, size);
        this->rest.remove_prefix(size);
        return value;
    }

    /** Returns the number of items of a list. */
    auto size() -> std::size_t
    {
        const auto value = this->number();
        // Each item takes a byte at least.
        if (value <= std::min(maxItems, this->rest.size()))
            return value;
        this->fail();
        return 0;
    }

    auto fail() -> void
    {
        this->isValid = false;
        this->rest = {};
    }

    std::string_view rest;
    bool isValid = true;

private:
    auto byte() -> std::uint64_t
    {
        if (this->rest.empty()) {
            this->fail();
            return 0;
        }
        const auto value = static_cast<std::uint8_t>(this->rest.front());
        this->rest.remove_prefix(1);
        return value;
    }
};

/** Names that are written once and referred to by their index. */
class Names {
public:
    auto add(const std::string& name) -> void
    {
        if (std::find(this->list.begin(), this->list.end(), name) == this->list.end())
            this->list.push_back(name);
    }

    auto write(Writer& writer) const -> void
    {
        writer.number(this->list.size());
        for (const auto& name : this->list)
            writer.bytes(name);
    }

    auto writeIndex(Writer& writer, const std::string& name) const -> void
    {
        writer.number(static_cast<std::uint64_t>(std::find(this->list.begin(), this->list.end(), name) - this->list.begin()));
    }

    auto read(Reader& reader) -> void
    {
        this->list.resize(reader.size());
        for (auto& name : this->list)
            name = std::string(reader.bytes());
    }

    auto readName(Reader& reader) const -> std::string
    {
        const auto index = reader.number();
        if (index < this->list.size())
            return this->list[index];
        reader.fail();
        return {};
    }

private:
    std::vector<std::string> list;
};

auto writeServers(Writer& writer, const std::vector<BackendLoad>& loads) -> void
{
    writer.number(loads.size());
    for (const auto& load : loads) {
        writer.key(load.server);
        writer.count(load.openRequests);
        writer.count(load.pendingPrefillTokens);
    }
}

auto readServers(Reader& reader) -> std::vector<BackendLoad>
{
    std::vector<BackendLoad> loads(reader.size());
    for (auto& load : loads) {
        load.server = reader.key();
        load.openRequests = reader.count();
        load.pendingPrefillTokens = reader.count();
    }
    return loads;
}

auto writeAnswer(Writer& writer, const LoadAnswer& answer) -> void
{
    Names names;
    for (const auto& mean : answer.means)
        names.add(mean.service);
    for (const auto& room : answer.rooms) {
        names.add(room.service);
        names.add(room.zone);
    }
    names.write(writer);
    writeServers(writer, answer.busiest);
    writer.number(answer.means.size());
    for (const auto& mean : answer.means) {
        names.writeIndex(writer, mean.service);
        writer.fraction(mean.openRequests);
        writer.fraction(mean.pendingPrefillTokens);
        writer.fraction(mean.requestsPerSecond);
    }
    writer.number(answer.rooms.size());
    for (const auto& room : answer.rooms) {
        names.writeIndex(writer, room.service);
        names.writeIndex(writer, room.zone);
        for (const auto value : { room.servers, room.slots, room.openRequests, room.pendingPrefillTokens, room.waitingRequests })
            writer.count(value);
        writer.fraction(room.requestsPerSecond);
    }
}

auto readAnswer(Reader& reader) -> LoadAnswer
{
    LoadAnswer answer;
    Names names;
    names.read(reader);
    answer.busiest = readServers(reader);
    answer.means.resize(reader.size());
    for (auto& mean : answer.means) {
        mean.service = names.readName(reader);
        mean.openRequests = reader.fraction();
        mean.pendingPrefillTokens = reader.fraction();
        mean.requestsPerSecond = reader.fraction();
    }
    answer.rooms.resize(reader.size());
    for (auto& room : answer.rooms) {
        room.service = names.readName(reader);
        room.zone = names.readName(reader);
        for (auto* value : { &room.servers, &room.slots, &room.openRequests, &room.pendingPrefillTokens, &room.waitingRequests })
            *value = reader.count();
        room.requestsPerSecond = reader.fraction();
    }
    return answer;
}

auto writeBlock(Writer& writer, BlockKind kind, const Writer& content) -> void
{
    writer.number(static_cast<std::uint64_t>(kind));
    writer.bytes(content.text);
}

} // namespace

auto encodeLoads(const FleetMessage& message) -> std::string
{
    Writer writer;
    if (message.report && message.report->loads) {
        Writer content;
        writeServers(content, *message.report->loads);
        writeBlock(writer, BlockKind::ReportedLoads, content);
    }
    if (message.answer && message.answer->load) {
        Writer content;
        writeAnswer(content, *message.answer->load);
        writeBlock(writer, BlockKind::LoadAnswer, content);
    }
    return std::move(writer.text);
}

auto decodeLoads(std::string_view bytes, FleetMessage& message) -> bool
{
    Reader blocks(bytes);
    while (!blocks.rest.empty()) {
        const auto kind = blocks.number();
        Reader content(blocks.bytes());
        if (blocks.isValid && kind == static_cast<std::uint64_t>(BlockKind::ReportedLoads) && message.report)
            message.report->loads = readServers(content);
        else if (blocks.isValid && kind == static_cast<std::uint64_t>(BlockKind::LoadAnswer) && message.answer)
            message.answer->load = readAnswer(content);
        if (!content.isValid)
            return false;
    }
    return blocks.isValid;
}

} // namespace Primrosefork
