#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <csignal>
#include <cstdlib>
#include <sodium.h>

auto main(int argc, char** argv) -> int
{
    if (sodium_init() < 0)
        return EXIT_FAILURE;
    std::signal(SIGPIPE, SIG_IGN); // As the programs do.
    return doctest::Context(argc, argv).run();
}
