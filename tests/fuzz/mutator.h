#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <span>
#include <string>

namespace Primrosefork::Testkit {

/**
 * Makes invalid and unusual inputs from valid samples. The same seed makes the
 * same inputs.
 */
class Mutator {
public:
    explicit Mutator(std::uint32_t seed);

    /** Returns one of the \a samples, in most cases with up to four changes. */
    [[nodiscard]] auto mutate(std::span<const std::string> samples) -> std::string;

    /** Returns a random number below \a limit, which is not 0. */
    [[nodiscard]] auto below(std::size_t limit) -> std::size_t { return this->generator() % limit; }

private:
    auto change(std::string& text, std::span<const std::string> samples) -> void;
    auto replaceNumber(std::string& text) -> void;
    auto replaceJsonValue(std::string& text) -> void;
    auto overwriteWord(std::string& text) -> void;

    std::mt19937 generator;
};

} // namespace Primrosefork::Testkit
