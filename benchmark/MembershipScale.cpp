// Measures the cost and the spreading times of membership and directory at several sizes, in one process with queues
// as links and in virtual time. Prints one Markdown table row per quantity; see docs/measurements/membership.md.

#include "cassiahollow/process/Membership.h"
#include "cassiahollow/process/MembershipCodec.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <functional>
#include <gflags/gflags.h>
#include <iostream>
#include <memory>
#include <queue>
#include <sstream>

DEFINE_uint64(instances, 620, "Number of instances");
DEFINE_uint64(endpoints, 920, "Number of endpoints");
DEFINE_uint64(places, 7, "Number of data centres, in 3 regions");
DEFINE_uint64(seconds, 60, "Virtual seconds of each phase");
DEFINE_uint64(trials, 9, "Trials of each spreading time");
DEFINE_uint64(seed, 1, "Seed of all random numbers");
DEFINE_uint64(restart_factor, 20, "How many times the 260 restarts a day are scaled up");
DEFINE_uint64(overhead, 150,
    "Bytes counted for each message besides its body: envelope, HMAC-SHA256, length, and IP and TCP headers");
DEFINE_uint64(tree_bytes, 8192, "Bytes counted for one transfer of the settings tree");

namespace {

using namespace cassiahollow;
using namespace std::chrono_literals;

double seconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

double processCpu()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// Resident memory of this process in MB, from the kernel's statistics.
double residentMb()
{
    std::ifstream file("/proc/self/statm");
    std::size_t size = 0;
    std::size_t resident = 0;
    file >> size >> resident;
    return static_cast<double>(resident) * 4096 / 1e6;
}

struct Instance {
    std::unique_ptr<MembershipState> state_;
    Incarnation incarnation_ { 1 };
    TimePoint wakeup_ {};
    std::uint64_t savedRevision_ { 0 };
    std::uint64_t in_ { 0 };
    std::uint64_t out_ { 0 };
};

struct Task {
    TimePoint at_;
    std::uint64_t order_;
    std::size_t to_;
    std::size_t from_;
    std::string body_; ///< Empty for a wakeup.
    std::function<void()> run_; ///< Anything that is neither a message nor a wakeup.

    bool operator<(const Task& other) const { return std::pair(at_, order_) > std::pair(other.at_, other.order_); }
};

class Scale {
public:
    explicit Scale(std::uint64_t seed)
        : random_(seed)
        , seed_(seed)
    {
        instances_.resize(FLAGS_instances);
        for (std::size_t i = 0; i < FLAGS_instances; ++i)
            schedule(now_ + std::chrono::milliseconds(random_() % 20000), [this, i] { start(i); });
        for (std::size_t i = 0; i < FLAGS_endpoints; ++i) {
            EndpointRecord record { EndpointId("db-" + std::to_string(i)), GroupId("group-" + std::to_string(i / 3)),
                "10.20.30.40:" + std::to_string(20000 + i), placeOf(i), 3, 80 };
            record.started_ = 1'764'800'000'000 + i;
            endpoints_.push_back(record);
            schedule(now_ + 21s + std::chrono::milliseconds(random_() % 1000), [this, i] { announce(i); });
        }
        for (std::size_t g = 0; 3 * g < FLAGS_endpoints; ++g) {
            schedule(now_ + 30s + std::chrono::milliseconds(random_() % 5000), [this, g] {
                GroupMembersRecord members { GroupId("group-" + std::to_string(g)), 1, {} };
                for (std::size_t i = 3 * g; i < std::min<std::size_t>(3 * g + 3, FLAGS_endpoints); ++i)
                    members.members_.push_back(endpoints_[i].id_);
                const auto at = random_() % FLAGS_instances;
                handle(at, GroupMembersPublished { members });
                handle(at, RoutePublished { { members.group_, 1, members.members_.front() } });
            });
        }
    }

    static DataCentre placeOf(std::size_t i) { return DataCentre("dc-" + std::to_string(i % FLAGS_places)); }

    void schedule(TimePoint at, std::function<void()> task)
    {
        tasks_.push({ at, order_++, 0, 0, {}, std::move(task) });
    }

    void runUntil(TimePoint end)
    {
        while (!tasks_.empty() && tasks_.top().at_ <= end) {
            auto task = std::move(const_cast<Task&>(tasks_.top()));
            tasks_.pop();
            now_ = task.at_;
            if (task.run_)
                task.run_();
            else if (!task.body_.empty())
                arrive(task);
            else if (instances_[task.to_].wakeup_ == now_)
                handle(task.to_, MembershipWakeup {});
        }
        now_ = end;
    }

    void run(Duration time) { runUntil(now_ + time); }

    void handle(std::size_t i, const MembershipEvent& event)
    {
        auto& instance = instances_[i];
        if (!instance.state_)
            return;
        auto actions = step(*instance.state_, event, now_);
        instance.savedRevision_ = instance.state_->self_.appliedRevision_;
        if (watch_)
            watch_(i);
        for (auto& action : actions) {
            if (auto* message = std::get_if<SendMembershipMessage>(&action))
                send(i, addresses_.at(message->address_), message->message_);
            else if (auto* pull = std::get_if<PullSettings>(&action))
                answerPull(i, addresses_.at(pull->address_));
        }
        if (const auto next = nextWakeup(*instance.state_); next != instance.wakeup_) {
            instance.wakeup_ = next;
            tasks_.push({ next, order_++, i, 0, {}, {} });
        }
    }

    void start(std::size_t i)
    {
        auto& instance = instances_[i];
        MembershipSettings settings;
        settings.id_ = InstanceId("entry-" + std::to_string(i));
        settings.address_ = "10.20.0.1:" + std::to_string(10000 + i);
        settings.dataCentre_ = placeOf(i);
        settings.incarnation_ = 1'764'800'000'000 + instance.incarnation_++;
        for (std::size_t seed = 0; seed < std::min<std::size_t>(FLAGS_places, FLAGS_instances); ++seed)
            settings.seeds_.push_back("10.20.0.1:" + std::to_string(10000 + seed));
        settings.randomSeed_ = seed_ * 1'000'000 + i * 1000 + instance.incarnation_;
        for (std::size_t known = 0; known < FLAGS_instances && addresses_.size() < FLAGS_instances; ++known)
            addresses_["10.20.0.1:" + std::to_string(10000 + known)] = known;
        instance.state_ = std::make_unique<MembershipState>(settings);
        if (instance.savedRevision_ > 0)
            handle(i, SettingsApplied { instance.savedRevision_ });
        handle(i, MembershipStarted {});
    }

    void restart(std::size_t i, Duration pause)
    {
        if (!instances_[i].state_)
            return;
        handle(i, InstanceLeaveRequested {});
        schedule(now_ + 200ms, [this, i] { instances_[i].state_.reset(); });
        schedule(now_ + 200ms + pause, [this, i] { start(i); });
    }

    void announce(std::size_t i)
    {
        auto& record = endpoints_[i];
        ++record.sequence_;
        schedule(now_ + 1s, [this, i] { announce(i); });
        announceNow(i);
    }

    void announceNow(std::size_t i)
    {
        for (std::size_t attempt = 0; attempt < 50; ++attempt) {
            auto at = random_() % FLAGS_instances;
            at -= (at + FLAGS_places - i % FLAGS_places) % FLAGS_places;
            if (at < FLAGS_instances && placeOf(at) == endpoints_[i].dataCentre_ && instances_[at].state_)
                return handle(at, EndpointAnnounced { endpoints_[i] });
        }
    }

    /// Whether all running instances see exactly the running ones as live and have equal records.
    bool isAgreed() const
    {
        std::size_t running = 0;
        const MembershipState* first = nullptr;
        for (const auto& instance : instances_) {
            if (!instance.state_)
                continue;
            ++running;
            if (!first)
                first = instance.state_.get();
            else if (first->directory_.digest_ != instance.state_->directory_.digest_)
                return false;
        }
        return first && first->probeOrder_.size() + 1 == running && first->directory_.byGroup_.size() == groups();
    }

    std::size_t groups() const { return (FLAGS_endpoints + 2) / 3; }

    struct Cost {
        double in_;
        double out_;
        double maxIn_;
        double maxOut_;
        double cpu_; ///< Share of a core of one instance.
    };

    template <typename Body> Cost measure(Body body)
    {
        for (auto& instance : instances_)
            instance.in_ = instance.out_ = 0;
        const auto begin = now_;
        const auto cpu = processCpu();
        body();
        const auto time = seconds(now_ - begin);
        Cost cost {};
        for (const auto& instance : instances_) {
            cost.in_ += static_cast<double>(instance.in_) / time / static_cast<double>(FLAGS_instances);
            cost.out_ += static_cast<double>(instance.out_) / time / static_cast<double>(FLAGS_instances);
            cost.maxIn_ = std::max(cost.maxIn_, static_cast<double>(instance.in_) / time);
            cost.maxOut_ = std::max(cost.maxOut_, static_cast<double>(instance.out_) / time);
        }
        cost.cpu_ = (processCpu() - cpu) / time / static_cast<double>(FLAGS_instances);
        return cost;
    }

    /// Runs until all running instances satisfy the condition and returns the time for each of them, sorted.
    std::vector<double> spread(const std::function<void()>& begin, const std::function<bool(MembershipState&)>& knows)
    {
        std::vector<bool> reached(FLAGS_instances, false);
        std::vector<double> times;
        const auto start = now_;
        watch_ = [&](std::size_t i) {
            if (reached[i] || !knows(*instances_[i].state_))
                return;
            reached[i] = true;
            times.push_back(seconds(now_ - start));
        };
        begin();
        while (times.size() < FLAGS_instances && now_ < start + 60s)
            run(100ms);
        watch_ = nullptr;
        if (times.size() < FLAGS_instances)
            times.push_back(60); // Not known everywhere within the limit.
        return times;
    }

    std::vector<Instance> instances_;
    std::vector<EndpointRecord> endpoints_;
    std::set<std::string> cutPlaces_;
    TimePoint now_ { 1h };
    std::mt19937_64 random_;

private:
    std::uint64_t seed_;
    std::uint64_t order_ { 0 };
    std::priority_queue<Task> tasks_;
    std::unordered_map<std::string, std::size_t> addresses_;
    std::function<void(std::size_t)> watch_;

    bool isCut(std::size_t a, std::size_t b) const
    {
        return cutPlaces_.contains(placeOf(a).value_) != cutPlaces_.contains(placeOf(b).value_);
    }

    static Duration delay(std::size_t a, std::size_t b)
    {
        const auto region = [](std::size_t i) { return i % FLAGS_places * 3 / FLAGS_places; };
        if (a % FLAGS_places == b % FLAGS_places)
            return 300us;
        return region(a) == region(b) ? 1500us : Duration(30ms);
    }

    void send(std::size_t from, std::size_t to, const MembershipMessage& message)
    {
        auto body = encodeMembershipMessage(message);
        instances_[from].out_ += body.size() + FLAGS_overhead;
        if (!isCut(from, to))
            tasks_.push({ now_ + delay(from, to), order_++, to, from, std::move(body), {} });
    }

    void arrive(const Task& task)
    {
        auto& instance = instances_[task.to_];
        if (!instance.state_)
            return;
        instance.in_ += task.body_.size() + FLAGS_overhead;
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_AUTO(message, decodeMembershipMessage(task.body_));
                handle(task.to_, MembershipReceived { std::move(message) });
                return {};
            },
            [] { std::abort(); });
    }

    void answerPull(std::size_t to, std::size_t from)
    {
        if (!instances_[from].state_ || isCut(from, to))
            return;
        instances_[to].out_ += FLAGS_overhead;
        instances_[from].in_ += FLAGS_overhead;
        instances_[from].out_ += FLAGS_overhead + FLAGS_tree_bytes;
        instances_[to].in_ += FLAGS_overhead + FLAGS_tree_bytes;
        const auto revision = instances_[from].state_->self_.appliedRevision_;
        schedule(now_ + 2 * delay(from, to), [this, to, revision] { handle(to, SettingsApplied { revision }); });
    }
};

void printCost(const char* phase, const Scale::Cost& cost)
{
    std::printf("| %s | %.2f | %.2f | %.2f | %.2f | %.3f |\n", phase, cost.in_ / 1000, cost.out_ / 1000,
        cost.maxIn_ / 1000, cost.maxOut_ / 1000, cost.cpu_ * 100);
}

void printTimes(const char* what, std::vector<double> all, std::vector<double> last)
{
    std::sort(all.begin(), all.end());
    std::sort(last.begin(), last.end());
    std::printf("| %s | %.2f | %.2f | %.2f |\n", what, all[all.size() / 2], last[last.size() / 2], last.back());
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Cost and spreading times of the membership at one size");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    const auto before = residentMb();
    Scale scale(FLAGS_seed);
    const auto started = scale.now_;
    scale.run(40s);
    while (!scale.isAgreed() && scale.now_ < started + 600s)
        scale.run(1s);
    std::printf("%zu instances, %zu endpoints, seed %zu: agreed %.0f s after the first start (starts take 20 s, "
                "announcements begin at 21 s, member lists at 30 s)\n",
        static_cast<std::size_t>(FLAGS_instances), static_cast<std::size_t>(FLAGS_endpoints),
        static_cast<std::size_t>(FLAGS_seed), seconds(scale.now_ - started));
    // The updates of the start have to leave the queues before anything is at rest.
    scale.run(120s);
    std::printf("memory: %.2f MB an instance\n\n", (residentMb() - before) / static_cast<double>(FLAGS_instances));

    const auto phase = std::chrono::seconds(FLAGS_seconds);
    std::printf("| phase | in KB/s | out KB/s | in max KB/s | out max KB/s | CPU %% of a core |\n"
                "|---|---|---|---|---|---|\n");
    printCost("at rest", scale.measure([&] { scale.run(phase); }));

    std::uint64_t revision = 1;
    const auto control = [&] { return static_cast<std::size_t>(scale.random_() % FLAGS_instances); };
    const auto change = [&] { scale.handle(control(), SettingsApplied { ++revision, true }); };
    printCost("1,700 settings changes a day", scale.measure([&] {
        const auto begin = scale.now_;
        for (auto at = begin + 1s; at < begin + 2 * phase; at += 50'824ms)
            scale.schedule(at, change);
        scale.run(2 * phase);
    }));
    const auto restartEvery = std::chrono::milliseconds(86'400'000 / 260 / FLAGS_restart_factor);
    printCost("restarts, scaled up", scale.measure([&] {
        const auto begin = scale.now_;
        for (auto at = begin + 1s; at < begin + phase; at += restartEvery)
            scale.schedule(at, [&] { scale.restart(control(), 5s); });
        scale.run(phase);
    }));
    scale.run(20s);

    std::vector<std::vector<double>> all(3);
    std::vector<std::vector<double>> last(3);
    const auto trial = [&](std::size_t kind, const std::function<void()>& begin,
                           const std::function<bool(MembershipState&)>& knows) {
        const auto times = scale.spread(begin, knows);
        all[kind].insert(all[kind].end(), times.begin(), times.end());
        last[kind].push_back(times.back());
        scale.run(5s);
    };
    for (std::size_t n = 0; n < FLAGS_trials; ++n) {
        trial(0, change, [&](MembershipState& state) { return state.self_.appliedRevision_ >= revision; });
        const GroupId group("group-" + std::to_string(scale.random_() % scale.groups()));
        const Term term = n + 2;
        trial(
            1,
            [&] {
                scale.handle(control(), RoutePublished { { group, term, EndpointId("db-0") } });
            },
            [&](MembershipState& state) {
                const auto route = routeOf(state.directory_, group);
                return route && route->term_ >= term;
            });
        const auto endpoint = scale.random_() % FLAGS_endpoints;
        scale.endpoints_[endpoint].leaving_ = true;
        trial(
            2,
            [&] {
                ++scale.endpoints_[endpoint].sequence_;
                scale.announceNow(endpoint);
            },
            [&](MembershipState& state) { return isLeaving(state.directory_, scale.endpoints_[endpoint].id_); });
    }

    const auto lost = static_cast<std::size_t>(FLAGS_places - 1);
    const auto beginCut = scale.now_;
    double knownAfter[2] = { 0, 0 }; // Outside and inside the data centre.
    const auto cutKnown = [&](bool side) {
        for (std::size_t i = 0; i < FLAGS_instances; ++i) {
            const bool inside = i % FLAGS_places == lost;
            if (inside != side)
                continue;
            const auto insideCount = (FLAGS_instances + FLAGS_places - 1 - lost) / FLAGS_places;
            const auto expected = inside ? insideCount : FLAGS_instances - insideCount;
            if (scale.instances_[i].state_ && scale.instances_[i].state_->probeOrder_.size() + 1 != expected)
                return false;
        }
        return true;
    };
    const auto noteKnown = [&] {
        for (const bool side : { false, true }) {
            if (knownAfter[side] == 0 && cutKnown(side))
                knownAfter[side] = seconds(scale.now_ - beginCut);
        }
    };
    printCost("data centre cut, first phase", scale.measure([&] {
        scale.cutPlaces_.insert(Scale::placeOf(lost).value_);
        while (scale.now_ < beginCut + phase) {
            scale.run(500ms);
            noteKnown();
        }
    }));
    printCost("data centre cut, second phase", scale.measure([&] {
        const auto begin = scale.now_;
        while (scale.now_ < begin + phase) {
            scale.run(500ms);
            noteKnown();
        }
    }));
    scale.cutPlaces_.clear();
    const auto beginHeal = scale.now_;
    double agreedAfter = 0;
    printCost("data centre returns", scale.measure([&] {
        while (scale.now_ < beginHeal + phase) {
            scale.run(500ms);
            if (agreedAfter == 0 && scale.isAgreed())
                agreedAfter = seconds(scale.now_ - beginHeal);
        }
    }));
    while (agreedAfter == 0 && scale.now_ < beginHeal + 600s) {
        scale.run(500ms);
        if (scale.isAgreed())
            agreedAfter = seconds(scale.now_ - beginHeal);
    }

    std::printf(
        "\n| known everywhere after, s | median instance | median trial | slowest trial |\n|---|---|---|---|\n");
    printTimes("settings revision in force", all[0], last[0]);
    printTimes("route", all[1], last[1]);
    printTimes("leaving endpoint", all[2], last[2]);
    std::printf("\ndata centre cut: all lost instances are dead everywhere outside after %.1f s, inside after %.1f s "
                "(0: not within two phases); all instances agree %.1f s after its return (0: not within 600 s)\n\n",
        knownAfter[0], knownAfter[1], agreedAfter);
    return 0;
}
