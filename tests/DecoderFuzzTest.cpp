#include "Decoders.h"

#include <catch2/catch.hpp>
#include <set>

using namespace cassiahollow::fuzz;

namespace {

constexpr std::uint64_t fixedSeed = 20261204;
constexpr int inputsPerDecoder = 3000;

} // namespace

// Guards against seeds that the decoder refuses, whose mutations would test little more than the first check.
TEST_CASE("every decoder has a unique name and accepts its seeds")
{
    std::set<std::string_view> names;
    for (const auto& decoder : allDecoders()) {
        INFO(decoder.name_);
        CHECK(names.insert(decoder.name_).second);
        CHECK(decoder.seeds_.size() > 1);
        for (const auto& seed : decoder.seeds_) {
            const auto verdict = checkInput(decoder, seed);
            INFO(hex(seed));
            CHECK(verdict.accepted_);
            CHECK(verdict.fault_.empty());
        }
    }
}

// Guards against a crash, an exception or a refusal without a reason from bytes of outside, and against an accepted
// message that changes when it is passed on.
TEST_CASE("no decoder breaks a rule on mutated inputs")
{
    for (const auto& decoder : allDecoders()) {
        std::mt19937_64 random(fixedSeed);
        int refused = 0;
        for (int i = 0; i < inputsPerDecoder; ++i) {
            const auto input = mutate(decoder.seeds_, random);
            const auto verdict = checkInput(decoder, input);
            if (!verdict.accepted_)
                ++refused;
            if (!verdict.fault_.empty())
                FAIL_CHECK(decoder.name_ << ": " << verdict.fault_ << ": " << hex(input));
        }
        INFO(decoder.name_);
        // Otherwise the decoder or the mutation does nothing.
        CHECK(refused > inputsPerDecoder / 100);
    }
}
