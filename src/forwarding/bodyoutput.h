#pragma once

#include "blockbuffer.h"

#include <memory>

struct evbuffer;

namespace Primrosefork {

/** Adds \a body to \a output without a copy; its bytes are shared and released once they have been sent. */
auto addShared(evbuffer* output, const std::shared_ptr<const BlockBuffer>& body) -> void;

/** Adds \a body to \a output without a copy; each block is released once it has been sent. */
auto addOwned(evbuffer* output, BlockBuffer&& body) -> void;

} // namespace Primrosefork
