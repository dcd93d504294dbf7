#pragma once

#include "cassiahollow/process/Types.h"

#include <cstdint>
#include <string>

namespace cassiahollow::fake {

/// The messages between the fakes. Each one sent is a step of a run.
enum class MessageKind : std::uint8_t {
    Connect,
    Close,
    Heartbeat,
    Report,
    Order,
    OrderAnswer,
    Vote,
    Run,
    RunAnswer,
    Pull,
    PullAnswer,
};

enum class FaultKind : std::uint8_t {
    Crash, ///< The process ends: connections are closed and refused until it is started again.
    PowerLoss, ///< The machine is gone for a while: nothing answers.
    Restart,
    Lost,
    Repeated, ///< The message arrives again after the duration.
    Delayed,
    Reordered, ///< Later messages overtake it.
    SilentConnection, ///< The connection that carries the message delivers nothing from now on.
    CutOut, ///< Messages from the data centre of the node to others are lost.
    CutIn,
    CutBoth,
    Freeze, ///< The node does nothing for the duration and then goes on with what has arrived.
    Count,
};

/// One fault, injected when the message with number `step_` is sent.
struct Fault {
    FaultKind kind_ { FaultKind::Lost };
    std::uint64_t step_ { 0 };
    bool atReceiver_ { false }; ///< The node is the receiver of the message, otherwise its sender.
    Duration duration_ { std::chrono::seconds(2) };
    bool twice_ { false }; ///< Once more at the next message of the same kind between the same nodes.
    Duration afterHeal_ {}; ///< For a second fault with step 0: this long after the first one has healed.
    // Set by the simulation.
    bool injected_ { false };
    bool rearmed_ { false };
    MessageKind kindSeen_ { MessageKind::Connect };
    int from_ { 0 };
    int to_ { 0 };
};

/// The guarantees that a run is checked for.
enum class Violation : std::uint8_t {
    AcknowledgedWriteLost,
    OldPrimaryAcknowledged, ///< A write was acknowledged that no majority held before it promised a newer term.
    TwoPrimaries, ///< Two endpoints were promoted in one term.
    NoRecovery, ///< No write was acknowledged within 16 s after the faults had healed.
};

} // namespace cassiahollow::fake
