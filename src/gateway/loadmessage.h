#pragma once

#include "loadanswer.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Primrosefork {

struct FleetMessage;

/**
 * Returns the loads in the report and the answer of \a message, serialised in few bytes: empty when there are none.
 *
 * They follow the rest of the message as blocks with a kind and a length, so that nodes of versions
 * without them read the message all the same, and blocks of later kinds are skipped.
 */
[[nodiscard]] auto encodeLoads(const FleetMessage& message) -> std::string;

/** Reads the loads in \a bytes into the report and the answer of \a message; returns whether the bytes are valid. */
[[nodiscard]] auto decodeLoads(std::string_view bytes, FleetMessage& message) -> bool;

} // namespace Primrosefork
