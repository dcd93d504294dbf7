// Searches for series of disruptions after which the control log has no majority, although no more disks were lost at
// once than it tolerates. Between two losses of a disk, all members run undisturbed for a catch-up time.
//
// CONTROL_LOSS_FIRST, CONTROL_LOSS_SERIES and CONTROL_LOSS_FILE_SERIES choose other seeds and more series;
// CONTROL_LOSS_SIX_FIRST, CONTROL_LOSS_SIX_SERIES and CONTROL_LOSS_SIX_FILE_SERIES those of six members with two
// losses. CONTROL_LOSS_THREADS is the number of series played at once.

#include "support/ControlCluster.h"
#include "support/Environment.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <thread>

using namespace cassiahollow;
using cassiahollow::testing::numberFrom;
using namespace std::chrono_literals;
using fake::ControlCluster;

namespace {

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::size_t defaultSeries = 60;
constexpr std::size_t defaultFileSeries = 4;
constexpr std::size_t defaultSixSeries = 10;
constexpr std::size_t defaultSixFileSeries = 1;
#else
constexpr std::size_t defaultSeries = 1500;
constexpr std::size_t defaultFileSeries = 24;
constexpr std::size_t defaultSixSeries = 200;
constexpr std::size_t defaultSixFileSeries = 4;
#endif
constexpr std::size_t defaultThreads = 4;

// The time after which a restarted or new member counts as available (CatchupS of the platform's settings).
constexpr Duration catchUpTime = 4s;
constexpr Duration longCatchUpTime = 6s;
// The time within which a cluster whose members all run again serves reads and changes (ContactMs of the settings).
constexpr Duration serviceTime = 4s;

enum class Disruption {
    LosePower,
    LosePowerAtWrite,
    LoseAllPower,
    Cut,
    CutIn,
    CutOut,
    Split,
    Freeze,
    FillDisk,
    FillDisksInTurn,
    Restart,
    Reload,
    Count
};

enum class DiskLoss { None, LoseDisk, LoseDiskAndPower, Replace, ReplacePlanned, Add, Count };

// What happens to a member shortly before the final fault of a series with six members.
enum class Change { None, Join, Leave, Restart, Replace, ReplacePlanned, CutOff, FillDisk, Count };

// When the final fault of a series with six members strikes.
enum class Moment { Acknowledged, Sent, AfterSent, Count };

struct Series {
    std::uint64_t seed_;
    std::size_t size_;
    std::size_t losses_; // The disks that may be lost at once.
    Duration catchUp_ { catchUpTime };
    bool variesFinalFault_ { false }; // By what happens to a member before it, and by its moment.
};

struct Result {
    std::vector<std::string> violations_;
    std::vector<std::string> history_;
    std::uint64_t acknowledgements_ { 0 };
    std::size_t disruptions_ { 0 };
    ControlCluster::SyncedVoters syncedVoters_;
};

// The settings of the daemon's control host; short snapshots, so that lagging members need one.
ControlLogOptions hostOptions(std::size_t losses, bool isCompacting, Duration catchUp = catchUpTime)
{
    ControlLogOptions options;
    options.toleratedLosses_ = losses;
    options.admitsUnlisted_ = true;
    options.removeUnreachableAfter_ = catchUp * 3 / 4;
    options.electionTimeout_ = 400ms;
    options.heartbeatInterval_ = 120ms;
    options.helloInterval_ = 250ms;
    options.snapshotAfter_ = isCompacting ? 12 : 100;
    options.keptEntries_ = isCompacting ? 3 : 20;
    return options;
}

class SeriesRun {
public:
    SeriesRun(const Series& series, const std::filesystem::path& folder, bool isRecording)
        : losses_(series.losses_)
        , catchUp_(series.catchUp_)
        , variesFinalFault_(series.variesFinalFault_)
        , random_(series.seed_ * 7919 + series.size_)
        , cluster_({ .seed_ = series.seed_,
              .size_ = series.size_,
              .log_ = hostOptions(series.losses_, random_() % 2 == 0, series.catchUp_),
              .folder_ = folder,
              .records_ = isRecording,
              .delaysCutMessages_ = random_() % 2 == 0 })
    {
    }

    Result run()
    {
        cluster_.runFor(2s);
        cluster_.startClient();
        cluster_.runFor(1s);
        const auto episodes = 1 + random_() % 4;
        for (std::size_t i = 0; i < episodes; ++i)
            playEpisode();
        if (variesFinalFault_)
            playFinalFault();
        else
            loseDiskAtAcknowledgement();
        checkService();
        result_.acknowledgements_ = cluster_.acknowledgements();
        result_.syncedVoters_ = cluster_.syncedVoters();
        for (const auto& violation : cluster_.violations())
            result_.violations_.push_back(violation);
        result_.history_ = cluster_.history();
        return result_;
    }

private:
    Duration between(Duration low, Duration high)
    {
        return low + Duration(static_cast<Duration::rep>(random_() % static_cast<std::uint64_t>((high - low).count())));
    }

    std::string victim()
    {
        const auto leader = cluster_.leader();
        if (!leader.empty() && random_() % 3 == 0)
            return leader;
        const auto names = cluster_.names();
        return names[random_() % names.size()];
    }

    // Notes that a disruption lasts until this time from now.
    void lasts(Duration time) { end_ = std::max(end_, cluster_.now() + time); }

    void disrupt()
    {
        ++result_.disruptions_;
        const auto name = victim();
        const auto time = between(100ms, 6s);
        const auto down = between(200ms, 3s);
        switch (static_cast<Disruption>(random_() % static_cast<std::size_t>(Disruption::Count))) {
        case Disruption::LosePower:
            cluster_.losePower(name, down);
            return lasts(down);
        case Disruption::LosePowerAtWrite:
            cluster_.losePowerAtWrite(name, down);
            return lasts(1s + down);
        case Disruption::LoseAllPower:
            for (const auto& one : cluster_.names())
                cluster_.losePower(one, down);
            return lasts(down);
        case Disruption::Cut:
            cluster_.cut(name, true, true, time);
            return lasts(time);
        case Disruption::CutIn:
            cluster_.cut(name, true, false, time);
            return lasts(time);
        case Disruption::CutOut:
            cluster_.cut(name, false, true, time);
            return lasts(time);
        case Disruption::Split: {
            std::set<std::string> side;
            for (const auto& one : cluster_.names()) {
                if (random_() % 2 == 0)
                    side.insert(one);
            }
            cluster_.split(side, time);
            return lasts(time);
        }
        case Disruption::Freeze:
            cluster_.freeze(name, time);
            return lasts(time);
        case Disruption::FillDisk:
            cluster_.fillDisk(name, time);
            return lasts(time);
        case Disruption::FillDisksInTurn: {
            Duration start {};
            for (const auto& one : cluster_.names()) {
                const auto full = between(500ms, 4s);
                cluster_.at(cluster_.now() + start, [this, one, full] { cluster_.fillDisk(one, full); });
                start += full + between(0ms, 500ms);
            }
            return lasts(start);
        }
        case Disruption::Restart:
            cluster_.terminate(name, down);
            return lasts(down);
        case Disruption::Reload:
            for (const auto& one : cluster_.names())
                cluster_.reload(one);
            return;
        case Disruption::Count:
            return;
        }
    }

    void loseDisk()
    {
        ++result_.disruptions_;
        const auto name = victim();
        const auto down = between(100ms, 3s);
        switch (static_cast<DiskLoss>(random_() % static_cast<std::size_t>(DiskLoss::Count))) {
        case DiskLoss::LoseDisk:
            cluster_.loseDisk(name, down);
            return lasts(down);
        case DiskLoss::LoseDiskAndPower:
            return loseDisksAndPower({ name });
        case DiskLoss::Replace:
            cluster_.removeForever(name);
            cluster_.at(cluster_.now() + down, [this] { cluster_.add(); });
            return lasts(down);
        case DiskLoss::ReplacePlanned:
            // The removed member stops counting a catch-up time after the start of its successor.
            cluster_.add();
            cluster_.at(cluster_.now() + down, [this, name] { cluster_.terminate(name, std::nullopt); });
            return lasts(Duration(0));
        case DiskLoss::Add:
            if (cluster_.names().size() < maximumControlVoters)
                cluster_.add();
            return lasts(Duration(0));
        case DiskLoss::None:
        case DiskLoss::Count:
            return;
        }
    }

    // Disruptions that may overlap, some of which lose as many disks as may be lost at once, and then a quiet catch-up
    // time.
    void playEpisode()
    {
        end_ = cluster_.now();
        const auto count = random_() % 3;
        const auto diskAt = random_() % (count + 1);
        for (std::size_t i = 0; i < count + losses_; ++i) {
            if (i >= diskAt && i < diskAt + losses_)
                loseDisk();
            else
                disrupt();
            cluster_.runFor(between(1ms, 2s));
        }
        end_ = std::max(end_ + catchUp_, cluster_.now());
        cluster_.runFor(end_ - cluster_.now());
    }

    // The disks of some members and the power of all others. The members come back in any order.
    void loseDisksAndPower(const std::set<std::string>& lost)
    {
        for (const auto& name : cluster_.names()) {
            const auto down = between(100ms, 3s);
            if (lost.contains(name))
                cluster_.loseDisk(name, down);
            else
                cluster_.losePower(name, down);
            lasts(down);
        }
    }

    // As many disks as may be lost, and the power of all other members, right after an acknowledgement.
    void loseDiskAtAcknowledgement()
    {
        bool isOver = false;
        const auto strike = [&] {
            if (std::exchange(isOver, true))
                return;
            std::set<std::string> lost;
            while (lost.size() < losses_)
                lost.insert(victim());
            loseDisksAndPower(lost);
        };
        cluster_.onAcknowledged(strike);
        if (!cluster_.runUntil([&] { return isOver; }, serviceTime)) {
            result_.violations_.emplace_back("no change acknowledged after a quiet catch-up time");
            strike();
        }
    }

    // Returns the number of disks that this takes with it.
    std::size_t changeMember()
    {
        ++result_.disruptions_;
        const auto name = victim();
        const auto time = between(100ms, 6s);
        const auto down = between(200ms, 3s);
        switch (static_cast<Change>(random_() % static_cast<std::size_t>(Change::Count))) {
        case Change::Join:
            cluster_.add();
            return 0;
        case Change::Leave:
            cluster_.terminate(name, std::nullopt);
            return 1;
        case Change::Restart:
            cluster_.terminate(name, down);
            lasts(1s + down);
            return 0;
        case Change::Replace:
            cluster_.removeForever(name);
            cluster_.at(cluster_.now() + between(100ms, 1s), [this] { cluster_.add(); });
            lasts(1s);
            return 1;
        case Change::ReplacePlanned:
            cluster_.add();
            cluster_.at(cluster_.now() + between(100ms, 2s), [this, name] { cluster_.terminate(name, std::nullopt); });
            lasts(3s);
            return 1;
        case Change::CutOff:
            cluster_.cut(name, random_() % 3 != 0, random_() % 3 != 0, time);
            lasts(time);
            return 0;
        case Change::FillDisk:
            cluster_.fillDisk(name, time);
            lasts(time);
            return 0;
        case Change::None:
        case Change::Count:
            return 0;
        }
        return 0;
    }

    // The disks that may still be lost, and in three of four cases the power of all other members, at one moment.
    void strike(std::size_t losses)
    {
        std::set<std::string> lost;
        while (lost.size() < losses)
            lost.insert(victim());
        if (random_() % 4 != 0)
            return loseDisksAndPower(lost);
        for (const auto& name : lost) {
            const auto down = between(100ms, 3s);
            cluster_.loseDisk(name, down);
            lasts(down);
        }
    }

    void playFinalFault()
    {
        const auto losses = losses_ - changeMember();
        // Up to a catch-up time, after which the disk of a member that was replaced no longer counts as lost.
        cluster_.runFor(between(0ms, random_() % 2 == 0 ? 1s : catchUp_));
        bool isOver = false;
        const auto strikeOnce = [&] {
            if (!std::exchange(isOver, true))
                strike(losses);
        };
        switch (static_cast<Moment>(random_() % static_cast<std::size_t>(Moment::Count))) {
        case Moment::Acknowledged:
            cluster_.onAcknowledged(strikeOnce);
            break;
        case Moment::Sent:
            cluster_.onChangeSent(strikeOnce);
            break;
        case Moment::AfterSent:
            cluster_.onChangeSent([&] { cluster_.at(cluster_.now() + between(5ms, 400ms), strikeOnce); });
            break;
        case Moment::Count:
            break;
        }
        if (!cluster_.runUntil([&] { return isOver; }, serviceTime)) {
            result_.violations_.emplace_back("no change acknowledged before the final fault");
            strikeOnce();
        }
    }

    void checkService()
    {
        cluster_.runFor(std::max<Duration>(end_ - cluster_.now(), 0ms));
        const auto before = cluster_.acknowledgements();
        const auto wanted = cluster_.acknowledgedVersion();
        const auto end = cluster_.now() + serviceTime;
        const auto version = cluster_.readBack(serviceTime);
        if (!version)
            result_.violations_.emplace_back("no read confirmed after the last loss");
        else if (*version < wanted)
            result_.violations_.push_back(
                "read back " + std::to_string(*version) + ", " + std::to_string(wanted) + " was acknowledged");
        const bool isAcknowledged = cluster_.runUntil(
            [&] { return cluster_.acknowledgements() > before; }, std::max<Duration>(end - cluster_.now(), 0ms));
        if (!isAcknowledged)
            result_.violations_.emplace_back("no change acknowledged after the last loss");
    }

    const std::size_t losses_;
    const Duration catchUp_;
    const bool variesFinalFault_;
    std::mt19937_64 random_;
    ControlCluster cluster_;
    TimePoint end_;
    Result result_;
};

std::string describe(const Series& series)
{
    return (series.variesFinalFault_ ? "CONTROL_LOSS_SIX_FIRST=" : "CONTROL_LOSS_FIRST=") + std::to_string(series.seed_)
        + " with " + std::to_string(series.size_) + " members";
}

// Prints a summary, the seeds of all series with a violation, and the history of the first one. Returns the number of
// series with a violation.
std::size_t report(const char* name, const std::vector<Series>& all, const std::vector<Result>& results,
    const std::function<Result(const Series&)>& replay)
{
    std::size_t broken = 0;
    std::uint64_t acknowledgements = 0;
    std::size_t disruptions = 0;
    std::map<std::pair<std::size_t, std::string>, std::size_t> kinds;
    ControlCluster::SyncedVoters synced;
    for (std::size_t i = 0; i < all.size(); ++i) {
        acknowledgements += results[i].acknowledgements_;
        disruptions += results[i].disruptions_;
        for (const auto& [voters, count] : results[i].syncedVoters_)
            synced[voters] += count;
        for (const auto& violation : results[i].violations_)
            ++kinds[{ all[i].size_, violation.substr(violation.find(": ") == std::string::npos ? 0 : 4) }];
        if (results[i].violations_.empty())
            continue;
        std::cout << describe(all[i]) << ":\n";
        if (broken++ > 0)
            continue;
        const auto repeated = replay(all[i]);
        for (const auto& line : repeated.history_)
            std::cout << "    " << line << "\n";
        for (const auto& violation : results[i].violations_)
            std::cout << "  " << violation << "\n";
    }
    std::cout << name << ": " << all.size() << " series from seed " << (all.empty() ? 0 : all.front().seed_) << ", "
              << disruptions << " disruptions, " << acknowledgements << " changes acknowledged, " << broken
              << " series with a violation\n";
    for (const auto& [voters, count] : synced)
        std::cout << "  " << count << " changes committed by " << voters.second << " of " << voters.first
                  << " voters\n";
    for (const auto& [kind, count] : kinds)
        std::cout << "  " << count << " with " << kind.first << " members: " << kind.second << "\n";
    return broken;
}

std::vector<Series> seriesFrom(std::uint64_t first, std::size_t count)
{
    // Members and tolerated losses of deployments.
    constexpr Series shapes[] { { 0, 3, 1 }, { 0, 4, 1 }, { 0, 5, 1 }, { 0, 5, 2 }, { 0, 7, 2 }, { 0, 8, 2 } };
    std::vector<Series> all;
    for (std::size_t i = 0; i < count; ++i) {
        auto series = shapes[(first + i) % std::size(shapes)];
        series.seed_ = first + i;
        all.push_back(series);
    }
    return all;
}

// Six members with two losses, as cmrc-pool-large has them. Apart from the shapes above, whose seeds would otherwise
// stand for other series.
std::vector<Series> sixMemberSeriesFrom(std::uint64_t first, std::size_t count)
{
    std::vector<Series> all;
    for (auto seed = first; seed < first + count; ++seed)
        all.push_back({ seed, 6, 2, seed % 2 == 0 ? catchUpTime : longCatchUpTime, true });
    return all;
}

std::vector<Result> playAll(const std::vector<Series>& all)
{
    std::vector<Result> results(all.size());
    std::atomic<std::size_t> next { 0 };
    std::vector<std::thread> threads;
    for (auto i = numberFrom("CONTROL_LOSS_THREADS", defaultThreads); i > 0; --i) {
        threads.emplace_back([&] {
            for (auto index = next++; index < all.size(); index = next++)
                results[index] = SeriesRun(all[index], {}, false).run();
        });
    }
    for (auto& thread : threads)
        thread.join();
    return results;
}

Result replay(const Series& series)
{
    return SeriesRun(series, {}, true).run();
}

// Removed at the end of the test.
struct TemporaryFolder {
    std::filesystem::path path_;

    TemporaryFolder()
    {
        auto pattern = (std::filesystem::temp_directory_path() / "control-loss-XXXXXX").string();
        path_ = mkdtemp(pattern.data());
    }
    ~TemporaryFolder() { std::filesystem::remove_all(path_); }
};

Result replayWithFiles(const Series& series)
{
    const TemporaryFolder folder;
    return SeriesRun(series, folder.path_, true).run();
}

std::vector<Result> playAllWithFiles(const std::vector<Series>& all)
{
    std::vector<Result> results;
    for (const auto& series : all)
        results.push_back(replayWithFiles(series));
    return results;
}

} // namespace

// Guards against members that refuse their votes to all others and do not campaign themselves.
TEST_CASE("a leader whose departure was interrupted takes part in elections")
{
    ControlCluster cluster({ .seed_ = 1, .size_ = 4, .log_ = hostOptions(1, false) });
    cluster.runFor(2s);
    cluster.startClient();
    cluster.runFor(1s);
    const auto leader = cluster.leader();
    REQUIRE_FALSE(leader.empty());
    const auto names = cluster.names();
    const auto follower = names.front() == leader ? names.back() : names.front();
    // The removal of the leader reaches only one of the three other members, which is then gone for good.
    cluster.split({ leader, follower }, 2s);
    cluster.runFor(100ms);
    cluster.terminate(leader, 300ms);
    cluster.runFor(500ms);
    cluster.removeForever(follower);
    cluster.runFor(2s);
    const auto before = cluster.acknowledgements();
    CHECK(cluster.readBack(serviceTime).value_or(0) >= cluster.acknowledgedVersion());
    CHECK(cluster.runUntil([&] { return cluster.acknowledgements() > before; }, serviceTime));
    CHECK(cluster.violations().empty());
}

// Guards against voters that are gone and keep their places, while members that replace them cannot vote.
TEST_CASE("a silent voter makes place for a member that waits")
{
    ControlCluster cluster({ .seed_ = 1, .size_ = 7, .log_ = hostOptions(2, false) });
    cluster.runFor(2s);
    cluster.startClient();
    cluster.runFor(1s);
    const auto first = cluster.leader();
    REQUIRE_FALSE(first.empty());
    cluster.removeForever(first);
    cluster.runFor(500ms);
    cluster.add();
    const auto lastSuccessor = cluster.add();
    cluster.runFor(2900ms);
    cluster.terminate(cluster.leader(), std::nullopt);
    // Both successors have run for a catch-up time; the next losses count.
    cluster.runFor(catchUpTime - 2900ms);
    const auto names = cluster.names();
    REQUIRE(names.size() == 7);
    std::size_t lost = 0;
    for (const auto& name : names) {
        if (name != lastSuccessor && ++lost <= 2)
            cluster.loseDisk(name, 500ms);
        else
            cluster.losePower(name, 500ms);
    }
    cluster.runFor(500ms);
    const auto before = cluster.acknowledgements();
    CHECK(cluster.readBack(serviceTime).value_or(0) >= cluster.acknowledgedVersion());
    CHECK(cluster.runUntil([&] { return cluster.acknowledgements() > before; }, serviceTime));
    CHECK(cluster.violations().empty());
}

// Guards against a majority that is lost by tolerated losses: of a disk, power, links, space and members.
TEST_CASE("an acknowledged change is read back after a lost disk")
{
    const auto all = seriesFrom(numberFrom("CONTROL_LOSS_FIRST", 1), numberFrom("CONTROL_LOSS_SERIES", defaultSeries));
    CHECK(report("losses", all, playAll(all), replay) == 0);
}

// Guards against files that a member cannot use any more after writes have failed. One thread, because the limit that
// stands for the full disk applies to the process.
TEST_CASE("an acknowledged change is read back from files after full disks")
{
    const auto all
        = seriesFrom(numberFrom("CONTROL_LOSS_FIRST", 1), numberFrom("CONTROL_LOSS_FILE_SERIES", defaultFileSeries));
    CHECK(report("losses with files", all, playAllWithFiles(all), replayWithFiles) == 0);
}

// Guards against two disks lost at once by six members, around a change of the members or of the catalog: the final
// faults of cmrc-pool-large.
TEST_CASE("an acknowledged change is read back by six members after two lost disks")
{
    const auto all = sixMemberSeriesFrom(
        numberFrom("CONTROL_LOSS_SIX_FIRST", 1), numberFrom("CONTROL_LOSS_SIX_SERIES", defaultSixSeries));
    CHECK(report("losses of six", all, playAll(all), replay) == 0);
}

// Guards against the same with the files of real disks.
TEST_CASE("an acknowledged change is read back from the files of six members after two lost disks")
{
    const auto all = sixMemberSeriesFrom(
        numberFrom("CONTROL_LOSS_SIX_FIRST", 1), numberFrom("CONTROL_LOSS_SIX_FILE_SERIES", defaultSixFileSeries));
    CHECK(report("losses of six with files", all, playAllWithFiles(all), replayWithFiles) == 0);
}
