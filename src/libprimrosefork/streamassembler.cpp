#include "streamassembler.h"

#include "errors.h"

#include <utility>

namespace Primrosefork {

namespace {

constexpr std::size_t maxEarlyTokens = 64;

} // namespace

StreamAssembler::StreamAssembler(std::int64_t firstOffset)
    : nextOffset(firstOffset)
{
}

auto StreamAssembler::add(std::int64_t offset, std::string text) -> std::error_code
{
    if (offset < this->nextOffset)
        return {};
    if (offset > this->nextOffset) {
        this->early.emplace(offset, std::move(text));
        return this->early.size() > maxEarlyTokens ? make_error_code(Error::BadAnswer) : std::error_code {};
    }
    this->ready.push_back(std::move(text));
    ++this->nextOffset;
    for (auto next = this->early.begin(); next != this->early.end() && next->first == this->nextOffset; next = this->early.erase(next)) {
        this->ready.push_back(std::move(next->second));
        ++this->nextOffset;
    }
    return {};
}

auto StreamAssembler::take() -> std::string
{
    auto text = std::move(this->ready.front());
    this->ready.pop_front();
    return text;
}

} // namespace Primrosefork
