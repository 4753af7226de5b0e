#include "bodyadmission.h"

namespace Primrosefork {

namespace {

constexpr std::size_t budgetParts = 8;
constexpr std::size_t largeParts = 5; ///< Parts of the budget that buffers that are never given up may fill before large bodies are refused.
constexpr std::size_t smallParts = 6; ///< The same for small ones; the rest is left for answers and for bodies that arrive.

} // namespace

BodyAdmission::Share::Share(BodyAdmission& admission, std::size_t bytes)
    : admission(admission)
    , bytes(bytes)
{
    this->admission.admitted += this->bytes;
}

BodyAdmission::Share::~Share()
{
    this->admission.admitted -= this->bytes;
}

auto BodyAdmission::admits(std::size_t bytes, std::size_t pinnedBytes) const -> bool
{
    if (bytes == 0 || this->admitted == 0)
        return true;
    const auto parts = bytes > smallBytes ? largeParts : smallParts;
    return pinnedBytes + bytes <= this->budget / budgetParts * parts;
}

} // namespace Primrosefork
