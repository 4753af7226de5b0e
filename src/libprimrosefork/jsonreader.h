#pragma once

#include "address.h"
#include "finding.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace Primrosefork {

/**
 * Reads one JSON object field by field and collects a finding for each field
 * that is missing, unknown, of the wrong type or out of range.
 *
 * Reading goes on after a finding, so that one run reports all of them.
 * finish() reports the fields that nobody asked for, unless the document is
 * another system's, which may have more than is read.
 */
class JsonReader {
public:
    /** Whether fields that nobody asks for are findings. */
    enum class UnknownFields {
        Report,
        Ignore,
    };

    JsonReader(const nlohmann::json& object, std::string place, Findings&, UnknownFields = UnknownFields::Report);

    [[nodiscard]] auto has(const std::string& key) const -> bool;

    /** Returns the names of all fields of the object. */
    [[nodiscard]] auto keys() const -> std::vector<std::string>;

    auto string(const std::string& key, std::string& value) -> void;
    auto optionalString(const std::string& key, std::string& value) -> void;
    auto boolean(const std::string& key, bool& value) -> void;
    auto integer(const std::string& key, std::int64_t& value, std::int64_t least, std::int64_t most) -> void;
    auto optionalInteger(const std::string& key, std::int64_t& value, std::int64_t least, std::int64_t most) -> void;
    auto number(const std::string& key, double& value, double least, double most) -> void;

    /** Reads a duration with its unit, "250ms", "5s", "2m" or "1h". */
    auto duration(const std::string& key, std::chrono::milliseconds& value,
        std::chrono::milliseconds least, std::chrono::milliseconds most) -> void;

    /** Reads a size with its unit, "512B", "64KiB" or "1MiB", in bytes. */
    auto size(const std::string& key, std::size_t& value, std::size_t least, std::size_t most) -> void;

    auto address(const std::string& key, Address& value) -> void;
    auto optionalAddress(const std::string& key, Address& value) -> void;

    /** Calls \a read with a reader of the object at \a key. */
    auto object(const std::string& key, const std::function<void(JsonReader&)>& read) -> void;
    auto optionalObject(const std::string& key, const std::function<void(JsonReader&)>& read) -> void;

    /** Calls \a read with a reader of each object of the list at \a key. */
    auto objects(const std::string& key, const std::function<void(JsonReader&)>& read) -> void;

    /** Calls \a read with the key and a reader of each member of the object at \a key. */
    auto members(const std::string& key, const std::function<void(const std::string&, JsonReader&)>& read) -> void;

    /** Takes the value at \a key over as it is. */
    auto any(const std::string& key, nlohmann::json& value) -> void;

    auto strings(const std::string& key, std::vector<std::string>& values) -> void;

    /** Reports \a message at the field \a key, or at the object itself when it is empty. */
    auto report(const std::string& key, std::string message) -> void;

    /** Reports every field that no call above asked for. */
    auto finish() -> void;

private:
    auto find(const std::string& key) -> const nlohmann::json*;
    auto require(const std::string& key) -> const nlohmann::json*;
    auto readObject(const nlohmann::json& value, const std::string& place,
        const std::function<void(JsonReader&)>& read) -> void;
    [[nodiscard]] auto placeOf(const std::string& key) const -> std::string;

    const nlohmann::json& json;
    std::string place;
    Findings& findings;
    UnknownFields unknownFields;
    std::set<std::string> known;
};

} // namespace Primrosefork
