#pragma once

#include "cassiahollow/process/Types.h"

#include <boost/intrusive/list.hpp>
#include <cstddef>

namespace cassiahollow {

/// How the memory of a machine is divided. All in bytes.
struct MemoryLimits {
    std::size_t total_ { 0 }; ///< For all that is buffered; 0: nothing is limited.
    std::size_t reserved_ { 0 }; ///< The part of `total_` that only connections and statements with little use.
    std::size_t maximumConnections_ { 0 }; ///< Of clients.
};

/// What the process itself needs without clients: its program, threads, endpoints and catalog, and what the allocator
/// cannot give back. A process at rest has about 20 MiB.
inline constexpr std::size_t processBytes = 32 << 20;
/// Of each connection: the structures of libwebsockets, the session, and the system's socket.
inline constexpr std::size_t connectionBytes = 8 << 10;
/// Buffers up to this size are those of ordinary clients: a statement and its answer have a few hundred bytes.
inline constexpr std::size_t smallBytes = 16 << 10;
/// A statement exists this many times at once: as received, parsed, encoded for its endpoint and queued there.
inline constexpr std::size_t copiesOfStatement = 4;

/// The limits on a machine with this much memory; none for 0.
MemoryLimits memoryLimits(std::size_t machineBytes);

/// What one client's connection holds. Linked into the budget from openCharge() to closeCharge().
struct MemoryCharge : boost::intrusive::list_base_hook<> {
    std::size_t bytes_ { 0 }; ///< Buffers, without `connectionBytes`.
    bool isStarted_ { false }; ///< The client has opened its session.
    bool isOpen_ { false };
    TimePoint begun_; ///< Since when it holds more than `smallBytes`.
};

/// The memory that the clients of one process use. Connections of the instance itself are counted and never closed.
struct MemoryBudget {
    MemoryLimits limits_;
    std::size_t connections_ { 0 }; ///< Of clients.
    std::size_t used_ { 0 }; ///< All together, with `connectionBytes` of each client.
    std::size_t large_ { 0 }; ///< The part of connections and statements above `smallBytes`.
    std::size_t clients_ { 0 }; ///< The part of client connections, without `connectionBytes`.
    boost::intrusive::list<MemoryCharge> charges_;
};

/// Whether one more client may connect.
bool mayConnect(const MemoryBudget&);
/// A client has connected, or gone.
void openCharge(MemoryBudget&, MemoryCharge&);
void closeCharge(MemoryBudget&, MemoryCharge&);
/// Sets what a client's connection holds.
void setCharge(MemoryBudget&, MemoryCharge&, std::size_t bytes, TimePoint now);

/// Whether a statement that needs this much may be taken in. It has to be refused as not run otherwise.
bool mayHold(const MemoryBudget&, std::size_t bytes);
/// Counts what is no client's connection: statements under way, and connections of the instance itself.
void hold(MemoryBudget&, std::size_t bytes);
void release(MemoryBudget&, std::size_t bytes);

/// The client that has to be closed now, or null if all fits or no client holds anything: the largest, where one
/// without a session counts twice, and among equals the one that has been large for the longest.
MemoryCharge* nextToClose(MemoryBudget&);

/// Whether reading from clients stops, because what fills the memory is not theirs and ends by itself.
bool isReadingStopped(const MemoryBudget&);

} // namespace cassiahollow
