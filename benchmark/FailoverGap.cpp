#include "../tests/support/GroupSimulation.h"

#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>

DEFINE_uint32(failovers, 300, "failovers per row");
DEFINE_uint32(lease_ms, 1000, "lease duration of baseline 2");

/// Failover gap of the group rules and of two baselines, over simulated failovers with message delays of 1 ms within a
/// data centre and 1.5 ms between two, and 10 ms to open a connection. The simulation shares the fakes of the fault
/// matrix. All times are simulated.
namespace {

using namespace cassiahollow;
using namespace cassiahollow::fake;
using namespace std::chrono_literals;

enum class Failure { ProcessEnds, MachineGone, CentreCut, Planned };

struct Row {
    std::string name_;
    Failure failure_;
    WrongRule rule_ { WrongRule::None };
    Duration lease_ {};
};

struct Samples {
    std::map<FailoverPhase, std::vector<double>> phases_;
    std::vector<double> gaps_; ///< Callers: from the failure to the next acknowledged write, in ms.
    std::size_t acknowledged_ { 0 };
    std::size_t lost_ { 0 };
    std::size_t failed_ { 0 };
};

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

void runOnce(const Row& row, std::uint32_t seed, Samples& samples)
{
    SimulationSettings settings;
    settings.seed_ = seed;
    settings.wrongRule_ = row.rule_;
    settings.lease_ = row.lease_;
    // Writes every 2 ms from the holder, so that the gap of callers is not dominated by the pause between two writes.
    settings.writeInterval_ = 2ms;
    Simulation simulation(settings);
    std::mt19937 random(seed);
    // The failure falls anywhere between two reports.
    simulation.runUntil(
        simulation.now() + 300ms + std::chrono::microseconds(std::uniform_int_distribution<int>(0, 100000)(random)));
    const auto failed = simulation.now();
    switch (row.failure_) {
    case Failure::ProcessEnds:
        simulation.crash(0, 8s, true);
        break;
    case Failure::MachineGone:
        simulation.crash(0, 8s, false);
        break;
    case Failure::CentreCut:
        simulation.cutCentre(0, 8s);
        break;
    case Failure::Planned:
        simulation.orderChange(1);
        break;
    }
    const auto recovered = [&] {
        return simulation.currentPrimary() != 0 && simulation.firstAckStartedAfter(failed)
            && simulation.currentTermAcknowledged();
    };
    simulation.runUntil(failed + 16s, recovered);
    if (!recovered()) {
        ++samples.failed_;
        return;
    }
    samples.gaps_.push_back(milliseconds(simulation.now() - failed));
    simulation.runUntil(failed + 3s);
    for (const auto& phase : simulation.phases())
        samples.phases_[phase.phase_].push_back(milliseconds(phase.duration_));
    samples.acknowledged_ += simulation.acknowledgedWrites();
    samples.lost_ += simulation.lostWrites();
}

double median(std::vector<double> values)
{
    if (values.empty())
        return 0;
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2), values.end());
    return values[values.size() / 2];
}

double largest(const std::vector<double>& values)
{
    return values.empty() ? 0 : *std::max_element(values.begin(), values.end());
}

void print(const Row& row)
{
    Samples samples;
    for (std::uint32_t seed = 1; seed <= FLAGS_failovers; ++seed)
        runOnce(row, seed, samples);
    constexpr std::array names { "detect", "decide", "fence", "catch up", "promote", "route", "total" };
    std::cout << "## " << row.name_ << "\n\n"
              << samples.gaps_.size() << " failovers, " << samples.failed_ << " without recovery; "
              << samples.acknowledged_ << " writes acknowledged, " << samples.lost_ << " of them lost\n\n"
              << "| phase | count | median ms | max ms |\n|---|---|---|---|\n"
              << std::fixed << std::setprecision(1);
    for (const auto& [phase, values] : samples.phases_)
        std::cout << "| " << names[static_cast<std::size_t>(phase)] << " | " << values.size() << " | " << median(values)
                  << " | " << largest(values) << " |\n";
    std::cout << "| gap of callers | " << samples.gaps_.size() << " | " << median(samples.gaps_) << " | "
              << largest(samples.gaps_) << " |\n";
    const auto detect = median(samples.phases_[FailoverPhase::Detect]);
    const auto total = median(samples.phases_[FailoverPhase::Total]);
    if (detect > 0)
        std::cout << "\nDetection: " << 100 * detect / total << " % of the median total.\n";
    std::cout << '\n';
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto lease = std::chrono::milliseconds(FLAGS_lease_ms);
    print({ "Majority confirmation, process ends", Failure::ProcessEnds });
    print({ "Majority confirmation, machine gone", Failure::MachineGone });
    print({ "Majority confirmation, data centre cut off", Failure::CentreCut });
    print({ "Majority confirmation, planned change", Failure::Planned });
    print({ "Baseline 1, answer at once, process ends", Failure::ProcessEnds, WrongRule::AcknowledgeAtOnce });
    print({ "Baseline 1, answer at once, data centre cut off", Failure::CentreCut, WrongRule::AcknowledgeAtOnce });
    print({ "Baseline 2, clock lease, process ends", Failure::ProcessEnds, WrongRule::None, lease });
    print({ "Baseline 2, clock lease, machine gone", Failure::MachineGone, WrongRule::None, lease });
}
