#include "claimrecord.h"

#include "hash.h"

#include <array>
#include <nlohmann/json.hpp>
#include <sodium.h>

namespace Primrosefork {

namespace {

using Json = nlohmann::json;

struct StateName {
    ClaimState state;
    const char* name;
};

constexpr std::array stateNames {
    StateName { ClaimState::Claimed, "claimed" },
    StateName { ClaimState::NotRun, "not_run" },
    StateName { ClaimState::Answered, "answered" },
    StateName { ClaimState::Unknown, "unknown" },
};

auto nameOfState(ClaimState state) -> const char*
{
    for (const auto& entry : stateNames) {
        if (entry.state == state)
            return entry.name;
    }
    return "unknown";
}

auto findState(const std::string& name) -> std::optional<ClaimState>
{
    for (const auto& entry : stateNames) {
        if (name == entry.name)
            return entry.state;
    }
    return std::nullopt;
}

auto toBase64(const std::string& bytes) -> std::string
{
    constexpr auto variant = sodium_base64_VARIANT_ORIGINAL;
    std::string text(sodium_base64_encoded_len(bytes.size(), variant), '\0');
    sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), variant);
    text.pop_back();
    return text;
}

auto fromBase64(const std::string& text) -> std::optional<std::string>
{
    std::string bytes(text.size(), '\0');
    std::size_t size = 0;
    auto* target = reinterpret_cast<unsigned char*>(bytes.data());
    if (sodium_base642bin(target, bytes.size(), text.data(), text.size(), nullptr, &size, nullptr, sodium_base64_VARIANT_ORIGINAL) != 0)
        return std::nullopt;
    bytes.resize(size);
    return bytes;
}

auto readAnswer(const Json& json) -> std::optional<KeptAnswer>
{
    const auto body = fromBase64(json.at("body").get<std::string>());
    if (!body)
        return std::nullopt;
    return KeptAnswer { json.at("status").get<int>(), json.at("content_type").get<std::string>(), *body, json.at("whole").get<bool>() };
}

auto readRecord(const Json& json) -> std::optional<ClaimRecord>
{
    const auto state = findState(json.at("state").get<std::string>());
    if (!state)
        return std::nullopt;
    ClaimRecord record;
    record.state = *state;
    record.node = json.at("node").get<std::string>();
    record.writeId = json.at("write_id").get<std::string>();
    record.digest = json.at("digest").get<std::string>();
    record.remaining = std::chrono::milliseconds(json.at("remaining_ms").get<std::int64_t>());
    if (record.state != ClaimState::Answered)
        return record;
    const auto answer = readAnswer(json.at("answer"));
    if (!answer)
        return std::nullopt;
    record.answer = *answer;
    return record;
}

} // namespace

auto claimKey(const std::string& workspace, const std::string& service, std::string_view requestKey) -> std::string
{
    return "claims/" + workspace + "/" + service + "/" + sha256Hex(requestKey);
}

auto callDigest(const std::string& route, const std::string& body) -> std::string
{
    return sha256Hex(route + "\n" + body);
}

auto dropOversizedBody(KeptAnswer answer, std::size_t maxBytes) -> KeptAnswer
{
    if (answer.body.size() <= maxBytes)
        return answer;
    answer.body.clear();
    answer.isComplete = false;
    return answer;
}

auto encodeClaim(const ClaimRecord& record) -> std::string
{
    Json json { { "state", nameOfState(record.state) }, { "node", record.node }, { "write_id", record.writeId }, { "digest", record.digest },
        { "remaining_ms", record.remaining.count() } };
    if (record.state == ClaimState::Answered) {
        const auto& answer = record.answer;
        json["answer"] = { { "status", answer.status }, { "content_type", answer.contentType }, { "body", toBase64(answer.body) }, { "whole", answer.isComplete } };
    }
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

auto decodeClaim(std::string_view value) -> std::optional<ClaimRecord>
{
    const auto json = Json::parse(value, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    try {
        return readRecord(json);
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

} // namespace Primrosefork
