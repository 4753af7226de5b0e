#include <cstdlib>

auto main() -> int
{
    return EXIT_SUCCESS;
}
