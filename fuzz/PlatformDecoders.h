#pragma once

#include "Decoders.h"

#include <vector>

namespace cassiahollow::fuzz {

/// The decoders of the line protocol's roles.
std::vector<Decoder> platformDecoders();

} // namespace cassiahollow::fuzz
