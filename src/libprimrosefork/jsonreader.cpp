#include "jsonreader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <utility>

namespace Primrosefork {

namespace {

struct Unit {
    std::string_view name;
    std::int64_t factor;
};

constexpr std::array durationUnits { Unit { "ms", 1 }, Unit { "s", 1000 }, Unit { "m", 60'000 }, Unit { "h", 3'600'000 } };
constexpr std::array sizeUnits { Unit { "B", 1 }, Unit { "KiB", 1024 }, Unit { "MiB", 1'048'576 } };

auto hasControlCharacter(const std::string& text) -> bool
{
    return std::any_of(text.begin(), text.end(), [](unsigned char letter) { return letter < ' ' || letter == '\x7f'; });
}

/** Returns the number in \a text, which may be a fraction, in multiples of the factor one, or nothing without a number or unit. */
template <typename Units>
auto parseQuantity(const std::string& text, const Units& units) -> std::optional<double>
{
    double count = 0;
    const auto* last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, count);
    if (error != std::errc {} || !std::isfinite(count))
        return std::nullopt;
    const std::string_view suffix(end, static_cast<std::size_t>(last - end));
    for (const auto& unit : units) {
        if (suffix == unit.name)
            return count * static_cast<double>(unit.factor);
    }
    return std::nullopt;
}

/** Returns \a number as a whole one; a difference as small as that between a decimal fraction and its binary form does not count. */
auto roundTo(double number, JsonReader::Rounding rounding) -> std::int64_t
{
    constexpr double tolerance = 1e-6;
    const auto nearest = std::round(number);
    if (std::abs(number - nearest) < tolerance)
        return static_cast<std::int64_t>(nearest);
    return static_cast<std::int64_t>(rounding == JsonReader::Rounding::Up ? std::ceil(number) : std::floor(number));
}

template <typename Number>
auto rangeMessage(Number minimum, Number maximum, const std::string& unit) -> std::string
{
    return "out of range, expected " + std::to_string(minimum) + " to " + std::to_string(maximum) + unit;
}

} // namespace

JsonReader::JsonReader(const nlohmann::json& object, std::string place, Findings& findings, UnknownFields unknownFields)
    : json(object)
    , place(std::move(place))
    , findings(findings)
    , unknownFields(unknownFields)
{
}

auto JsonReader::has(const std::string& key) const -> bool
{
    return this->json.contains(key);
}

auto JsonReader::keys() const -> std::vector<std::string>
{
    std::vector<std::string> names;
    if (!this->json.is_object())
        return names;
    for (const auto& [name, value] : this->json.items())
        names.push_back(name);
    return names;
}

auto JsonReader::string(const std::string& key, std::string& value) -> void
{
    if (const auto* field = this->require(key)) {
        if (!field->is_string())
            return this->report(key, "expected a string");
        value = field->get<std::string>();
        if (value.empty())
            this->report(key, "must not be empty");
        else if (hasControlCharacter(value))
            this->report(key, "must not contain control characters");
    }
}

auto JsonReader::optionalString(const std::string& key, std::string& value) -> void
{
    if (this->find(key))
        this->string(key, value);
}

auto JsonReader::boolean(const std::string& key, bool& value) -> void
{
    if (const auto* field = this->find(key)) {
        if (!field->is_boolean())
            return this->report(key, "expected true or false");
        value = field->get<bool>();
    }
}

auto JsonReader::integer(const std::string& key, std::int64_t& value, std::int64_t minimum, std::int64_t maximum) -> void
{
    if (const auto* field = this->require(key)) {
        if (!field->is_number_integer())
            return this->report(key, "expected a whole number");
        const auto isTooLarge = field->is_number_unsigned() && field->get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
        const auto number = field->get<std::int64_t>();
        if (isTooLarge || number < minimum || number > maximum)
            return this->report(key, rangeMessage(minimum, maximum, ""));
        value = number;
    }
}

auto JsonReader::optionalInteger(const std::string& key, std::int64_t& value, std::int64_t minimum, std::int64_t maximum) -> void
{
    if (this->find(key))
        this->integer(key, value, minimum, maximum);
}

auto JsonReader::number(const std::string& key, double& value, double minimum, double maximum) -> void
{
    if (const auto* field = this->find(key)) {
        if (!field->is_number())
            return this->report(key, "expected a number");
        const auto number = field->get<double>();
        if (number < minimum || number > maximum)
            return this->report(key, rangeMessage(minimum, maximum, ""));
        value = number;
    }
}

auto JsonReader::readDuration(const std::string& key, std::chrono::milliseconds minimum, std::chrono::milliseconds maximum) -> std::optional<double>
{
    const auto* field = this->find(key);
    if (!field)
        return std::nullopt;
    if (field->is_number()) {
        this->report(key, "missing unit, write a duration as \"250ms\", \"5s\", \"2m\" or \"1h\"");
        return std::nullopt;
    }
    const auto parsed = field->is_string() ? parseQuantity(field->get<std::string>(), durationUnits) : std::nullopt;
    if (!parsed) {
        this->report(key, "expected a duration such as \"250ms\", \"5s\", \"2m\" or \"1h\"");
        return std::nullopt;
    }
    if (*parsed >= static_cast<double>(minimum.count()) && *parsed <= static_cast<double>(maximum.count()))
        return parsed;
    this->report(key, rangeMessage(minimum.count(), maximum.count(), " ms"));
    return std::nullopt;
}

auto JsonReader::duration(const std::string& key, std::chrono::milliseconds& value,
    std::chrono::milliseconds minimum, std::chrono::milliseconds maximum, Rounding rounding) -> void
{
    if (const auto milliseconds = this->readDuration(key, minimum, maximum))
        value = std::chrono::milliseconds(roundTo(*milliseconds, rounding));
}

auto JsonReader::duration(const std::string& key, std::chrono::nanoseconds& value, std::chrono::milliseconds minimum, std::chrono::milliseconds maximum) -> void
{
    constexpr double nanosecondsPerMillisecond = 1e6;
    if (const auto milliseconds = this->readDuration(key, minimum, maximum))
        value = std::chrono::nanoseconds(roundTo(*milliseconds * nanosecondsPerMillisecond, Rounding::Down));
}

auto JsonReader::size(const std::string& key, std::size_t& value, std::size_t minimum, std::size_t maximum) -> void
{
    const auto* field = this->find(key);
    if (!field)
        return;
    if (field->is_number())
        return this->report(key, "missing unit, write a size as \"512B\", \"64KiB\" or \"1MiB\"");
    const auto parsed = field->is_string() ? parseQuantity(field->get<std::string>(), sizeUnits) : std::nullopt;
    if (!parsed || *parsed < 0)
        return this->report(key, "expected a size such as \"512B\", \"64KiB\" or \"1MiB\"");
    if (*parsed < static_cast<double>(minimum) || *parsed > static_cast<double>(maximum))
        return this->report(key, rangeMessage(minimum, maximum, " B"));
    value = static_cast<std::size_t>(roundTo(*parsed, Rounding::Down));
}

auto JsonReader::address(const std::string& key, Address& value) -> void
{
    if (const auto* field = this->require(key)) {
        const auto parsed = field->is_string() ? parseAddress(field->get<std::string>()) : std::nullopt;
        if (!parsed)
            return this->report(key, "expected a numeric address such as \"127.0.0.1:8080\"");
        value = *parsed;
    }
}

auto JsonReader::optionalAddress(const std::string& key, Address& value) -> void
{
    if (this->find(key))
        this->address(key, value);
}

auto JsonReader::object(const std::string& key, const std::function<void(JsonReader&)>& read) -> void
{
    if (const auto* field = this->require(key))
        this->readObject(*field, this->placeOf(key), read);
}

auto JsonReader::optionalObject(const std::string& key, const std::function<void(JsonReader&)>& read) -> void
{
    if (const auto* field = this->find(key))
        this->readObject(*field, this->placeOf(key), read);
}

auto JsonReader::objects(const std::string& key, const std::function<void(JsonReader&)>& read) -> void
{
    const auto* field = this->find(key);
    if (!field)
        return;
    if (!field->is_array())
        return this->report(key, "expected a list");
    for (std::size_t index = 0; index < field->size(); ++index)
        this->readObject((*field)[index], this->placeOf(key) + "/" + std::to_string(index), read);
}

auto JsonReader::members(const std::string& key, const std::function<void(const std::string&, JsonReader&)>& read) -> void
{
    const auto* field = this->find(key);
    if (!field)
        return;
    if (!field->is_object())
        return this->report(key, "expected an object");
    for (const auto& [name, value] : field->items())
        this->readObject(value, this->placeOf(key) + "/" + name, [&, &name = name](JsonReader& reader) { read(name, reader); });
}

auto JsonReader::rawValue(const std::string& key, nlohmann::json& value) -> void
{
    if (const auto* field = this->require(key))
        value = *field;
}

auto JsonReader::strings(const std::string& key, std::vector<std::string>& values) -> void
{
    const auto* field = this->find(key);
    if (!field)
        return;
    if (!field->is_array())
        return this->report(key, "expected a list");
    for (const auto& item : *field) {
        if (!item.is_string())
            return this->report(key, "expected a list of strings");
        values.push_back(item.get<std::string>());
    }
}

auto JsonReader::report(const std::string& key, std::string message) -> void
{
    this->findings.push_back({ key.empty() ? this->place : this->placeOf(key), std::move(message) });
}

auto JsonReader::finish() -> void
{
    if (!this->json.is_object() || this->unknownFields == UnknownFields::Ignore)
        return;
    for (const auto& [key, value] : this->json.items()) {
        if (!this->readKeys.contains(key))
            this->report(key, "unknown key");
    }
}

auto JsonReader::find(const std::string& key) -> const nlohmann::json*
{
    this->readKeys.insert(key);
    if (!this->json.is_object())
        return nullptr;
    const auto found = this->json.find(key);
    return found == this->json.end() ? nullptr : &*found;
}

auto JsonReader::require(const std::string& key) -> const nlohmann::json*
{
    const auto* field = this->find(key);
    if (!field)
        this->report(key, "missing");
    return field;
}

auto JsonReader::readObject(const nlohmann::json& value, const std::string& place,
    const std::function<void(JsonReader&)>& read) -> void
{
    if (!value.is_object()) {
        this->findings.push_back({ place, "expected an object" });
        return;
    }
    JsonReader reader(value, place, this->findings, this->unknownFields);
    read(reader);
    reader.finish();
}

auto JsonReader::placeOf(const std::string& key) const -> std::string
{
    return this->place + "/" + key;
}

} // namespace Primrosefork
