#include "peerfuzzer.h"

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <gflags/gflags.h>
#include <iostream>
#include <sodium.h>

DEFINE_uint64(inputs, 1'000'000, "Number of messages to read.");
DEFINE_uint32(seed, 1, "Seed of the random generator; the same seed gives the same messages.");

auto main(int argc, char** argv) -> int
{
    if (sodium_init() < 0)
        return EXIT_FAILURE;
    try {
        gflags::SetUsageMessage("Feeds random and mutated messages to the code that reads messages of peers.");
        gflags::ParseCommandLineFlags(&argc, &argv, true);
        Primrosefork::PeerFuzzer fuzzer(FLAGS_seed);
        fuzzer.run(FLAGS_inputs);
        const auto& counts = fuzzer.counts();
        std::printf("inputs %lu, messages accepted %lu, listings accepted %lu, messages sent in answer %lu, oversized %lu\n", counts.inputs,
            counts.acceptedMessages, counts.acceptedListings, counts.sentMessages, counts.oversizedMessages);
        return counts.oversizedMessages == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return EXIT_FAILURE;
    }
}
