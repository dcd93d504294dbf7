#pragma once

#include "cassiahollow/request/AccountQuota.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cassiahollow::testing {

/// Rules that are known to be wrong; the search has to find each of them.
enum class WrongQuotaRule { None, NewLedgerIsFull, LoanIsNotDebited, TokensNeverExpire, CountsReachableDataCentres };

/// Entry instances with the rules of quotas as they are, and clients; links, machines and control members are state and
/// a time. Control members hear from entry instances and from each other as ControlHost does.
class QuotaWorld {
public:
    struct Account {
        AccountId id_;
        std::vector<QuotaLimit> limits_; ///< The last one is in force.
        /// When all instances had applied the last limit; the earlier ones bind until one window later.
        std::optional<TimePoint> appliedAt_;
        double demand_ { 0 }; ///< Operations per second.
        std::vector<std::size_t> instances_; ///< Where its clients are.
        std::deque<TimePoint> admitted_; ///< In the last window, by the time of sending.
        std::uint64_t sent_ { 0 };
        std::uint64_t refused_ { 0 };
        std::uint64_t episode_ { 0 }; ///< Arrivals of earlier episodes have ended.
    };

    QuotaWorld(std::uint64_t seed, std::size_t dataCentres, std::size_t perDataCentre, WrongQuotaRule wrong)
        : random_(seed * 6364136223846793005ULL + 1)
        , dataCentres_(dataCentres)
        , wrong_(wrong)
        , members_(dataCentres)
    {
        for (std::size_t i = 0; i < dataCentres * perDataCentre; ++i) {
            instances_.push_back(std::make_unique<Instance>());
            auto& instance = *instances_.back();
            instance.index_ = i;
            instance.dataCentre_ = i % dataCentres;
            instance.id_ = InstanceId("10.0." + std::to_string(i % dataCentres) + "." + std::to_string(i) + ":7440");
            byId_[instance.id_] = i;
        }
        for (const auto& instance : instances_)
            boot(*instance);
        for (std::size_t member = 0; member < members_.size(); ++member)
            exchange(member);
    }

    std::mt19937_64& random() { return random_; }
    TimePoint now() const { return now_; }
    std::size_t instances() const { return instances_.size(); }
    const std::string& violation() const { return violation_; }
    /// What each instance believes, for the report of a violation.
    std::string describe() const
    {
        std::string text;
        for (const auto& instance : instances_) {
            for (const auto& [account, ledger] : instance->state_.ledgers_) {
                text += "\n" + instance->id_.value_ + (instance->isUp_ ? "" : " (down)")
                    + (now_ < instance->frozenUntil_ ? " (frozen)" : "") + " " + account.value_
                    + (ledger.isOwner_ ? " owner" : " fallback") + ", balance " + std::to_string(ledger.balance_)
                    + ", spent " + std::to_string(ledger.spent_.sum_);
            }
        }
        return text;
    }
    std::vector<Account>& accounts() { return accounts_; }

    void addAccount(QuotaLimit limit, std::vector<std::size_t> instances)
    {
        Account account;
        account.id_ = AccountId("account-" + std::to_string(accounts_.size()));
        account.limits_ = { limit };
        account.instances_ = std::move(instances);
        accounts_.push_back(std::move(account));
        for (const auto& instance : instances_)
            applyLimits(*instance);
    }

    /// Some messages take up to 120 ms longer, unless this is switched off.
    void setSlowMessages(bool value) { hasSlowMessages_ = value; }

    /// Clients of the account send this many operations per second from now on, at random times.
    void setDemand(std::size_t account, double perSecond)
    {
        accounts_[account].demand_ = perSecond;
        ++accounts_[account].episode_;
        arrive(account, accounts_[account].episode_);
    }

    /// Instances learn it one after the other, and those that are down when they start.
    void setLimit(std::size_t account, QuotaLimit limit)
    {
        accounts_[account].limits_.push_back(limit);
        accounts_[account].appliedAt_.reset();
        for (const auto& instance : instances_) {
            at(now_ + milliseconds(1, 1500), [this, &instance = *instance] {
                whenAwake(instance, [this, &instance] {
                    applyLimits(instance);
                    noteApplied();
                });
            });
        }
    }

    void freeze(std::size_t index, Duration time) { instances_[index]->frozenUntil_ = now_ + time; }

    void restart(std::size_t index, Duration time)
    {
        auto& instance = *instances_[index];
        ++instance.incarnation_;
        instance.isUp_ = false;
        loseConnections(instance);
        at(now_ + time, [this, &instance, incarnation = instance.incarnation_] {
            if (instance.incarnation_ == incarnation)
                boot(instance);
        });
    }

    /// The instance announces its end, and is gone a little later.
    void stop(std::size_t index, Duration time)
    {
        auto& instance = *instances_[index];
        if (!instance.isUp_ || now_ < instance.frozenUntil_)
            return;
        instance.takesRequests_ = false;
        run(instance, [&](QuotaActions& actions) { giveUpLedgers(instance.state_, now_, actions); });
        for (const auto& other : instances_) {
            if (other.get() != &instance && random_() % 2 == 0)
                deliver(instance, *other, [this, &other = *other, id = instance.id_](QuotaActions& actions) {
                    leaveInstance(other.state_, id, now_, actions);
                });
        }
        at(now_ + std::chrono::seconds(2), [this, index, time] { restart(index, time); });
    }

    void partition(std::size_t dataCentre, Duration time)
    {
        cutUntil_[dataCentre] = now_ + time;
        for (const auto& instance : instances_)
            updateDataCentres(*instance);
        at(now_ + time, [this] {
            for (const auto& instance : instances_)
                updateDataCentres(*instance);
        });
    }

    /// The instance learns of no changes for a while.
    void isolateFeed(std::size_t index, Duration time) { instances_[index]->noFeedUntil_ = now_ + time; }

    void restartAll()
    {
        for (std::size_t i = 0; i < instances_.size(); ++i)
            restart(i, milliseconds(600, 1200));
        for (auto& member : members_)
            member = {};
    }

    void runFor(Duration time)
    {
        const auto end = now_ + time;
        while (!events_.empty() && events_.top().time_ <= end && violation_.empty()) {
            auto event = events_.top();
            events_.pop();
            now_ = std::max(now_, event.time_);
            event.run_();
        }
        now_ = end;
    }

    Duration milliseconds(std::uint64_t low, std::uint64_t high)
    {
        return std::chrono::microseconds(low * 1000 + random_() % ((high - low) * 1000 + 1));
    }

private:
    struct Instance {
        std::size_t index_ { 0 };
        std::size_t dataCentre_ { 0 };
        InstanceId id_;
        std::uint64_t incarnation_ { 0 };
        bool isUp_ { false };
        bool takesRequests_ { true };
        bool isGreedy_ { false }; ///< Asks for as much as it can.
        TimePoint frozenUntil_;
        TimePoint noFeedUntil_;
        QuotaState state_;
        std::uint64_t lastOperation_ { 0 };
        struct Sent {
            std::size_t account_ { 0 };
            TimePoint sentAt_;
        };
        std::map<std::uint64_t, Sent> operations_;
        std::optional<TimePoint> wakeAt_;
        std::vector<std::size_t> limitsApplied_; ///< Of each account.
    };
    struct Member {
        std::map<std::size_t, TimePoint> askedAt_;
        std::map<std::size_t, bool> takesRequests_;
        struct Heard {
            TimePoint at_;
            std::vector<std::size_t> instances_;
        };
        std::map<std::size_t, Heard> heard_;
        TimePoint startedAt_;
    };
    struct Event {
        TimePoint time_;
        std::uint64_t number_ { 0 };
        std::function<void()> run_;
        bool operator<(const Event& other) const
        {
            return std::tie(time_, number_) > std::tie(other.time_, other.number_);
        }
    };

    static constexpr Duration instanceLifetime = std::chrono::seconds(3);
    static constexpr Duration feedInterval = std::chrono::milliseconds(250);
    static constexpr Duration exchangeInterval = std::chrono::seconds(1);
    // What has not been acknowledged after this time is lost, with the connection.
    static constexpr Duration connectionSilence = std::chrono::seconds(1);

    void at(TimePoint time, std::function<void()> run) { events_.push({ time, ++lastEvent_, std::move(run) }); }

    bool isCut(std::size_t a, std::size_t b) const
    {
        const auto cut = [&](std::size_t dataCentre) {
            const auto found = cutUntil_.find(dataCentre);
            return found != cutUntil_.end() && now_ < found->second;
        };
        return a != b && (cut(a) || cut(b));
    }

    void whenAwake(Instance& instance, const std::function<void()>& what)
    {
        if (!instance.isUp_)
            return;
        if (now_ >= instance.frozenUntil_)
            return what();
        at(instance.frozenUntil_, [this, &instance, incarnation = instance.incarnation_, what] {
            if (instance.incarnation_ == incarnation)
                whenAwake(instance, what);
        });
    }

    void boot(Instance& instance)
    {
        instance.isUp_ = true;
        instance.takesRequests_ = true;
        instance.isGreedy_ = random_() % 2 == 0;
        instance.frozenUntil_ = {};
        instance.operations_.clear();
        instance.wakeAt_.reset();
        instance.state_ = {};
        instance.state_.settings_.dataCentres_ = dataCentres_;
        updateDataCentres(instance);
        if (wrong_ == WrongQuotaRule::NewLedgerIsFull)
            instance.state_.settings_.slack_ = 1e9;
        applyLimits(instance);
        noteApplied();
        ask(instance, instance.incarnation_);
        tick(instance, instance.incarnation_);
    }

    void updateDataCentres(Instance& instance)
    {
        if (wrong_ != WrongQuotaRule::CountsReachableDataCentres)
            return;
        std::size_t reachable = 0;
        for (std::size_t i = 0; i < dataCentres_; ++i)
            reachable += isCut(instance.dataCentre_, i) ? 0 : 1;
        instance.state_.settings_.dataCentres_ = reachable;
    }

    void applyLimits(Instance& instance)
    {
        if (!instance.isUp_)
            return;
        std::map<AccountId, QuotaLimit> limits;
        instance.limitsApplied_.clear();
        for (const auto& account : accounts_) {
            limits[account.id_] = account.limits_.back();
            instance.limitsApplied_.push_back(account.limits_.size());
        }
        setQuotaLimits(instance.state_, std::move(limits), now_);
    }

    void noteApplied()
    {
        for (std::size_t i = 0; i < accounts_.size(); ++i) {
            auto& account = accounts_[i];
            const bool isApplied = std::all_of(instances_.begin(), instances_.end(), [&](const auto& instance) {
                return !instance->isUp_ || instance->limitsApplied_.at(i) == account.limits_.size();
            });
            if (isApplied && account.limits_.size() > 1 && !account.appliedAt_)
                account.appliedAt_ = now_;
        }
    }

    // Control members.

    bool isListed(const Member& member, std::size_t index) const
    {
        const auto asked = member.askedAt_.find(index);
        if (asked != member.askedAt_.end() && now_ - asked->second < instanceLifetime)
            return member.takesRequests_.at(index);
        return std::any_of(member.heard_.begin(), member.heard_.end(), [&](const auto& item) {
            const auto& heard = item.second;
            return now_ - heard.at_ < instanceLifetime
                && std::find(heard.instances_.begin(), heard.instances_.end(), index) != heard.instances_.end();
        });
    }

    void exchange(std::size_t from)
    {
        std::vector<std::size_t> listed;
        for (const auto& instance : instances_) {
            if (isListed(members_[from], instance->index_))
                listed.push_back(instance->index_);
        }
        for (std::size_t to = 0; to < members_.size(); ++to) {
            if (to != from && !isCut(from, to))
                members_[to].heard_[from] = { now_, listed };
        }
        at(now_ + exchangeInterval, [this, from] { exchange(from); });
    }

    void ask(Instance& instance, std::uint64_t incarnation)
    {
        if (instance.incarnation_ != incarnation || !instance.isUp_)
            return;
        at(now_ + feedInterval, [this, &instance, incarnation] { ask(instance, incarnation); });
        // Most instances ask a member of their own data centre.
        const auto index = instance.index_ % 5 == 4 ? (instance.dataCentre_ + 1) % dataCentres_ : instance.dataCentre_;
        const auto member = isCut(instance.dataCentre_, index) ? instance.dataCentre_ : index;
        if (now_ < instance.frozenUntil_ || now_ < instance.noFeedUntil_)
            return;
        members_[member].askedAt_[instance.index_] = now_;
        members_[member].takesRequests_[instance.index_] = instance.takesRequests_;
        at(now_ + milliseconds(1, 60), [this, &instance, incarnation, member, askedAt = now_] {
            if (instance.incarnation_ != incarnation)
                return;
            QuotaView view { instance.id_, centre(instance.dataCentre_), {}, instances_.size() };
            for (const auto& other : instances_) {
                if (isListed(members_[member], other->index_))
                    view.instances_[centre(other->dataCentre_)].push_back(other->id_);
            }
            whenAwake(instance, [this, &instance, view, askedAt] {
                run(instance, [&](QuotaActions& actions) {
                    confirmQuotaView(instance.state_, askedAt, now_);
                    setQuotaView(instance.state_, view, now_, actions);
                });
            });
        });
    }

    static DataCentre centre(std::size_t index) { return DataCentre("dc" + std::to_string(index)); }

    // Entry instances.

    void tick(Instance& instance, std::uint64_t incarnation)
    {
        if (instance.incarnation_ != incarnation || !instance.isUp_)
            return;
        at(now_ + std::chrono::milliseconds(50), [this, &instance, incarnation] { tick(instance, incarnation); });
        if (now_ >= instance.frozenUntil_)
            run(instance, [&](QuotaActions& actions) { wakeQuotas(instance.state_, now_, actions); });
    }

    void run(Instance& instance, const std::function<void(QuotaActions&)>& event)
    {
        QuotaActions actions;
        event(actions);
        for (const auto& decision : actions.decisions_)
            decided(instance, decision);
        for (const auto& send : actions.sends_) {
            if (const auto* loan = std::get_if<QuotaLoan>(&send.message_);
                loan && wrong_ == WrongQuotaRule::LoanIsNotDebited && loan->tokens_ > 0) {
                auto& ledger = instance.state_.ledgers_.at(loan->account_);
                ledger.balance_ += loan->tokens_;
                ledger.spent_ = {};
            }
            const auto to = byId_.find(send.to_);
            if (to == byId_.end())
                continue;
            auto& other = *instances_[to->second];
            deliver(instance, other, [this, &other, from = instance.id_, message = send.message_](QuotaActions& out) {
                receiveQuota(other.state_, from, message, now_, out);
            });
        }
        if (wrong_ == WrongQuotaRule::TokensNeverExpire) {
            for (auto& [account, cache] : instance.state_.caches_) {
                for (auto& tokens : cache.tokens_)
                    tokens.expiresAt_ = TimePoint::max();
            }
        }
        const auto wake = nextQuotaWakeup(instance.state_);
        if (!wake || (instance.wakeAt_ && *instance.wakeAt_ <= *wake && *instance.wakeAt_ > now_))
            return;
        instance.wakeAt_ = std::max(*wake, now_ + std::chrono::microseconds(100));
        at(*instance.wakeAt_, [this, &instance, incarnation = instance.incarnation_] {
            if (instance.incarnation_ != incarnation || !instance.isUp_ || now_ < instance.frozenUntil_)
                return;
            run(instance, [&](QuotaActions& out) { wakeQuotas(instance.state_, now_, out); });
        });
    }

    // Messages of one connection arrive in order; a partition delays them or ends the connection.
    void deliver(Instance& from, Instance& to, const std::function<void(QuotaActions&)>& event)
    {
        if (!to.isUp_) {
            return at(now_ + milliseconds(1, 2), [this, &from, id = to.id_] {
                whenAwake(from, [this, &from, id] {
                    run(from, [&](QuotaActions& actions) {
                        loseInstance(from.state_, id, now_ + std::chrono::milliseconds(250), now_, actions);
                    });
                });
            });
        }
        auto arrives = now_ + (from.dataCentre_ == to.dataCentre_ ? milliseconds(0, 1) : milliseconds(1, 4));
        if (hasSlowMessages_ && random_() % 200 == 0)
            arrives += milliseconds(1, 120);
        if (isCut(from.dataCentre_, to.dataCentre_)) {
            const auto healed = std::max(cutUntil_[from.dataCentre_], cutUntil_[to.dataCentre_]);
            if (healed - now_ > connectionSilence)
                return;
            arrives = healed + milliseconds(1, 200);
        }
        auto& last = lastArrival_[{ from.index_, to.index_ }];
        arrives = std::max(arrives, last);
        last = arrives;
        at(arrives, [this, &to, event, incarnation = to.incarnation_] {
            if (to.incarnation_ != incarnation)
                return;
            whenAwake(to, [this, &to, event] { run(to, event); });
        });
    }

    void loseConnections(Instance& instance)
    {
        for (const auto& other : instances_) {
            if (other.get() == &instance || isCut(instance.dataCentre_, other->dataCentre_))
                continue;
            whenAwake(*other, [this, &other = *other, id = instance.id_] {
                run(other, [&](QuotaActions& actions) { loseInstance(other.state_, id, now_, now_, actions); });
            });
        }
    }

    // Clients.

    void arrive(std::size_t index, std::uint64_t episode)
    {
        auto& account = accounts_[index];
        if (account.episode_ != episode || account.demand_ <= 0)
            return;
        const double wait = std::exponential_distribution<double>(account.demand_)(random_);
        at(now_ + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait)), [this, index, episode] {
            if (accounts_[index].episode_ != episode)
                return;
            sendOperation(index);
            arrive(index, episode);
        });
    }

    void sendOperation(std::size_t index)
    {
        auto& account = accounts_[index];
        auto& instance = *instances_[account.instances_[random_() % account.instances_.size()]];
        ++account.sent_;
        const auto sentAt = now_;
        const auto incarnation = instance.incarnation_;
        whenAwake(instance, [this, &account, &instance, index, sentAt, incarnation] {
            // The client's deadline has passed.
            if (instance.incarnation_ != incarnation || now_ - sentAt > std::chrono::seconds(2))
                return;
            auto& state = instance.state_;
            if (instance.isGreedy_) {
                auto& cache = state.caches_[account.id_];
                cache.demandPerSecond_ = 7.5 * account.limits_.back().ratePerSecond_;
                cache.demandAt_ = now_;
            }
            const auto operation = ++instance.lastOperation_;
            instance.operations_[operation] = { index, now_ };
            run(instance, [&](QuotaActions& actions) {
                takeToken(state, account.id_, operation, now_ + std::chrono::seconds(2), now_, actions);
            });
        });
    }

    void decided(Instance& instance, const QuotaDecision& decision)
    {
        const auto found = instance.operations_.find(decision.operation_);
        if (found == instance.operations_.end()) {
            violation_ = "an operation was decided twice";
            return;
        }
        auto& account = accounts_[found->second.account_];
        const auto sentAt = found->second.sentAt_;
        instance.operations_.erase(found);
        if (!decision.isAdmitted_) {
            ++account.refused_;
            return;
        }
        auto& admitted = account.admitted_;
        admitted.insert(std::upper_bound(admitted.begin(), admitted.end(), sentAt), sentAt);
        const QuotaSettings settings;
        // Operations that are decided later may belong to earlier windows.
        while (now_ - admitted.front() > settings.window_ + tokenWait)
            admitted.pop_front();
        const auto first = std::lower_bound(admitted.begin(), admitted.end(), admitted.back() - settings.window_);
        const auto count = static_cast<double>(admitted.end() - first);
        const double bound = boundOf(account);
        if (count > bound) {
            violation_ = account.id_.value_ + " ran " + std::to_string(static_cast<int>(count))
                + " operations in a window, allowed are " + std::to_string(bound) + ", rate "
                + std::to_string(account.limits_.back().ratePerSecond_) + ", burst "
                + std::to_string(account.limits_.back().burst_);
        }
    }

    double boundOf(const Account& account) const
    {
        const QuotaSettings settings;
        const bool isBinding = account.limits_.size() == 1
            || (account.appliedAt_ && now_ - *account.appliedAt_ > settings.window_ + tokenWait);
        double bound = 0;
        for (std::size_t i = isBinding ? account.limits_.size() - 1 : 0; i < account.limits_.size(); ++i) {
            const auto& limit = account.limits_[i];
            const double whole
                = limit.ratePerSecond_ * std::chrono::duration<double>(settings.window_).count() + limit.burst_;
            bound = std::max(bound, whole * (1 + settings.overage_) + settings.slack_);
        }
        return bound;
    }

    std::mt19937_64 random_;
    const std::size_t dataCentres_;
    const WrongQuotaRule wrong_;
    std::vector<std::unique_ptr<Instance>> instances_;
    std::map<InstanceId, std::size_t> byId_;
    std::vector<Member> members_;
    std::vector<Account> accounts_;
    std::map<std::size_t, TimePoint> cutUntil_;
    std::map<std::pair<std::size_t, std::size_t>, TimePoint> lastArrival_;
    std::priority_queue<Event> events_;
    std::uint64_t lastEvent_ { 0 };
    bool hasSlowMessages_ { true };
    TimePoint now_ { std::chrono::hours(1) };
    std::string violation_;
};

} // namespace cassiahollow::testing
