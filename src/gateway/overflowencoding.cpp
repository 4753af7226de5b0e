#include "overflowencoding.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <utility>

namespace Primrosefork {

namespace {

constexpr std::size_t maxByte = std::numeric_limits<std::uint8_t>::max();

auto appendByte(std::string& bytes, std::size_t value) -> void
{
    bytes.push_back(static_cast<char>(static_cast<std::uint8_t>(value)));
}

/** Collects the names of a message and numbers them. */
class NameTable {
public:
    /** Returns the number of \a name, or nothing when it does not fit. */
    auto numberOf(const std::string& name) -> std::optional<std::size_t>
    {
        const auto found = this->numbers.find(name);
        if (found != this->numbers.end())
            return found->second;
        if (name.size() > maxByte || this->names.size() == maxByte)
            return std::nullopt;
        this->names.push_back(name);
        return this->numbers[name] = this->names.size() - 1;
    }

    [[nodiscard]] auto toBytes() const -> std::string
    {
        std::string bytes;
        appendByte(bytes, this->names.size());
        for (const auto& name : this->names) {
            appendByte(bytes, name.size());
            bytes += name;
        }
        return bytes;
    }

private:
    std::vector<std::string> names;
    std::map<std::string, std::size_t> numbers;
};

/** Reads bytes in their order; after an error isValid() is false and zeros are read. */
class ByteReader {
public:
    explicit ByteReader(std::string_view bytes)
        : rest(bytes)
    {
    }

    auto byte() -> std::uint8_t
    {
        const auto part = this->text(1);
        return part.empty() ? 0 : static_cast<std::uint8_t>(part.front());
    }

    auto text(std::size_t size) -> std::string
    {
        if (this->rest.size() < size) {
            this->hasFailed = true;
            return {};
        }
        std::string part(this->rest.substr(0, size));
        this->rest.remove_prefix(size);
        return part;
    }

    [[nodiscard]] auto isValid() const -> bool { return !this->hasFailed; }
    [[nodiscard]] auto isAtEnd() const -> bool { return this->rest.empty(); }

private:
    std::string_view rest;
    bool hasFailed = false;
};

} // namespace

auto encodeOverflow(const std::vector<OverflowShare>& shares) -> std::string
{
    NameTable names;
    std::string entries;
    std::size_t count = 0;
    for (const auto& share : shares) {
        const auto service = names.numberOf(share.service);
        const auto from = names.numberOf(share.fromZone);
        const auto target = names.numberOf(share.toZone);
        if (!service || !from || !target || count == maxOverflowShares)
            continue;
        ++count;
        for (const auto number : { *service, *from, *target, static_cast<std::size_t>(std::min(share.eighths, wholeOverflow)) })
            appendByte(entries, number);
    }
    auto bytes = names.toBytes();
    appendByte(bytes, count);
    return bytes + entries;
}

auto decodeOverflow(std::string_view bytes) -> std::optional<std::vector<OverflowShare>>
{
    ByteReader reader(bytes);
    std::vector<std::string> names(reader.byte());
    for (auto& name : names)
        name = reader.text(reader.byte());
    auto isKnown = true;
    const auto readName = [&reader, &names, &isKnown] {
        const auto number = reader.byte();
        isKnown = isKnown && number < names.size();
        return isKnown ? names[number] : std::string();
    };
    std::vector<OverflowShare> shares(std::min<std::size_t>(reader.byte(), maxOverflowShares));
    for (auto& share : shares) {
        share.service = readName();
        share.fromZone = readName();
        share.toZone = readName();
        share.eighths = reader.byte();
        isKnown = isKnown && share.eighths <= wholeOverflow;
    }
    return reader.isValid() && reader.isAtEnd() && isKnown ? std::optional(std::move(shares)) : std::nullopt;
}

} // namespace Primrosefork
