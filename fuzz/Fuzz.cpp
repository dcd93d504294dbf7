#include "Decoders.h"

#include <chrono>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <iterator>

DEFINE_string(decoder, "", "name of the decoder; empty for all");
DEFINE_uint64(seconds, 60, "how long to run, for each decoder");
DEFINE_uint64(seed, 0, "seed of the mutations; 0 chooses one");
DEFINE_string(last_input, "", "file that gets the hex of each input before it is decoded, for inputs that crash");

using namespace cassiahollow::fuzz;

namespace {

/// Returns false on a fault.
bool run(const Decoder& decoder, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(FLAGS_seconds);
    std::uint64_t inputs = 0;
    std::uint64_t accepted = 0;
    while (std::chrono::steady_clock::now() < end) {
        const auto input = mutate(decoder.seeds_, random);
        if (!FLAGS_last_input.empty())
            std::ofstream(FLAGS_last_input) << decoder.name_ << ' ' << hex(input) << '\n';
        const auto verdict = checkInput(decoder, input);
        ++inputs;
        if (verdict.accepted_)
            ++accepted;
        if (!verdict.fault_.empty()) {
            std::cout << decoder.name_ << ": " << verdict.fault_ << "\nseed " << seed << ", input number " << inputs
                      << "\ninput " << hex(input) << '\n';
            return false;
        }
    }
    std::cout << decoder.name_ << ": " << inputs << " inputs, " << accepted << " accepted, no fault\n";
    return true;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("runs decoders on mutated inputs");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::uint64_t seed = FLAGS_seed != 0 ? FLAGS_seed : std::random_device {}();
    // Printed first and flushed, because a crash prints nothing.
    std::cout << "seed " << seed << std::endl;
    bool found = false;
    bool passed = true;
    for (const auto& decoder : allDecoders()) {
        if (!FLAGS_decoder.empty() && decoder.name_ != FLAGS_decoder)
            continue;
        found = true;
        passed = run(decoder, seed) && passed;
    }
    if (!found) {
        std::cerr << "no decoder " << FLAGS_decoder << "; choose one of";
        for (const auto& decoder : allDecoders())
            std::cerr << ' ' << decoder.name_;
        std::cerr << '\n';
        return 2;
    }
    return passed ? 0 : 1;
}
