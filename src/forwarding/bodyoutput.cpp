#include "bodyoutput.h"

#include <cstddef>
#include <event2/buffer.h>
#include <string>
#include <utility>

namespace Primrosefork {

namespace {

/** Adds \a bytes, which belong to \a owner, to \a output, and releases the owner once they have been sent. */
template <typename Owner>
auto addReference(evbuffer* output, const std::string& bytes, std::unique_ptr<Owner> owner) -> void
{
    const auto release = [](const void*, std::size_t, void* owned) { delete static_cast<Owner*>(owned); };
    if (evbuffer_add_reference(output, bytes.data(), bytes.size(), release, owner.get()) == 0)
        static_cast<void>(owner.release());
}

} // namespace

auto addShared(evbuffer* output, const std::shared_ptr<const BlockBuffer>& body) -> void
{
    using Owner = std::shared_ptr<const BlockBuffer>;
    for (const auto& block : body->blocks())
        addReference(output, block, std::make_unique<Owner>(body));
}

auto addOwned(evbuffer* output, BlockBuffer&& body) -> void
{
    for (auto& block : body.takeBlocks()) {
        auto owner = std::make_unique<std::string>(std::move(block));
        const auto& bytes = *owner;
        addReference(output, bytes, std::move(owner));
    }
}

} // namespace Primrosefork
