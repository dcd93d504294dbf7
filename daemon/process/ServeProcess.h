#pragma once

#include "cassiahollow/process/Types.h"

#include <csignal>

namespace cassiahollow {

/// What every serving process does before it starts a thread: takes all the files it may open, ignores broken pipes,
/// and blocks the signals that one of its threads waits for, which are returned.
sigset_t prepareProcess();

/// Higher at each start, because the clock of a machine moves on by more than a millisecond between two starts.
Incarnation newIncarnation();

} // namespace cassiahollow
