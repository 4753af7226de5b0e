#include "hash.h"

#include <array>
#include <cstring>
#include <sodium.h>
#include <vector>

namespace Primrosefork {

namespace {

auto toHex(const unsigned char* data, std::size_t size) -> std::string
{
    std::string text(size * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), data, size);
    text.pop_back();
    return text;
}

} // namespace

auto sha256Hex(std::string_view text) -> std::string
{
    std::array<unsigned char, crypto_hash_sha256_BYTES> digest {};
    crypto_hash_sha256(digest.data(), reinterpret_cast<const unsigned char*>(text.data()), text.size());
    return toHex(digest.data(), digest.size());
}

auto hash64(std::string_view text) -> std::uint64_t
{
    static constexpr std::array<unsigned char, crypto_shorthash_KEYBYTES> key {};
    std::uint64_t value = 0;
    std::array<unsigned char, crypto_shorthash_BYTES> digest {};
    crypto_shorthash(digest.data(), reinterpret_cast<const unsigned char*>(text.data()), text.size(), key.data());
    std::memcpy(&value, digest.data(), sizeof value);
    return value;
}

auto randomHex(std::size_t bytes) -> std::string
{
    std::vector<unsigned char> data(bytes);
    randombytes_buf(data.data(), data.size());
    return toHex(data.data(), data.size());
}

} // namespace Primrosefork
