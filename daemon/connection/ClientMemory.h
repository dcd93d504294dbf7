#pragma once

#include "cassiahollow/connection/MemoryBudget.h"
#include "cassiahollow/process/Metrics.h"
#include "cassiahollow/process/Reasons.h"

#include <functional>
#include <string_view>

namespace cassiahollow {

class ClientMemory;

/// A client's connection as its owner sees it: what it holds, and how it is closed.
class ClientShare : private MemoryCharge {
public:
    /// Called when the client has to be closed to make room; never while the owner is at work.
    using Close = std::function<void(Reason)>;

    ClientShare() = default;
    ~ClientShare() { close(); }
    ClientShare(const ClientShare&) = delete;
    ClientShare& operator=(const ClientShare&) = delete;

    void open(ClientMemory&, Close);
    void close();
    bool isOpen() const { return memory_ != nullptr; }
    /// Sets what the connection holds.
    void set(std::size_t bytes);
    void start() { isStarted_ = true; }
    bool isStarted() const { return isStarted_; }
    std::size_t bytes() const { return bytes_; }

private:
    friend class ClientMemory;

    ClientMemory* memory_ { nullptr };
    Close close_;
};

/// Memory that is no client's connection, such as a statement under way. Released with the object.
class HeldMemory {
public:
    HeldMemory() = default;
    ~HeldMemory() { reset(); }
    HeldMemory(const HeldMemory&) = delete;
    HeldMemory& operator=(const HeldMemory&) = delete;

    /// False if there is no room.
    bool take(ClientMemory&, std::size_t bytes);
    /// Counts also what does not fit.
    void set(ClientMemory&, std::size_t bytes);
    void reset();

private:
    ClientMemory* memory_ { nullptr };
    std::size_t bytes_ { 0 };
};

/// The budget of this process with the connections in it. Lives on the loop's thread.
class ClientMemory {
public:
    /// A client was closed or refused.
    struct Event {
        Reason reason_;
        std::string_view listener_;
        std::size_t bytes_ { 0 }; ///< What its connection held.
        bool isStarted_ { false };
    };
    using Report = std::function<void(const Event&)>;

    ClientMemory() = default;
    ClientMemory(const ClientMemory&) = delete;
    ClientMemory& operator=(const ClientMemory&) = delete;

    /// Before any listener starts. Without a call, nothing is limited.
    void configure(std::size_t machineBytes, Report);
    bool isLimited() const { return budget_.limits_.total_ > 0; }
    const MemoryBudget& budget() const { return budget_; }
    void report(const Event&) const;

    /// Closes clients until all fits. Only where no owner of a connection is at work.
    void relieve();

private:
    friend class ClientShare;
    friend class HeldMemory;

    MemoryBudget budget_;
    Report report_;
};

/// Counts the event and writes a line of the event log.
void reportClosedClient(Metrics&, const ClientMemory&, const ClientMemory::Event&);

/// The gauges of the budget; none without a limit.
void setMemoryGauges(Metrics&, const ClientMemory&);

} // namespace cassiahollow
