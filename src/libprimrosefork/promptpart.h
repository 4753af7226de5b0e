#pragma once

#include <cstdint>

namespace Primrosefork {

/** A part of a prompt that requests may share; a cached part can be reused when all parts before it are the same. */
struct PromptPart {
    std::uint64_t id = 0;
    std::int64_t tokens = 0;
};

} // namespace Primrosefork
