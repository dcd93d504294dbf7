// Searches for series of disruptions after which two primaries of one group are used at once, although every promotion
// went through the control leader. The parts run the real rules; the world around them is state and a time.
//
// PRIMARY_LEASE_FIRST and PRIMARY_LEASE_SERIES choose other seeds and more series.

#include "cassiahollow/version/PrimaryLease.h"
#include "cassiahollow/version/PromotionDuty.h"
#include "support/Environment.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <deque>
#include <iostream>
#include <random>

using namespace cassiahollow;
using cassiahollow::testing::numberFrom;
using namespace std::chrono_literals;

namespace {

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::size_t defaultSeries = 40;
#else
constexpr std::size_t defaultSeries = 400;
#endif

const TimePoint start { 1h };
const GroupId group("returns");
constexpr Duration stepTime = 10ms;
constexpr Duration askInterval = 250ms;

/// Rules that are known to be wrong; the search has to find each of them.
enum class WrongRule { None, NoLeases, NoWait, PushRenews, NoGrantCheck, LeaderForgets };

struct Message {
    TimePoint arrives_;
    std::function<void()> deliver_;
};

/// An endpoint of the group as the authority and the instances see it.
struct Database {
    bool leads_ { false };
    Term term_ { 1 };
    std::uint64_t position_ { 10 };
};

/// An entry instance: asks its member, and commits on the primary that it may use.
struct Entry {
    LeaseView view_;
    std::size_t member_ { 0 };
    TimePoint nextAsk_;
    std::uint64_t number_ { 0 };
    std::map<std::uint64_t, TimePoint> asked_;
    TimePoint frozenUntil_;
    std::optional<EndpointId> committing_; ///< A commit is under way at this endpoint since committingSince_.
    TimePoint commitEnds_;
};

struct Member {
    LeaseRelay relay_;
    LeaseAuthority authority_;
    PromotionDuty duty_;
    EndpointRegistry registry_;
    bool leads_ { false };
    bool isDown_ { false };
    TimePoint frozenUntil_;
    TimePoint provenAt_; ///< As the leader.
    Term term_ { 0 };
    TimePoint nextRenewal_;
    std::uint64_t number_ { 0 };
    std::map<std::uint64_t, TimePoint> asked_;
};

class World {
public:
    World(std::uint64_t seed, WrongRule wrong)
        : random_(seed * 6364136223846793005ULL + 1)
        , wrong_(wrong)
    {
        catalog_.version_ = 1;
        catalog_.groups_ = { { group, 34, 0 } };
        for (const auto* name : { "i1", "i2", "i3" })
            databases_[EndpointId(name)] = {};
        databases_[EndpointId("i1")].leads_ = true;
        members_.resize(3);
        entries_.resize(4);
        for (std::size_t i = 0; i < members_.size(); ++i)
            members_[i].relay_.startedAt_ = start - 1h;
        for (std::size_t i = 0; i < entries_.size(); ++i)
            entries_[i].member_ = i % members_.size();
        for (auto& member : members_) {
            for (const auto& [id, database] : databases_)
                mergeRecord(member.registry_, recordOf(id, EndpointRole::Replica));
        }
        report();
        elect(0);
    }

    void run()
    {
        runFor(2500ms);
        const auto episodes = 2 + random_() % 4;
        for (std::size_t i = 0; i < episodes && violation_.empty(); ++i) {
            disrupt();
            runFor(std::chrono::milliseconds(200 + random_() % 3500));
            if (random_() % 2 == 0)
                heal();
            runFor(std::chrono::milliseconds(200 + random_() % 1500));
        }
        heal();
        runFor(9s);
        if (violation_.empty() && commitsSinceHeal_ == 0)
            violation_ = "no commit is accepted long after all disruptions have ended";
    }

    const std::string& violation() const { return violation_; }
    std::size_t promotions() const { return promotions_; }

private:
    using Node = std::size_t; // Members, then entries, then databases.

    Node memberNode(std::size_t i) const { return i; }
    Node entryNode(std::size_t i) const { return members_.size() + i; }
    Node databaseNode(const EndpointId& id) const
    {
        return members_.size() + entries_.size()
            + static_cast<std::size_t>(std::distance(databases_.begin(), databases_.find(id)));
    }

    bool isCut(Node from, Node to) const { return cuts_.contains({ from, to }); }

    Duration delay()
    {
        const auto roll = random_() % 100;
        return roll < 90 ? 2ms + std::chrono::milliseconds(random_() % 10)
                         : std::chrono::milliseconds(random_() % 700); // Held up.
    }

    void send(Node from, Node to, std::function<void()> deliver)
    {
        if (isCut(from, to))
            return;
        messages_.push_back({ now_ + delay(), std::move(deliver) });
    }

    RegisteredEndpoint recordOf(const EndpointId& id, EndpointRole role)
    {
        RegisteredEndpoint record;
        record.id_ = id;
        record.group_ = group;
        record.address_ = id.value_ + ":80";
        record.startedAtMs_ = 1;
        record.sequence_ = ++sequence_;
        record.role_ = role;
        record.receivedAt_ = now_;
        record.roleSince_ = now_;
        return record;
    }

    /// The databases report to the members that they reach.
    void report()
    {
        for (const auto& [id, database] : databases_) {
            for (std::size_t i = 0; i < members_.size(); ++i) {
                const auto record = recordOf(id, database.leads_ ? EndpointRole::Primary : EndpointRole::Replica);
                send(
                    databaseNode(id), memberNode(i), [this, i, record] { mergeRecord(members_[i].registry_, record); });
            }
        }
    }

    void elect(std::size_t leader)
    {
        for (auto& member : members_)
            member.leads_ &= &member != &members_[leader] && isOldLeaderUnaware_;
        auto& member = members_[leader];
        member.leads_ = true;
        member.term_ = ++term_;
        member.provenAt_ = now_;
        beginLeases(member.authority_, member.term_, now_);
        if (wrong_ == WrongRule::LeaderForgets)
            member.authority_.leadsSince_ = now_ - 1h;
        beginDuty(member.duty_, now_);
        leader_ = leader;
    }

    PromotionGate gateOf(Member& member)
    {
        PromotionGate gate { mayOrderPromotions(member.authority_, member.provenAt_, now_), {} };
        if (areLeasesEnded(member.authority_, group, now_) || wrong_ == WrongRule::NoWait)
            gate.endedLeases_.insert(group);
        member.duty_.latestGrants_.emplace();
        if (granted_ && wrong_ != WrongRule::NoGrantCheck)
            member.duty_.latestGrants_->emplace(group, *granted_);
        return gate;
    }

    void lead(std::size_t index)
    {
        auto& member = members_[index];
        if (!member.leads_ || member.isDown_ || now_ < member.frozenUntil_)
            return;
        // The newest elected leader has the grants of the log; an older one cannot commit any.
        const bool hasMajority = index == leader_ && reachable(index) * 2 > members_.size();
        if (hasMajority)
            member.provenAt_ = now_;
        else if (now_ - member.provenAt_ > 1s)
            member.leads_ = false;
        const auto gate = gateOf(member);
        const auto actions = tickDuty(
            member.duty_, member.registry_, catalog_, options_, now_, wrong_ == WrongRule::NoLeases ? nullptr : &gate);
        setLeases(member.authority_, usablePrimaries(member.duty_, member.registry_, catalog_), now_);
        for (const auto& action : actions)
            std::visit([&](const auto& body) { carryOut(index, body); }, action);
    }

    std::size_t reachable(std::size_t index) const
    {
        std::size_t count = 0;
        for (std::size_t i = 0; i < members_.size(); ++i) {
            const bool isReached
                = !members_[i].isDown_ && now_ >= members_[i].frozenUntil_ && !isCut(index, i) && !isCut(i, index);
            count += i == index || isReached ? 1 : 0;
        }
        return count;
    }

    bool answers(std::size_t member, const EndpointId& id) const
    {
        return !down_.contains(id) && !isCut(memberNode(member), databaseNode(id))
            && !isCut(databaseNode(id), memberNode(member));
    }

    void carryOut(std::size_t index, const ProbeAction& action)
    {
        const bool alive = answers(index, action.endpoint_);
        later(20ms, [=, this] { handleResult(members_[index].duty_, ProbeResult { action.endpoint_, alive }); });
    }
    void carryOut(std::size_t index, const SurveyAction& action)
    {
        const bool alive = answers(index, action.endpoint_);
        const auto& database = databases_.at(action.endpoint_);
        SurveyResult result { .endpoint_ = action.endpoint_, .request_ = action.request_ };
        if (alive)
            result = { action.endpoint_, LogPosition { database.term_, database.position_ }, database.term_, 0ms,
                action.request_, database.leads_ ? EndpointRole::Primary : EndpointRole::Replica, database.term_ };
        later(20ms, [=, this] { handleResult(members_[index].duty_, result); });
    }
    void carryOut(std::size_t, const ResumeAction&) { }
    void carryOut(std::size_t index, const StepDownAction& action)
    {
        if (!answers(index, action.endpoint_))
            return;
        // An order may be carried out late.
        later(random_() % 4 == 0 ? 900ms : 20ms, [=, this] {
            auto& database = databases_.at(action.endpoint_);
            if (action.term_ > database.term_)
                database.leads_ = false;
            handleResult(members_[index].duty_,
                SurveyResult { action.endpoint_, LogPosition { database.term_, database.position_ }, action.term_, 0ms,
                    action.request_, database.leads_ ? EndpointRole::Primary : EndpointRole::Replica, database.term_ });
        });
    }
    void carryOut(std::size_t index, const GrantAction& action)
    {
        const bool commits = index == leader_ && reachable(index) * 2 > members_.size();
        if (commits) {
            granted_ = action.endpoint_;
            ++fence_;
        }
        // The answer may be lost although the log has the grant.
        if (random_() % 8 == 0)
            return later(900ms, [=, this] {
                handleResult(members_[index].duty_, GrantResult { group, std::nullopt });
            });
        const auto fence = commits ? std::optional(fence_) : std::nullopt;
        later(15ms, [=, this] { handleResult(members_[index].duty_, GrantResult { group, fence }); });
    }
    void carryOut(std::size_t index, const OrderAction& action)
    {
        if (action.fence_ < highestFence_)
            violation_ = "an order with a lower fence than the authority has seen";
        highestFence_ = std::max(highestFence_, action.fence_);
        const auto roll = random_() % 4;
        const bool isAnswered = roll != 0 && !down_.contains(action.endpoint_);
        // Unanswered orders may be executed seconds later.
        const Duration executes = roll == 0 ? Duration(std::chrono::milliseconds(random_() % 3000)) : Duration(300ms);
        later(executes, [=, this] { promote(action.endpoint_); });
        const auto outcome = down_.contains(action.endpoint_) ? OrderOutcome::Refused : OrderOutcome::Accepted;
        if (isAnswered || down_.contains(action.endpoint_))
            later(30ms, [=, this] { handleResult(members_[index].duty_, OrderResult { group, outcome }); });
        else
            later(1500ms, [=, this] {
                handleResult(members_[index].duty_, OrderResult { group, OrderOutcome::Unknown });
            });
    }

    void promote(const EndpointId& id)
    {
        if (down_.contains(id) || (databases_.at(id).leads_ && databases_.at(id).term_ == highestTerm_))
            return;
        ++promotions_;
        auto& database = databases_.at(id);
        database.term_ = ++highestTerm_;
        database.leads_ = true;
        for (auto& [other, old] : databases_) {
            // The old primary learns of it only if it reaches the new one.
            if (other != id && old.leads_ && !isCut(databaseNode(other), databaseNode(id)))
                later(1s, [this, other = other] {
                    if (databases_.at(other).term_ < highestTerm_)
                        databases_.at(other).leads_ = false;
                });
        }
        report();
    }

    void later(Duration time, std::function<void()> action) { messages_.push_back({ now_ + time, std::move(action) }); }

    void renew(std::size_t index)
    {
        auto& member = members_[index];
        if (member.isDown_ || now_ < member.frozenUntil_ || now_ < member.nextRenewal_)
            return;
        member.nextRenewal_ = now_ + leaseRenewalInterval;
        const auto confirmed = confirmedVersion(member.relay_, now_);
        const auto known = member.relay_.view_.table_.version_;
        for (std::size_t other = 0; other < members_.size(); ++other) {
            if (!members_[other].leads_)
                continue;
            const auto number = ++member.number_;
            member.asked_[number] = now_;
            send(index, other, [=, this] {
                if (members_[other].isDown_ || now_ < members_[other].frozenUntil_)
                    return;
                const auto grant = grantLeases(members_[other].authority_, InstanceId("m" + std::to_string(index)),
                    confirmed, known, members_[other].provenAt_, now_);
                if (!grant)
                    return;
                send(other, index, [=, this] {
                    auto& asker = members_[index];
                    if (asker.isDown_ || now_ < asker.frozenUntil_)
                        return;
                    const auto asked = asker.asked_.find(number);
                    if (asked != asker.asked_.end())
                        receiveLeases(asker.relay_.view_, *grant, asked->second);
                });
            });
        }
    }

    void ask(std::size_t index)
    {
        auto& entry = entries_[index];
        if (now_ < entry.frozenUntil_ || now_ < entry.nextAsk_)
            return;
        entry.nextAsk_ = now_ + askInterval;
        if (random_() % 20 == 0)
            entry.member_ = random_() % members_.size();
        const auto number = ++entry.number_;
        entry.asked_[number] = now_;
        const auto confirmed = entry.view_.table_.version_;
        send(entryNode(index), entry.member_, [=, this, member = entry.member_] {
            if (members_[member].isDown_ || now_ < members_[member].frozenUntil_)
                return;
            const auto grant
                = relayLeases(members_[member].relay_, InstanceId("e" + std::to_string(index)), confirmed, now_);
            send(member, entryNode(index), [=, this] { receiveAnswer(index, number, grant); });
        });
    }

    void receiveAnswer(std::size_t index, std::uint64_t number, const LeaseGrant& grant)
    {
        auto& entry = entries_[index];
        if (now_ < entry.frozenUntil_)
            return;
        const auto asked = entry.asked_.find(number);
        std::optional<TimePoint> requestedAt;
        if (asked != entry.asked_.end())
            requestedAt = wrong_ == WrongRule::PushRenews ? now_ : asked->second;
        auto renewed = grant;
        if (wrong_ == WrongRule::PushRenews)
            renewed.age_ = 0ms;
        if (receiveLeases(entry.view_, renewed, requestedAt))
            entry.nextAsk_ = now_ + 20ms; // Confirms at once.
    }

    void commit(std::size_t index)
    {
        auto& entry = entries_[index];
        if (now_ < entry.frozenUntil_)
            return;
        if (entry.committing_ && now_ >= entry.commitEnds_) {
            const auto id = *std::exchange(entry.committing_, std::nullopt);
            finishCommit(index, id);
        }
        if (entry.committing_ || random_() % 4 != 0)
            return;
        for (const auto& [id, database] : databases_) {
            const bool isAllowed
                = wrong_ == WrongRule::NoLeases ? isBelievedPrimary(index, id) : isLeased(entry.view_, group, id, now_);
            if (!isAllowed || down_.contains(id) || isCut(entryNode(index), databaseNode(id)))
                continue;
            entry.committing_ = id;
            entry.commitEnds_ = now_ + 10ms + std::chrono::milliseconds(random_() % 200);
            return;
        }
    }

    bool isBelievedPrimary(std::size_t index, const EndpointId& id) const
    {
        const auto* primary = primaryOf(members_[entries_[index].member_].registry_, group);
        return primary && primary->id_ == id;
    }

    void finishCommit(std::size_t index, const EndpointId& id)
    {
        const auto& database = databases_.at(id);
        if (down_.contains(id) || !database.leads_ || isCut(databaseNode(id), entryNode(index)))
            return;
        ++databases_.at(id).position_;
        const bool mayAcknowledge = wrong_ == WrongRule::NoLeases || isLeased(entries_[index].view_, group, id, now_);
        if (!mayAcknowledge)
            return;
        ++commitsSinceHeal_;
        if (database.term_ < highestTerm_)
            violation_ = "a commit in an ended term was acknowledged";
    }

    /// Instances that use a primary and do not reach it report the failure.
    void reportFailures()
    {
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            const auto* primary = primaryOf(members_[entries_[i].member_].registry_, group);
            if (!primary)
                continue;
            const bool reaches = !down_.contains(primary->id_) && !isCut(entryNode(i), databaseNode(primary->id_));
            const EndpointObservation report { primary->id_, reaches ? Duration(50ms) : Duration(5s),
                reaches ? Duration(0) : Duration(200ms), false };
            send(entryNode(i), leader_, [=, this] {
                handleReports(members_[leader_].duty_, InstanceId("e" + std::to_string(i)), { report }, now_);
            });
        }
    }

    void cutBoth(Node a, Node b)
    {
        cuts_.insert({ a, b });
        cuts_.insert({ b, a });
    }

    void disrupt()
    {
        const auto nodes = members_.size() + entries_.size() + databases_.size();
        const auto primary = [&]() -> EndpointId {
            for (const auto& [id, database] : databases_) {
                if (database.leads_ && database.term_ == highestTerm_)
                    return id;
            }
            return EndpointId("i1");
        };
        switch (random_() % 8) {
        case 0: // A data centre with the primary is cut off.
        case 1: {
            std::set<Node> side { databaseNode(primary()), memberNode(random_() % 3), entryNode(random_() % 4) };
            for (Node a = 0; a < nodes; ++a) {
                for (Node b = 0; b < nodes; ++b) {
                    if (side.contains(a) && !side.contains(b))
                        cutBoth(a, b);
                }
            }
            break;
        }
        case 2: // A part of the instances and the control members lose the primary.
            for (std::size_t i = 0; i < entries_.size(); ++i) {
                if (random_() % 2 == 0)
                    cutBoth(entryNode(i), databaseNode(primary()));
            }
            for (std::size_t i = 0; i < members_.size(); ++i)
                cutBoth(i, databaseNode(primary()));
            break;
        case 3: // One direction of one link.
            for (int i = 0; i < 6; ++i)
                cuts_.insert({ random_() % nodes, random_() % nodes });
            break;
        case 4: {
            const auto member = random_() % members_.size();
            members_[member].frozenUntil_ = now_ + std::chrono::milliseconds(random_() % 4000);
            if (member == leader_)
                electAnother();
            break;
        }
        case 5:
            entries_[random_() % entries_.size()].frozenUntil_ = now_ + std::chrono::milliseconds(random_() % 4000);
            break;
        case 6: { // The primary crashes and comes back with its log.
            const auto id = primary();
            down_.insert(id);
            later(std::chrono::milliseconds(300 + random_() % 3000), [this, id] {
                down_.erase(id);
                auto& database = databases_.at(id);
                database.leads_ = database.leads_ && database.term_ == highestTerm_;
            });
            break;
        }
        default: { // The leader is cut off and does not know, or its process ends.
            const auto old = leader_;
            if (random_() % 2 == 0) {
                for (Node node = 0; node < nodes; ++node) {
                    if (node != old && (node < members_.size() || random_() % 2 == 0))
                        cutBoth(old, node);
                }
            } else {
                members_[old].isDown_ = true;
                members_[old].leads_ = false;
                later(1s, [this, old] {
                    members_[old] = { .registry_ = members_[old].registry_ };
                    members_[old].relay_.startedAt_ = now_;
                });
            }
            electAnother();
        }
        }
    }

    void electAnother()
    {
        later(400ms + std::chrono::milliseconds(random_() % 500), [this] {
            for (std::size_t i = 0; i < members_.size(); ++i) {
                const bool canLead = i != leader_ && !members_[i].isDown_ && now_ >= members_[i].frozenUntil_
                    && reachable(i) * 2 > members_.size();
                if (canLead)
                    return elect(i);
            }
        });
    }

    void heal()
    {
        cuts_.clear();
        commitsSinceHeal_ = 0;
        if (members_[leader_].isDown_ || now_ < members_[leader_].frozenUntil_)
            electAnother();
        for (const auto& [id, database] : databases_) {
            if (database.leads_ && database.term_ < highestTerm_)
                later(1s, [this, id = id] {
                    if (databases_.at(id).term_ < highestTerm_)
                        databases_.at(id).leads_ = false;
                });
        }
    }

    void runFor(Duration time)
    {
        for (const auto end = now_ + time; now_ < end && violation_.empty(); now_ += stepTime) {
            deliver();
            if ((now_ - start) % Duration(300ms) == Duration(0)) {
                report();
                reportFailures();
            }
            for (std::size_t i = 0; i < members_.size(); ++i) {
                if (i == leader_ && !members_[i].leads_ && !members_[i].isDown_ && reachable(i) * 2 > members_.size())
                    elect(i);
                lead(i);
                renew(i);
            }
            for (std::size_t i = 0; i < entries_.size(); ++i) {
                ask(i);
                commit(i);
            }
        }
    }

    void deliver()
    {
        for (std::size_t i = 0; i < messages_.size();) {
            if (messages_[i].arrives_ > now_) {
                ++i;
                continue;
            }
            const auto action = std::move(messages_[i].deliver_);
            messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(i));
            action();
        }
    }

    std::mt19937_64 random_;
    const WrongRule wrong_;
    bool isOldLeaderUnaware_ { true };
    TimePoint now_ { start };
    RouteCatalog catalog_;
    PromotionOptions options_;
    std::map<EndpointId, Database> databases_;
    std::vector<Member> members_;
    std::vector<Entry> entries_;
    std::deque<Message> messages_;
    std::set<std::pair<Node, Node>> cuts_;
    std::set<EndpointId> down_;
    std::uint64_t sequence_ { 0 };
    std::size_t leader_ { 0 };
    Term term_ { 0 };
    Term highestTerm_ { 1 };
    std::optional<EndpointId> granted_; ///< By the control log.
    std::uint64_t fence_ { 0 };
    std::uint64_t highestFence_ { 0 };
    std::size_t promotions_ { 0 };
    std::size_t commitsSinceHeal_ { 0 };
    std::string violation_;
};

/// The first seed at which the search finds a violation.
std::optional<std::uint64_t> firstViolation(WrongRule wrong, std::uint64_t first, std::uint64_t series)
{
    for (auto seed = first; seed < first + series; ++seed) {
        World world(seed, wrong);
        world.run();
        if (!world.violation().empty()) {
            UNSCOPED_INFO("seed " << seed << ": " << world.violation());
            return seed;
        }
    }
    return std::nullopt;
}

} // namespace

// Guards against two primaries of one group that acknowledge commits, whatever is cut, frozen, late or restarted.
TEST_CASE("no commit is acknowledged at a primary that has a successor")
{
    const auto first = numberFrom("PRIMARY_LEASE_FIRST", 1);
    const auto series = numberFrom("PRIMARY_LEASE_SERIES", defaultSeries);
    std::size_t promotions = 0;
    std::size_t violations = 0;
    for (auto seed = first; seed < first + series; ++seed) {
        World world(seed, WrongRule::None);
        world.run();
        promotions += world.promotions();
        if (world.violation().empty())
            continue;
        ++violations;
        UNSCOPED_INFO("seed " << seed << ": " << world.violation());
    }
    std::cout << series << " series from seed " << first << ", " << promotions << " promotions\n";
    CHECK(violations == 0);
    CHECK(promotions > series / 2);
}

TEST_CASE("the search finds wrong rules")
{
    const auto wrong = GENERATE(WrongRule::NoLeases, WrongRule::NoWait, WrongRule::PushRenews, WrongRule::NoGrantCheck,
        WrongRule::LeaderForgets);
    CAPTURE(static_cast<int>(wrong));
    CHECK(firstViolation(wrong, 1, 3000));
}

TEST_CASE("a lease is valid from the request for it, and a push only withdraws")
{
    LeaseView view;
    const LeaseTable table { { 3, 2 }, { { group, EndpointId("i1") } } };
    CHECK(receiveLeases(view, { table.version_, 100ms, table }, start));
    CHECK(isLeased(view, group, EndpointId("i1"), start + leaseDuration - 101ms));
    CHECK_FALSE(isLeased(view, group, EndpointId("i1"), start + leaseDuration - 100ms));
    CHECK_FALSE(isLeased(view, group, EndpointId("i2"), start));

    CHECK_FALSE(receiveLeases(view, { { 3, 1 }, 0ms, LeaseTable { { 3, 1 }, table.leases_ } }, start + 1s));
    CHECK_FALSE(isLeased(view, group, EndpointId("i1"), start + leaseDuration));

    CHECK(receiveLeases(view, { { 3, 3 }, Duration::max(), LeaseTable { { 3, 3 }, {} } }, std::nullopt));
    CHECK_FALSE(isLeased(view, group, EndpointId("i1"), start));
    // The sender has a newer table than this response contains.
    CHECK_FALSE(receiveLeases(view, { { 3, 4 }, 0ms, std::nullopt }, start + 2s));
    CHECK(view.provenAt_ == start - 100ms);
}

TEST_CASE("a promotion waits for those that may use the old primary, and for nobody else")
{
    LeaseAuthority authority;
    auto now = start;
    beginLeases(authority, 1, now);
    now += leaseDuration;
    setLeases(authority, { { group, EndpointId("i1") } }, now);
    CHECK_FALSE(areLeasesEnded(authority, group, now));
    const InstanceId relay("m1");
    const InstanceId gone("m2");
    REQUIRE(grantLeases(authority, gone, {}, {}, now, now));
    now += leaseDuration - 100ms;
    REQUIRE(grantLeases(authority, relay, {}, {}, now, now));
    setLeases(authority, {}, now);
    CHECK_FALSE(areLeasesEnded(authority, group, now));
    // The one that was cut off long ago has no lease any more; the other confirms.
    now += 100ms;
    REQUIRE(grantLeases(authority, relay, authority.table_.version_, {}, now, now));
    CHECK(areLeasesEnded(authority, group, now));
    CHECK(mayOrderPromotions(authority, now, now));
    CHECK_FALSE(mayOrderPromotions(authority, now - leaseDuration / 3, now));
}

TEST_CASE("a control member confirms what all its instances have confirmed, after a restart only later")
{
    LeaseRelay relay { .startedAt_ = start };
    auto now = start + leaseDuration;
    const LeaseTable table { { 1, 2 }, { { group, EndpointId("i1") } } };
    receiveLeases(relay.view_, { table.version_, 0ms, table }, now);
    CHECK(confirmedVersion(relay, now - 1ms) == LeaseVersion {});
    CHECK(confirmedVersion(relay, now) == table.version_);
    CHECK(relayLeases(relay, InstanceId("e1"), {}, now).table_);
    CHECK(confirmedVersion(relay, now) == LeaseVersion {});
    CHECK_FALSE(relayLeases(relay, InstanceId("e1"), table.version_, now).table_);
    CHECK(confirmedVersion(relay, now) == table.version_);
    relayLeases(relay, InstanceId("e2"), {}, now);
    CHECK(confirmedVersion(relay, now + leaseDuration) == table.version_);
}
