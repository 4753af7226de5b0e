#include "tokentext.h"

#include "hash.h"

namespace Primrosefork {

namespace {

constexpr std::uint64_t wordCount = 9973;
constexpr std::uint64_t stride = 7919; ///< Coprime to wordCount, so that neighbouring tokens differ.

} // namespace

auto tokenText(std::string_view prompt, std::int64_t offset) -> std::string
{
    const auto word = (hash64(prompt) + static_cast<std::uint64_t>(offset) * stride) % wordCount;
    return "w" + std::to_string(word) + " ";
}

auto variantTokenText(std::string_view history, std::string_view variant) -> std::string
{
    const auto seed = std::string(variant) + ":" + std::string(history);
    return "w" + std::to_string(hash64(seed) % wordCount) + std::string(variant) + " ";
}

} // namespace Primrosefork
