#pragma once

#include "GroupSimulation.h"

#include <atomic>
#include <mutex>
#include <sstream>
#include <thread>

/// The fault matrix of the group rules: paths, cells and their execution.
namespace cassiahollow::fake {

/// What a run does besides its faults.
enum class Path : std::uint8_t {
    FirstPromotion, ///< A new group gets its first primary.
    Write,
    Promotion, ///< The process of the primary ends and is started again after 3 s.
    SilentPromotion, ///< The machine of the primary is gone for 3 s.
    CompetingPromoters, ///< The same with all watchers trying at the same time.
    PlannedChange,
};

constexpr std::array allPaths { Path::FirstPromotion, Path::Write, Path::Promotion, Path::SilentPromotion,
    Path::CompetingPromoters, Path::PlannedChange };

struct Cell {
    Path path_ { Path::Write };
    std::vector<Fault> faults_;
    std::uint32_t seed_ { 1 };
};

struct CellResult {
    std::vector<Violation> violations_;
    bool injected_ { false };
    Duration recovery_ {}; ///< From the healing of the last fault to an acknowledged write.
};

inline std::string describe(const Cell& cell)
{
    std::ostringstream text;
    text << "path " << static_cast<int>(cell.path_) << " seed " << cell.seed_;
    for (const auto& fault : cell.faults_)
        text << ", fault " << static_cast<int>(fault.kind_) << " at step " << fault.step_
             << (fault.atReceiver_ ? " receiver " : " sender ")
             << std::chrono::duration_cast<std::chrono::milliseconds>(fault.duration_).count() << " ms"
             << (fault.twice_ ? " twice" : "")
             << (fault.step_ ? ""
                             : " after heal "
                            + std::to_string(
                                std::chrono::duration_cast<std::chrono::milliseconds>(fault.afterHeal_).count())
                            + " ms");
    return text.str();
}

/// Brings a run to the point where its path begins.
inline void startPath(Simulation& simulation, Path path)
{
    if (path == Path::FirstPromotion)
        return;
    simulation.runUntil(simulation.now() + std::chrono::milliseconds(300));
    if (path == Path::Promotion || path == Path::SilentPromotion || path == Path::CompetingPromoters)
        simulation.crash(0, std::chrono::seconds(3), path == Path::Promotion);
    if (path == Path::PlannedChange)
        simulation.orderChange(1);
}

inline SimulationSettings settingsOf(const Cell& cell, WrongRule rule)
{
    SimulationSettings settings;
    settings.warm_ = cell.path_ != Path::FirstPromotion;
    settings.seed_ = cell.seed_;
    if (cell.path_ == Path::CompetingPromoters)
        settings.rankDelay_ = {};
    settings.wrongRule_ = rule;
    return settings;
}

inline CellResult runCell(const Cell& cell, WrongRule rule = WrongRule::None)
{
    using namespace std::chrono_literals;
    Simulation simulation(settingsOf(cell, rule), cell.faults_);
    startPath(simulation, cell.path_);
    const auto started = simulation.now();
    const auto recovered = [&] {
        return simulation.allInjected() && simulation.firstAckStartedAfter(std::max(simulation.healed(), started));
    };
    CellResult result;
    while (!recovered()) {
        // The faults heal at this time at the latest, or later ones move it.
        const auto limit = std::max(simulation.healed(), started) + 16s;
        simulation.runUntil(limit, recovered);
        if (!recovered() && std::max(simulation.healed(), started) + 16s <= simulation.now()) {
            result.violations_.push_back(Violation::NoRecovery);
            break;
        }
    }
    result.recovery_ = simulation.now() - std::max(simulation.healed(), started);
    // The messages under way may still bring acknowledgements.
    simulation.runUntil(simulation.now() + 20ms);
    const auto found = simulation.violations();
    result.violations_.insert(result.violations_.end(), found.begin(), found.end());
    result.injected_ = simulation.injected() > 0;
    return result;
}

/// First and last step of a path in a run without faults: to the first write acknowledged after its beginning, or, for
/// writes, to the end of the third.
inline std::pair<std::uint64_t, std::uint64_t> stepsOf(Path path)
{
    using namespace std::chrono_literals;
    Simulation simulation(settingsOf({ path, {}, 1 }, WrongRule::None));
    startPath(simulation, path);
    const auto first = simulation.steps() + 1;
    const auto started = simulation.now() + (path == Path::Write ? 100ms : 0ms);
    simulation.runUntil(started + 16s, [&] {
        return (path != Path::PlannedChange || simulation.currentPrimary() == 1)
            && simulation.firstAckStartedAfter(started);
    });
    return { first, simulation.steps() };
}

inline bool concernsNode(FaultKind kind)
{
    switch (kind) {
    case FaultKind::Lost:
    case FaultKind::Repeated:
    case FaultKind::Delayed:
    case FaultKind::Reordered:
    case FaultKind::SilentConnection:
        return false;
    default:
        return true;
    }
}

/// A duration for the cell: shorter than the suspicion time, longer, and longer than the minimum promotion interval.
template <typename Random> Duration pickDuration(Random& random)
{
    using namespace std::chrono_literals;
    constexpr std::array<Duration, 4> durations { 100ms, 700ms, 2500ms, 6s };
    return durations[std::uniform_int_distribution<std::size_t>(0, durations.size() - 1)(random)];
}

/// Every fault at every step of the path, once or twice.
inline std::vector<Cell> singleCells(Path path, bool twice)
{
    std::vector<Cell> cells;
    const auto [first, last] = stepsOf(path);
    for (auto step = first; step <= last; ++step) {
        for (int kind = 0; kind < static_cast<int>(FaultKind::Count); ++kind) {
            for (const bool receiver : { false, true }) {
                const auto fault = static_cast<FaultKind>(kind);
                if (receiver && !concernsNode(fault))
                    continue;
                const auto seed = static_cast<std::uint32_t>(
                    step * 64 + static_cast<unsigned>(kind) * 4 + (receiver ? 2 : 0) + (twice ? 1 : 0));
                std::mt19937 random(seed);
                // The run up to the step must be that of the enumeration, so all cells share its seed.
                cells.push_back({ path, { { fault, step, receiver, pickDuration(random), twice } }, 1 });
            }
        }
    }
    return cells;
}

/// Two faults: the first at a step of the path, the second at any step of the path or of the reaction to the first.
/// The seed fixes the cell.
inline Cell pairCell(Path path, std::pair<std::uint64_t, std::uint64_t> steps, std::uint32_t seed)
{
    std::mt19937 random(seed);
    const auto fault = [&](std::uint64_t from, std::uint64_t to) {
        const auto kind = std::uniform_int_distribution<int>(0, static_cast<int>(FaultKind::Count) - 1)(random);
        const auto step = std::uniform_int_distribution<std::uint64_t>(from, to)(random);
        const bool receiver = std::uniform_int_distribution<int>(0, 1)(random);
        return Fault { static_cast<FaultKind>(kind), step, receiver, pickDuration(random) };
    };
    const auto first = fault(steps.first, steps.second);
    // A third each: among the next messages, where most reactions are; anywhere; and around the end of the first fault,
    // when an old primary returns.
    const auto place = std::uniform_int_distribution<int>(0, 2)(random);
    auto second = fault(first.step_, first.step_ + (place == 0 ? 60 : 3000));
    if (place == 2) {
        second.step_ = 0;
        second.afterHeal_ = std::chrono::milliseconds(std::uniform_int_distribution<int>(-300, 300)(random));
    }
    return { path, { first, second }, 1 };
}

struct MatrixResult {
    std::size_t cells_ { 0 };
    std::size_t injected_ { 0 };
    Duration longestRecovery_ {};
    std::vector<std::pair<Cell, Violation>> violations_;
};

/// Runs all cells in a few threads. With `until`, stops soon after that violation was found.
inline MatrixResult runMatrix(
    const std::vector<Cell>& cells, WrongRule rule = WrongRule::None, std::optional<Violation> until = {})
{
    MatrixResult result;
    std::mutex mutex;
    std::atomic<std::size_t> next { 0 };
    std::atomic<bool> found { false };
    const auto work = [&] {
        for (auto i = next++; i < cells.size() && !found; i = next++) {
            const auto cell = runCell(cells[i], rule);
            const std::scoped_lock lock(mutex);
            ++result.cells_;
            result.injected_ += cell.injected_;
            result.longestRecovery_ = std::max(result.longestRecovery_, cell.recovery_);
            for (const auto violation : cell.violations_) {
                result.violations_.emplace_back(cells[i], violation);
                found = found || violation == until;
            }
        }
    };
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i)
        threads.emplace_back(work);
    for (auto& thread : threads)
        thread.join();
    return result;
}

} // namespace cassiahollow::fake
