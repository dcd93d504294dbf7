// Compares three ways of sharing the connections of an endpoint among instances under the same load, in simulated
// time: a fixed share per instance, shares with borrowing, and one holder per endpoint with forwarding. Queues and
// pools are the real ones; endpoints and network are models. Prints Markdown tables.

#include "cassiahollow/connection/ConnectionPool.h"
#include "cassiahollow/request/AdmissionQueue.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <gflags/gflags.h>
#include <memory>
#include <queue>
#include <random>
#include <string>

DEFINE_double(seconds, 20, "simulated seconds of each run, after 2 s of warm-up");
DEFINE_uint64(seed, 20261204, "seed of the load");

using namespace cassiahollow;
using namespace std::chrono_literals;

namespace {

enum class Way {
    FixedShare,
    Borrowing,
    Holder,
    HolderWithoutReserve, // Holder with no class marked urgent; shows what the reserved slot costs.
    HolderOneAhead // The same with one statement more in flight than slots; shows what the round trip costs.
};

constexpr std::array wayNames { "fixed share", "borrowing", "holder", "holder, no reserved slot",
    "holder, no reserve, one ahead" };

struct ClassLoad {
    const char* name_;
    double weight_;
    bool urgent_;
    double part_; // Of the requests.
    Duration deadline_;
};

struct User {
    const char* name_;
    std::size_t slots_;
    std::size_t connections_;
    int dataCentres_;
    Duration betweenDataCentres_; // One way.
    Duration toCallers_; // One way.
    std::array<ClassLoad, 3> classes_;
};

const std::array<User, 2> users { {
    { "returns-db", 2, 35, 4, 1500us, 1ms,
        { { { "verdict", 8, true, 0.2, 300ms }, { "history", 3, false, 0.5, 1s },
            { "receipt", 2, false, 0.3, 1s } } } },
    { "register-db", 3, 80, 3, 1ms, 3ms,
        { { { "booking", 4, true, 0.2, 300ms }, { "availability", 4, false, 0.5, 1s },
            { "note", 1, false, 0.3, 1s } } } },
} };

constexpr int endpointCount = 9; // Three groups of three.
constexpr Duration withinDataCentre = 200us;
constexpr Duration connectTime = 10ms;
constexpr Duration meanServiceTime = 4ms;
constexpr Duration thinkTime = 5ms; // Of the caller between the statements of a transaction.
constexpr double transactionPart = 0.3; // Of the requests.
constexpr int transactionStatements = 4;
constexpr Duration warmUp = 2s;
// The queue's deadline is the latest useful start. A single statement needs about this long after it; a transaction,
// whose length nobody knows when it begins, has to begin in the first half of its time.
constexpr Duration answerTime = 3 * meanServiceTime;
constexpr double usableShare = 0.85; // Of the connection limit; the rest is for hand-overs and watches.

struct Manager;

struct Work {
    AdmissionItem item_;
    Manager* manager_ { nullptr };
    std::size_t class_ { 0 };
    int instance_ { 0 };
    TimePoint arrived_;
    TimePoint deadline_; // For the answer.
    int statementsLeft_ { 1 };
    bool isTransaction_ { false };
    std::optional<ConnectionLease> lease_;
    Duration slotTime_ {};
    std::uint64_t hops_ { 0 };
};

// Queue and pool of one endpoint in one instance.
struct Manager {
    explicit Manager(AdmissionSettings settings)
        : queue_(std::move(settings))
    {
    }

    int instance_ { 0 };
    int endpoint_ { 0 };
    std::size_t share_ { 0 }; // Connections it may have.
    bool asking_ { false };
    AdmissionQueue queue_;
    ConnectionPool pool_;
};

struct EndpointModel {
    std::size_t busy_ { 0 };
    std::deque<Work*> line_; // Statements beyond the slots wait in their order of arrival.
};

struct ClassResult {
    std::uint64_t requests_ { 0 };
    std::uint64_t inTime_ { 0 };
    double slotSeconds_ { 0 }; // Of requests that were answered in time.
    std::vector<double> latencies_; // Milliseconds, of the answered requests.
};

class Simulation {
public:
    Simulation(const User& user, int instances, double load, Way way)
        : user_(user)
        , instances_(instances)
        , way_(way)
        , random_(FLAGS_seed)
    {
        const auto shared = static_cast<std::size_t>(static_cast<double>(user.connections_) * usableShare);
        const auto managers = isHolder() ? 1 : instances;
        for (int e = 0; e < endpointCount; ++e) {
            for (int i = 0; i < managers; ++i) {
                const auto count = static_cast<std::size_t>(managers);
                const auto share = shared / count + (static_cast<std::size_t>(i) < shared % count ? 1 : 0);
                managers_.push_back(std::make_unique<Manager>(
                    admission(isHolder() ? user.slots_ + (way == Way::HolderOneAhead ? 1 : 0) : share)));
                auto& manager = *managers_.back();
                manager.endpoint_ = e;
                manager.instance_ = isHolder() ? holderOf(e) : i;
                manager.share_ = share;
                manager.pool_.settings_.connectionLimit_ = share;
                manager.pool_.settings_.settledShare_ = 1;
                manager.pool_.holderSince_ = now_ - 1h;
            }
        }
        const auto statements = 1 + transactionPart * (transactionStatements - 1);
        const auto capacity = static_cast<double>(endpointCount * user.slots_) / seconds(meanServiceTime);
        arrivals_ = std::exponential_distribution<double>(load * capacity / statements);
    }

    void run()
    {
        end_ = start_ + warmUp + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(FLAGS_seconds));
        scheduleArrival();
        scheduleTick();
        while (!events_.empty() && events_.top().at_ < end_ + 2s) {
            const auto event = events_.top();
            events_.pop();
            now_ = event.at_;
            event.run_();
        }
    }

    void print(double load) const
    {
        const auto total = FLAGS_seconds * static_cast<double>(endpointCount * user_.slots_);
        double carried = 0;
        double weighted = 0;
        std::uint64_t requests = 0;
        for (std::size_t c = 0; c < results_.size(); ++c) {
            carried += results_[c].slotSeconds_;
            weighted += results_[c].slotSeconds_ * user_.classes_[c].weight_;
            requests += results_[c].requests_;
        }
        std::printf("| %d | %.1f | %s | %.1f %% | %.2f |", instances_, load, wayNames[static_cast<std::size_t>(way_)],
            100 * carried / total, weighted / total);
        for (std::size_t c = 0; c < results_.size(); ++c) {
            auto latencies = results_[c].latencies_;
            std::sort(latencies.begin(), latencies.end());
            const auto tail = latencies.empty() ? 0.0 : latencies[latencies.size() * 99 / 100];
            std::printf(" %.0f %% / %.0f %% / %.0f ms |",
                100 * static_cast<double>(results_[c].inTime_) / static_cast<double>(results_[c].requests_),
                100 * results_[c].slotSeconds_ * user_.classes_[c].weight_ / weighted, tail);
        }
        std::printf(" %.2f | %.2f |\n", static_cast<double>(hops_) / static_cast<double>(requests),
            static_cast<double>(connects_) / (seconds(end_ - start_)));
    }

private:
    struct Event {
        TimePoint at_;
        std::uint64_t number_;
        std::function<void()> run_;
        bool operator<(const Event& other) const { return std::tie(at_, number_) > std::tie(other.at_, other.number_); }
    };

    bool isHolder() const { return way_ != Way::FixedShare && way_ != Way::Borrowing; }

    static double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    void at(Duration delay, std::function<void()> run)
    {
        events_.push({ now_ + delay, ++eventNumber_, std::move(run) });
    }

    AdmissionSettings admission(std::size_t slots) const
    {
        AdmissionSettings settings { slots, 1000, meanServiceTime, {} };
        for (const auto& load : user_.classes_)
            settings.classes_[ClassId(load.name_)]
                = { load.weight_, load.urgent_ && (way_ == Way::Holder || !isHolder()) };
        return settings;
    }

    // The holder is in the data centre of its endpoint.
    int holderOf(int endpoint) const { return endpoint % user_.dataCentres_; }

    Duration between(int instance, int other) const
    {
        return instance % user_.dataCentres_ == other % user_.dataCentres_ ? withinDataCentre
                                                                           : user_.betweenDataCentres_;
    }

    // Time to the manager of a request; counts the hop.
    Duration hop(Work& work)
    {
        if (work.instance_ == work.manager_->instance_)
            return Duration::zero();
        ++work.hops_;
        return between(work.instance_, work.manager_->instance_);
    }

    Duration draw(Duration mean)
    {
        return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(std::exponential_distribution<double>(1 / seconds(mean))(random_)));
    }

    void scheduleArrival()
    {
        const auto delay = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(arrivals_(random_)));
        at(delay, [this] {
            if (now_ >= end_)
                return;
            arrive();
            scheduleArrival();
        });
    }

    void scheduleTick()
    {
        at(20ms, [this] {
            for (auto& manager : managers_) {
                apply(*manager, poolTimer(manager->pool_, now_));
                pump(*manager);
            }
            scheduleTick();
        });
    }

    void arrive()
    {
        auto* work = new Work;
        const auto pick = std::uniform_real_distribution<double>()(random_);
        while (work->class_ < 2 && pick >= partUpTo(work->class_))
            ++work->class_;
        const auto& load = user_.classes_[work->class_];
        const auto endpoint = static_cast<int>(random_() % endpointCount);
        work->instance_ = static_cast<int>(random_() % static_cast<std::uint64_t>(instances_));
        work->isTransaction_ = std::uniform_real_distribution<double>()(random_) < transactionPart;
        work->statementsLeft_ = work->isTransaction_ ? transactionStatements : 1;
        work->arrived_ = now_;
        work->item_.class_ = ClassId(load.name_);
        work->item_.service_ = ServiceId("service");
        work->deadline_ = now_ + load.deadline_;
        work->item_.deadline_ = now_ + (work->isTransaction_ ? load.deadline_ / 2 : load.deadline_ - answerTime);
        const auto index = isHolder() ? endpoint : endpoint * instances_ + work->instance_;
        work->manager_ = managers_[static_cast<std::size_t>(index)].get();
        at(hop(*work), [this, work] { submit(work); });
    }

    double partUpTo(std::size_t last) const
    {
        double part = 0;
        for (std::size_t c = 0; c <= last; ++c)
            part += user_.classes_[c].part_;
        return part;
    }

    void submit(Work* work)
    {
        auto& manager = *work->manager_;
        work->item_.ownsConnection_ = work->lease_.has_value();
        work->item_.id_ = reinterpret_cast<std::uintptr_t>(work);
        if (enqueue(manager.queue_, work->item_, now_))
            refuse(work);
        else
            pump(manager);
    }

    void pump(Manager& manager)
    {
        const auto decision = next(manager.queue_, now_, freeConnections(manager.pool_));
        for (const auto& refused : decision.refuse_)
            refuse(workOf(*refused.item_));
        for (auto* item : decision.start_) {
            auto* work = workOf(*item);
            if (!work->lease_)
                work->lease_ = lease(manager.pool_, {}, now_);
            statementStarted(manager.pool_, *work->lease_, work->isTransaction_, now_);
            at(between(manager.instance_, manager.endpoint_), [this, work] { reach(work); });
        }
        // More connections than slots would not start more statements.
        const auto& queue = manager.queue_;
        const auto wanted
            = std::min(queue.waiting_, queue.settings_.slots_ - std::min(queue.running_, queue.settings_.slots_));
        apply(manager, setWaitingRequests(manager.pool_, wanted, now_));
        if (way_ == Way::Borrowing && queue.waiting_ > 0 && manager.pool_.connections_.size() >= manager.share_
            && !manager.asking_)
            borrow(manager, 3);
    }

    static Work* workOf(const AdmissionItem& item) { return reinterpret_cast<Work*>(item.id_); }

    // Asks another instance for one of its connections that it does not need now.
    void borrow(Manager& manager, int tries)
    {
        manager.asking_ = true;
        const auto other = static_cast<int>(random_() % static_cast<std::uint64_t>(instances_));
        auto& lender = *managers_[static_cast<std::size_t>(manager.endpoint_ * instances_ + other)];
        const auto delay = between(manager.instance_, other);
        if (now_ >= start_ + warmUp)
            hops_ += 2;
        at(delay, [=, this, &manager, &lender] {
            const auto inUse = lender.pool_.connections_.size() - freeConnections(lender.pool_);
            const auto grants
                = &lender != &manager && lender.share_ > 1 && inUse + lender.queue_.waiting_ < lender.share_;
            if (grants) {
                setShare(lender, lender.share_ - 1);
                apply(lender, poolTimer(lender.pool_, now_));
            }
            at(delay, [=, this, &manager] {
                manager.asking_ = false;
                if (grants) {
                    setShare(manager, manager.share_ + 1);
                    pump(manager);
                } else if (tries > 1 && manager.queue_.waiting_ > 0) {
                    borrow(manager, tries - 1);
                }
            });
        });
    }

    void setShare(Manager& manager, std::size_t share)
    {
        manager.share_ = share;
        manager.pool_.settings_.connectionLimit_ = share;
        configure(manager.queue_, admission(share));
    }

    void apply(Manager& manager, const PoolActions& actions)
    {
        for (const auto& action : actions) {
            if (action.kind_ != PoolAction::Kind::Open)
                continue;
            ++connects_;
            const auto number = action.connection_;
            at(connectTime, [this, &manager, number] {
                apply(manager, connected(manager.pool_, number, now_));
                pump(manager);
            });
        }
    }

    void reach(Work* work)
    {
        auto& endpoint = endpoints_[static_cast<std::size_t>(work->manager_->endpoint_)];
        if (endpoint.busy_ >= user_.slots_) {
            endpoint.line_.push_back(work);
            return;
        }
        ++endpoint.busy_;
        serve(endpoint, work);
    }

    void serve(EndpointModel& endpoint, Work* work)
    {
        const auto duration = draw(meanServiceTime);
        work->slotTime_ += duration;
        at(duration, [this, &endpoint, work] {
            at(between(work->manager_->instance_, work->manager_->endpoint_), [this, work] { answered(work); });
            if (endpoint.line_.empty()) {
                --endpoint.busy_;
                return;
            }
            auto* following = endpoint.line_.front();
            endpoint.line_.pop_front();
            serve(endpoint, following);
        });
    }

    void answered(Work* work)
    {
        auto& manager = *work->manager_;
        finished(manager.queue_, work->item_, now_);
        const auto isOver = --work->statementsLeft_ == 0;
        statementFinished(manager.pool_, *work->lease_, !isOver, now_);
        if (isOver) {
            apply(manager, returnConnection(manager.pool_, *work->lease_, now_));
            at(hop(*work), [this, work] { complete(work); });
        } else {
            work->item_.deadline_ = work->deadline_ - answerTime;
            const auto back = hop(*work);
            at(back + user_.toCallers_ * 2 + thinkTime + hop(*work), [this, work] { submit(work); });
        }
        pump(manager);
    }

    void refuse(Work* work)
    {
        if (work->lease_)
            apply(*work->manager_, returnConnection(work->manager_->pool_, *work->lease_, now_));
        record(*work, false);
        delete work;
    }

    void complete(Work* work)
    {
        record(*work, true);
        delete work;
    }

    void record(const Work& work, bool answered)
    {
        if (work.arrived_ < start_ + warmUp)
            return;
        auto& result = results_[work.class_];
        ++result.requests_;
        hops_ += work.hops_;
        if (!answered)
            return;
        result.latencies_.push_back(seconds(now_ - work.arrived_) * 1000);
        if (now_ > work.deadline_)
            return;
        ++result.inTime_;
        result.slotSeconds_ += seconds(work.slotTime_);
    }

    const User& user_;
    int instances_;
    Way way_;
    std::mt19937_64 random_;
    std::exponential_distribution<double> arrivals_;
    const TimePoint start_ { TimePoint() + 2h };
    TimePoint now_ { start_ };
    TimePoint end_;
    std::priority_queue<Event> events_;
    std::uint64_t eventNumber_ { 0 };
    std::vector<std::unique_ptr<Manager>> managers_; // By endpoint, then by instance unless there are holders.
    std::array<EndpointModel, endpointCount> endpoints_;
    std::array<ClassResult, 3> results_;
    std::uint64_t hops_ { 0 };
    std::uint64_t connects_ { 0 };
};

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    for (const auto& user : users) {
        std::printf("\n## %s\n\n| instances | load | way | carried | weighted |", user.name_);
        for (const auto& load : user.classes_)
            std::printf(" %s (weight %.0f%s) |", load.name_, load.weight_, load.urgent_ ? ", urgent" : "");
        std::printf(" hops | connects/s |\n|---|---|---|---|---|---|---|---|---|---|\n");
        for (const int instances : { 13, 17 }) {
            for (const double load : { 0.5, 1.0, 2.0, 4.0 }) {
                for (const auto way :
                    { Way::FixedShare, Way::Borrowing, Way::Holder, Way::HolderWithoutReserve, Way::HolderOneAhead }) {
                    Simulation simulation(user, instances, load, way);
                    simulation.run();
                    simulation.print(load);
                    std::fflush(stdout);
                }
            }
        }
    }
    return 0;
}
