#include <array>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace {

namespace fs = std::filesystem;

/** Names that occur only in the platform's wire formats. */
constexpr std::array wireNames { "X-Attempt-Id", "X-Response-Seal", "X-Deadline-Ms", "X-Expect-Instance", "X-Tenant", "X-Instance-Load", "X-Not-Executed",
    "X-Duty-Holder", "X-Fence-Token", "X-Token-Counts", "X-Prompt-Prefix", "X-Request-Priority", "X-Kv-Backup", "Kv-From", "Kv-Fetch", "/kv-", "/hold-",
    "op/config", "servers/", "route-type", "slo-ms", "max-attempts", "can-resume", "gap-aim-ms", "api-keys", "rate-per-s", "autoscale", "spot-price",
    "window-id", "cold-left-ms", "expect-rev", "allow-stale", "tombstone", "Server-Limit", "Store-Era", "op/rollout", "status/rollout", "over-s", "rolled_back", "token_stream", "non_idempotent" };

auto readText(const fs::path& path) -> std::string
{
    const std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

auto isSource(const fs::path& path) -> bool
{
    return path.extension() == ".h" || path.extension() == ".cpp";
}

TEST_CASE("no source of the product contains a name of the platform's wire formats")
{
    for (const auto& entry : fs::recursive_directory_iterator(SOURCE_FOLDER "/src")) {
        if (!isSource(entry.path()))
            continue;
        const auto text = readText(entry.path());
        for (const auto* name : wireNames) {
            CAPTURE(entry.path().string());
            CAPTURE(name);
            CHECK(text.find(name) == std::string::npos);
        }
    }
}

TEST_CASE("no source of the product but main.cpp includes the adapter")
{
    for (const auto& entry : fs::recursive_directory_iterator(SOURCE_FOLDER "/src")) {
        if (!isSource(entry.path()) || entry.path() == fs::path(SOURCE_FOLDER "/src/node/main.cpp"))
            continue;
        const auto text = readText(entry.path());
        for (const auto& header : fs::directory_iterator(SOURCE_FOLDER "/platform")) {
            if (header.path().extension() != ".h")
                continue;
            CAPTURE(entry.path().string());
            CHECK(text.find("#include \"" + header.path().filename().string() + "\"") == std::string::npos);
        }
    }
}

} // namespace
