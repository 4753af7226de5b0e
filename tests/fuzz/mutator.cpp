#include "mutator.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace Primrosefork::Testkit {

namespace {

constexpr std::size_t maxChanges = 4;
constexpr std::size_t maxRepeats = 64;
constexpr std::size_t maxInput = 65'536; ///< Size in bytes above which nothing is repeated.
constexpr std::size_t byteValues = 256;

constexpr std::array<std::string_view, 16> numbers { "0", "-1", "1", "2147483648", "4294967296", "9223372036854775807", "-9223372036854775808", "9223372036854775808",
    "18446744073709551615", "99999999999999999999999999", "1e308", "-1e308", "1e999", "0.5", "nan", "inf" };

constexpr std::array<std::string_view, 10> values { "null", "true", "[]", "{}", "\"\"", "\"a\\r\\nb\"", "\"\\u0000\"", "[[[[[[[[]]]]]]]]", "{\"a\":{\"b\":[1]}}", "-1" };

constexpr std::string_view digits = "0123456789";

/** Four and eight bytes that stand for extreme numbers: all ones, the largest signed number, not a number, infinity. */
constexpr std::array<std::string_view, 8> words { "\xff\xff\xff\xff", "\xff\xff\xff\x7f", std::string_view("\x00\x00\xc0\x7f", 4), std::string_view("\x00\x00\x80\xff", 4),
    "\xff\xff\xff\xff\xff\xff\xff\xff", "\xff\xff\xff\xff\xff\xff\xff\x7f", std::string_view("\x00\x00\x00\x00\x00\x00\xf8\x7f", 8),
    std::string_view("\x00\x00\x00\x00\x00\x00\x00\x80", 8) };

} // namespace

Mutator::Mutator(std::uint32_t seed)
    : generator(seed)
{
}

auto Mutator::mutate(std::span<const std::string> samples) -> std::string
{
    auto text = samples[this->below(samples.size())];
    for (auto left = this->below(maxChanges + 1); left > 0 && !text.empty(); --left)
        this->change(text, samples);
    return text;
}

auto Mutator::change(std::string& text, std::span<const std::string> samples) -> void
{
    constexpr std::size_t kinds = 10;
    if (text.empty())
        return;
    const auto place = this->below(text.size());
    const auto length = 1 + this->below(text.size() - place);
    const auto& other = samples[this->below(samples.size())];
    switch (this->below(kinds)) {
    case 0:
        text[place] = static_cast<char>(text[place] ^ (1 << this->below(8)));
        break;
    case 1:
        text[place] = static_cast<char>(this->below(byteValues));
        break;
    case 2:
        text.insert(place, 1, static_cast<char>(this->below(byteValues)));
        break;
    case 3:
        text.resize(place);
        break;
    case 4:
        text.erase(place, length);
        break;
    case 5:
        for (auto left = 1 + this->below(maxRepeats); left > 0 && text.size() < maxInput; --left)
            text.insert(place, text.substr(place, length));
        break;
    case 6:
        text = text.substr(0, place) + other.substr(std::min(other.size(), this->below(other.size() + 1)));
        break;
    case 7:
        this->replaceJsonValue(text);
        break;
    case 8:
        this->overwriteWord(text);
        break;
    default:
        this->replaceNumber(text);
        break;
    }
}

auto Mutator::replaceNumber(std::string& text) -> void
{
    const auto start = text.find_first_of(digits, this->below(text.size()));
    if (start == std::string::npos)
        return;
    const auto end = std::min(text.find_first_not_of(digits, start), text.size());
    text.replace(start, end - start, numbers[this->below(numbers.size())]);
}

auto Mutator::replaceJsonValue(std::string& text) -> void
{
    const auto colon = text.find(':', this->below(text.size()));
    if (colon == std::string::npos)
        return;
    const auto end = std::min(text.find_first_of(",}]", colon), text.size());
    text.replace(colon + 1, end - colon - 1, values[this->below(values.size())]);
}

auto Mutator::overwriteWord(std::string& text) -> void
{
    const auto word = words[this->below(words.size())];
    text.replace(this->below(text.size()), word.size(), word);
}

} // namespace Primrosefork::Testkit
