#include "backendload.h"

#include "hash.h"

namespace Primrosefork {

auto loadKeyOf(const std::string& id) -> std::uint32_t
{
    return static_cast<std::uint32_t>(hash64(id));
}

} // namespace Primrosefork
