#pragma once

#include "address.h"
#include "finding.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

namespace Primrosefork {

/**
 * Reads one JSON object field by field and collects a finding for each field
 * that is missing, unknown, of the wrong type or out of range.
 *
 * Reading continues after a finding, so that one run reports all of them. A
 * number that is out of range is not read. Texts have no control characters.
 * finish() reports the fields that were not read, except with
 * UnknownFields::Ignore, which is for documents of other systems: these may have
 * more fields than are read.
 */
class JsonReader {
public:
    /** Whether fields that are not read are reported as findings. */
    enum class UnknownFields {
        Report,
        Ignore,
    };

    /** How a duration that is no whole number of its unit is rounded. */
    enum class Rounding {
        Down,
        Up,
    };

    JsonReader(const nlohmann::json& object, std::string place, Findings&, UnknownFields = UnknownFields::Report);

    [[nodiscard]] auto has(const std::string& key) const -> bool;

    /** Returns the names of all fields of the object. */
    [[nodiscard]] auto keys() const -> std::vector<std::string>;

    auto string(const std::string& key, std::string& value) -> void;
    auto optionalString(const std::string& key, std::string& value) -> void;
    auto boolean(const std::string& key, bool& value) -> void;
    auto integer(const std::string& key, std::int64_t& value, std::int64_t minimum, std::int64_t maximum) -> void;
    auto optionalInteger(const std::string& key, std::int64_t& value, std::int64_t minimum, std::int64_t maximum) -> void;
    auto number(const std::string& key, double& value, double minimum, double maximum) -> void;

    /** Reads a duration with its unit, such as "250ms", "7.5s", "2m" or "1h". */
    auto duration(const std::string& key, std::chrono::milliseconds& value,
        std::chrono::milliseconds minimum, std::chrono::milliseconds maximum, Rounding = Rounding::Down) -> void;

    /** Reads a duration whose multiples have to be exact. */
    auto duration(const std::string& key, std::chrono::nanoseconds& value,
        std::chrono::milliseconds minimum, std::chrono::milliseconds maximum) -> void;

    /** Reads a size with its unit, such as "512B", "64KiB" or "1.5MiB", and sets \a value in bytes, rounded down. */
    auto size(const std::string& key, std::size_t& value, std::size_t minimum, std::size_t maximum) -> void;

    auto address(const std::string& key, Address& value) -> void;
    auto optionalAddress(const std::string& key, Address& value) -> void;

    /** Calls \a read with a reader of the object at \a key. */
    auto object(const std::string& key, const std::function<void(JsonReader&)>& read) -> void;
    auto optionalObject(const std::string& key, const std::function<void(JsonReader&)>& read) -> void;

    /** Calls \a read with a reader of each object of the list at \a key. */
    auto objects(const std::string& key, const std::function<void(JsonReader&)>& read) -> void;

    /** Calls \a read with the key and a reader of each member of the object at \a key. */
    auto members(const std::string& key, const std::function<void(const std::string&, JsonReader&)>& read) -> void;

    /** Reads the value at \a key, which may be of any type. */
    auto rawValue(const std::string& key, nlohmann::json& value) -> void;

    auto strings(const std::string& key, std::vector<std::string>& values) -> void;

    /** Adds a finding with \a message for the field \a key, or for the object itself when \a key is empty. */
    auto report(const std::string& key, std::string message) -> void;

    /** Adds a finding for every field that was not read, unless unknown fields are ignored. */
    auto finish() -> void;

private:
    /** Returns the duration at \a key in milliseconds, or nothing when there is none in the range. */
    auto readDuration(const std::string& key, std::chrono::milliseconds minimum, std::chrono::milliseconds maximum) -> std::optional<double>;
    auto find(const std::string& key) -> const nlohmann::json*;
    auto require(const std::string& key) -> const nlohmann::json*;
    auto readObject(const nlohmann::json& value, const std::string& place,
        const std::function<void(JsonReader&)>& read) -> void;
    [[nodiscard]] auto placeOf(const std::string& key) const -> std::string;

    const nlohmann::json& json;
    std::string place;
    Findings& findings;
    UnknownFields unknownFields;
    std::set<std::string> readKeys;
};

} // namespace Primrosefork
