#include "cassiahollow/request/EndpointCapacity.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cassiahollow {

namespace {

    using Seconds = std::chrono::duration<double>;

    // Weight of a new wait: smooths over about eight responses.
    constexpr double waitSmoothing = 0.125;
    // Weight of a new response time in that of its class. Smoothed, so that one short statement does not make all
    // others look slow.
    constexpr double classSmoothing = 0.25;
    // Without responses, the estimated wait loses half of its weight in this time, so that a recovery is found within
    // two seconds.
    constexpr Seconds waitHalfLife { 0.7 };
    // Half-life with which the unloaded time of a class approaches the present one. A shorter one would take a queue
    // that lasts for seconds for the endpoint's own time: with windows of 2 to 4 s, the limits grew until the endpoint
    // shed 11 to 21 % of the statements.
    constexpr Seconds unloadedHalfLife { 120 };
    // Time over which busySlots_ is measured.
    constexpr Seconds busyTime { 0.5 };
    // An overloaded limit approaches the slots in use by Little's law, with a quarter in reserve and one statement that
    // waits, so that no slot is idle while a response and the next statement are on their way.
    constexpr double reserve = 1.25;
    constexpr double waitingStatements = 1;
    // Part of the limit or of the distance by which one response changes it.
    constexpr double step = 1.0 / 16;
    // Keeps divisions finite on coarse clocks.
    constexpr double shortestSeconds = 1e-6;

    double remaining(Seconds age, Seconds halfLife)
    {
        return std::exp2(-std::max(0.0, age / halfLife));
    }

    // Classes are bounded by the routes of the catalog. A catalog that changes often must not let the table grow, so
    // the class with the fewest samples makes room.
    ClassTimes& timesOf(EndpointCapacity& capacity, const ClassId& name)
    {
        auto& classes = capacity.classes_;
        if (const auto found = classes.find(name); found != classes.end())
            return found->second;
        if (classes.size() >= largestClassCount) {
            classes.erase(std::min_element(classes.begin(), classes.end(),
                [](const auto& a, const auto& b) { return a.second.samples_ < b.second.samples_; }));
        }
        return classes[name];
    }

    void learnTimes(ClassTimes& times, double seconds, Seconds sinceLast)
    {
        ++times.samples_;
        const double weight = std::max(classSmoothing, 1.0 / times.samples_);
        times.responseSeconds_ += (seconds - times.responseSeconds_) * weight;
        if (times.samples_ == 1 || times.responseSeconds_ < times.unloadedSeconds_)
            times.unloadedSeconds_ = times.responseSeconds_;
        else
            times.unloadedSeconds_
                += (times.responseSeconds_ - times.unloadedSeconds_) * (1 - remaining(sinceLast, unloadedHalfLife));
    }

    double relativeResponse(double wait, double work)
    {
        return 1 + wait / std::max(work, shortestSeconds);
    }

} // namespace

void learnResponse(EndpointCapacity& capacity, const ClassId& name, Duration response, TimePoint now)
{
    const double seconds = std::max(shortestSeconds, Seconds(response).count());
    const bool isFirst = capacity.learnedAt_ == TimePoint();
    const Seconds age = isFirst ? Seconds(0) : Seconds(now - capacity.learnedAt_);
    auto& times = timesOf(capacity, name);
    learnTimes(times, seconds, age);
    // Waits are compared with the unloaded time of the same statements, so that the mix does not matter.
    const double wait = std::max(0.0, seconds - times.unloadedSeconds_);
    const double weight = isFirst ? 1 : waitSmoothing;
    capacity.waitSeconds_ *= remaining(age, waitHalfLife);
    capacity.waitSeconds_ += (wait - capacity.waitSeconds_) * weight;
    capacity.workSeconds_ += (times.unloadedSeconds_ - capacity.workSeconds_) * weight;
    capacity.busySlots_
        = capacity.busySlots_ * std::exp(-std::max(0.0, age / busyTime)) + times.unloadedSeconds_ / busyTime.count();
    capacity.learnedAt_ = now;

    const double relative = relativeResponse(capacity.waitSeconds_, capacity.workSeconds_);
    if (relative < growBelow) {
        capacity.limit_ = std::min(largestLimit, capacity.limit_ + 1 / capacity.limit_);
    } else if (relative > shrinkAbove) {
        // The floor is the same at all instances that share the endpoint: where long responses made some of them go
        // down to one statement, these lost slots to the others, and refused statements that were worth more.
        const double floor = std::clamp(capacity.slotShare_, startLimit, largestLimit);
        const double target = std::clamp(capacity.busySlots_ * reserve + waitingStatements, floor, largestLimit);
        if (capacity.limit_ > target)
            capacity.limit_ = std::max(target, capacity.limit_ * (1 - step));
        else
            capacity.limit_ += (target - capacity.limit_) * step;
    }
}

void learnShed(EndpointCapacity& capacity)
{
    capacity.limit_ = std::max(smallestLimit, capacity.limit_ / 2);
}

void learnFailure(EndpointCapacity& capacity)
{
    capacity.limit_ = std::max(std::min(startLimit, capacity.limit_), capacity.limit_ / 2);
}

double slowdown(const EndpointCapacity& capacity, TimePoint now)
{
    const double wait = capacity.waitSeconds_ * remaining(now - capacity.learnedAt_, waitHalfLife);
    return relativeResponse(wait, capacity.workSeconds_);
}

double unloadedTime(const EndpointCapacity& capacity, const ClassId& name)
{
    const auto found = capacity.classes_.find(name);
    return found == capacity.classes_.end() ? 0 : found->second.unloadedSeconds_;
}

double slotShare(std::size_t slots, std::size_t sharers)
{
    return std::ceil(static_cast<double>(slots) / static_cast<double>(std::max<std::size_t>(sharers, 1)));
}

bool takeLimitChange(EndpointCapacity& capacity, TimePoint now)
{
    if (capacity.reportedLimit_ == 0) {
        capacity.reportedLimit_ = capacity.limit_;
        capacity.reportedAt_ = now;
    }
    const bool isChanged
        = capacity.limit_ > capacity.reportedLimit_ * 1.5 || capacity.limit_ < capacity.reportedLimit_ * 0.5;
    if (!isChanged || now - capacity.reportedAt_ < limitReportInterval)
        return false;
    capacity.reportedLimit_ = capacity.limit_;
    capacity.reportedAt_ = now;
    return true;
}

} // namespace cassiahollow
