#include "cassiahollow/connection/MemoryBudget.h"

#include <algorithm>
#include <utility>

namespace cassiahollow {

namespace {

    // A client without a session has proved nothing; nothing is lost with it.
    constexpr std::size_t weightWithoutSession = 2;
    // Clients whose sizes differ by less count as equally large.
    constexpr std::size_t equalBytes = 64 << 10;

    std::size_t largePart(std::size_t bytes)
    {
        return bytes > smallBytes ? bytes : 0;
    }

    bool isLimited(const MemoryBudget& budget)
    {
        return budget.limits_.total_ > 0;
    }

    bool isOver(const MemoryBudget& budget)
    {
        return isLimited(budget)
            && (budget.used_ > budget.limits_.total_
                || budget.large_ > budget.limits_.total_ - budget.limits_.reserved_);
    }

    std::size_t sizeClass(const MemoryCharge& charge)
    {
        return (charge.isStarted_ ? charge.bytes_ : charge.bytes_ * weightWithoutSession) / equalBytes;
    }

    bool isCloserToEnd(const MemoryCharge& left, const MemoryCharge& right)
    {
        const auto leftClass = sizeClass(left);
        const auto rightClass = sizeClass(right);
        if (leftClass != rightClass)
            return leftClass > rightClass;
        if (left.isStarted_ != right.isStarted_)
            return !left.isStarted_;
        return leftClass == 0 ? left.bytes_ > right.bytes_ : left.begun_ < right.begun_;
    }

} // namespace

MemoryLimits memoryLimits(std::size_t machineBytes)
{
    if (machineBytes == 0)
        return {};
    MemoryLimits limits;
    // An eighth is the allocator's: free pieces between buffers in use.
    const auto forClients = machineBytes > processBytes ? machineBytes - processBytes : 0;
    limits.total_ = std::max(forClients - forClients / 8, machineBytes / 4);
    limits.reserved_ = limits.total_ / 4;
    // Connections alone take a quarter at most.
    limits.maximumConnections_ = limits.total_ / 4 / connectionBytes;
    return limits;
}

bool mayConnect(const MemoryBudget& budget)
{
    return !isLimited(budget) || budget.connections_ < budget.limits_.maximumConnections_;
}

void openCharge(MemoryBudget& budget, MemoryCharge& charge)
{
    if (std::exchange(charge.isOpen_, true))
        return;
    budget.charges_.push_back(charge);
    ++budget.connections_;
    budget.used_ += connectionBytes;
}

void closeCharge(MemoryBudget& budget, MemoryCharge& charge)
{
    if (!std::exchange(charge.isOpen_, false))
        return;
    setCharge(budget, charge, 0, charge.begun_);
    budget.charges_.erase(budget.charges_.iterator_to(charge));
    --budget.connections_;
    budget.used_ -= connectionBytes;
}

void setCharge(MemoryBudget& budget, MemoryCharge& charge, std::size_t bytes, TimePoint now)
{
    if (charge.bytes_ <= smallBytes && bytes > smallBytes)
        charge.begun_ = now;
    budget.used_ += bytes - charge.bytes_;
    budget.clients_ += bytes - charge.bytes_;
    budget.large_ += largePart(bytes) - largePart(charge.bytes_);
    charge.bytes_ = bytes;
}

bool mayHold(const MemoryBudget& budget, std::size_t bytes)
{
    if (!isLimited(budget))
        return true;
    const auto& limits = budget.limits_;
    const bool fits = budget.used_ + bytes <= limits.total_;
    return fits && (bytes <= smallBytes || budget.large_ + bytes <= limits.total_ - limits.reserved_);
}

void hold(MemoryBudget& budget, std::size_t bytes)
{
    budget.used_ += bytes;
    budget.large_ += largePart(bytes);
}

void release(MemoryBudget& budget, std::size_t bytes)
{
    budget.used_ -= bytes;
    budget.large_ -= largePart(bytes);
}

MemoryCharge* nextToClose(MemoryBudget& budget)
{
    if (!isOver(budget) || budget.clients_ == 0)
        return nullptr;
    const auto found = std::min_element(budget.charges_.begin(), budget.charges_.end(), isCloserToEnd);
    return found->bytes_ > 0 ? &*found : nullptr;
}

bool isReadingStopped(const MemoryBudget& budget)
{
    return isOver(budget) && budget.clients_ == 0;
}

} // namespace cassiahollow
