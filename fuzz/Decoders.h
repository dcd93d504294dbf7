#pragma once

#include <functional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace cassiahollow::fuzz {

/// What one input showed about a decoder.
struct Verdict {
    bool accepted_ { false };
    std::string fault_; ///< Empty unless the decoder or its encoder broke a rule; then which one.
};

/// A decoder of bytes from outside the process.
struct Decoder {
    std::string_view name_;
    /// Decodes the bytes. A refusal needs a reason; an accepted value has to survive its encoder. May throw what the
    /// decoder throws.
    std::function<Verdict(const std::string& bytes)> decode_;
    std::vector<std::string> seeds_; ///< Valid inputs, made by the matching encoder where there is one.
};

/// All decoders. Names are unique. Turns off the log of protobuf for the process.
std::vector<Decoder> allDecoders();

/// Runs a decoder; an exception becomes a fault.
Verdict checkInput(const Decoder&, const std::string& bytes);

/// Makes an input from the seeds by a few bit flips, truncations, splices, repeated or inserted blocks, extreme
/// integers or deep nesting. The result depends only on the seeds and the state of the generator.
std::string mutate(const std::vector<std::string>& seeds, std::mt19937_64&);

/// The bytes as lowercase hexadecimal digits.
std::string hex(std::string_view bytes);

} // namespace cassiahollow::fuzz
