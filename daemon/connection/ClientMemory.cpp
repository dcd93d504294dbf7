#include "connection/ClientMemory.h"

#include "process/EventLog.h"

#include <malloc.h>
#include <utility>

namespace cassiahollow {

namespace {

    // Larger buffers are mapped one by one, so that the system has them back at once. Ordinary requests have none.
    constexpr int mappedBytes = 128 << 10;
    // Each thread's own heap keeps what it has freed.
    constexpr int maximumHeaps = 2;

} // namespace

void ClientShare::open(ClientMemory& memory, Close close)
{
    memory_ = &memory;
    close_ = std::move(close);
    openCharge(memory.budget_, *this);
}

void ClientShare::close()
{
    if (memory_)
        closeCharge(std::exchange(memory_, nullptr)->budget_, *this);
    close_ = nullptr;
}

void ClientShare::set(std::size_t bytes)
{
    if (memory_ && bytes != bytes_)
        setCharge(memory_->budget_, *this, bytes, Clock::now());
}

bool HeldMemory::take(ClientMemory& memory, std::size_t bytes)
{
    if (!mayHold(memory.budget_, bytes))
        return false;
    set(memory, bytes);
    return true;
}

void HeldMemory::set(ClientMemory& memory, std::size_t bytes)
{
    if (bytes == bytes_)
        return;
    reset();
    memory_ = &memory;
    bytes_ = bytes;
    hold(memory.budget_, bytes);
}

void HeldMemory::reset()
{
    if (memory_)
        release(std::exchange(memory_, nullptr)->budget_, std::exchange(bytes_, 0));
}

void ClientMemory::configure(std::size_t machineBytes, Report report)
{
    budget_.limits_ = memoryLimits(machineBytes);
    report_ = std::move(report);
    if (!isLimited())
        return;
    mallopt(M_MMAP_THRESHOLD, mappedBytes);
    mallopt(M_TRIM_THRESHOLD, mappedBytes);
    mallopt(M_ARENA_MAX, maximumHeaps);
}

void ClientMemory::report(const Event& event) const
{
    if (report_)
        report_(event);
}

void ClientMemory::relieve()
{
    while (auto* charge = nextToClose(budget_)) {
        auto* share = static_cast<ClientShare*>(charge); // Only shares are linked into it.
        const auto close = share->close_;
        share->close(); // Its buffers go with it.
        close(Reason::MemoryFull);
    }
}

void reportClosedClient(Metrics& metrics, const ClientMemory& memory, const ClientMemory::Event& event)
{
    metrics.count(event.reason_);
    const auto& budget = memory.budget();
    LogLine(LogKind::Client, "client_closed")
        .with("cause", reasonInfo(event.reason_).name_)
        .with("listener", event.listener_)
        .with("session", event.isStarted_ ? std::string_view("open") : std::string_view("none"))
        .with("bytes", static_cast<std::uint64_t>(event.bytes_))
        .with("used", static_cast<std::uint64_t>(budget.used_))
        .with("of_clients", static_cast<std::uint64_t>(budget.clients_))
        .with("limit", static_cast<std::uint64_t>(budget.limits_.total_))
        .with("connections", static_cast<std::uint64_t>(budget.connections_));
}

void setMemoryGauges(Metrics& metrics, const ClientMemory& memory)
{
    if (!memory.isLimited())
        return;
    const auto& budget = memory.budget();
    metrics.setGauge("memory_limit_bytes", static_cast<double>(budget.limits_.total_));
    metrics.setGauge("memory_used_bytes", static_cast<double>(budget.used_));
    metrics.setGauge("memory_client_bytes", static_cast<double>(budget.clients_));
    metrics.setGauge("memory_client_connections", static_cast<double>(budget.connections_));
}

} // namespace cassiahollow
