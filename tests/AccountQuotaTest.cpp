#include "cassiahollow/request/AccountQuota.h"

#include <catch2/catch.hpp>

using namespace cassiahollow;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1h };
const AccountId account("shop");
const DataCentre here("a");
const DataCentre there("b");

/// One instance; the others are what the test makes of them.
struct Fixture {
    explicit Fixture(QuotaLimit limit = { 20, 20 }, std::size_t neighbours = 3)
    {
        state_.settings_.dataCentres_ = 2;
        setQuotaLimits(state_, { { account, limit } }, now_);
        for (std::size_t i = 0; i < neighbours; ++i)
            neighbours_.emplace_back("10.0.0." + std::to_string(i) + ":7440");
        QuotaState probe;
        probe.view_.instances_[here] = neighbours_;
        order_ = quotaOwners(probe, account, here);
    }

    /// This instance is the one at this place of the order.
    void join(std::size_t rank)
    {
        view_ = { order_.at(rank), here, { { here, neighbours_ }, { there, { other_ } } }, neighbours_.size() + 1 };
        confirmQuotaView(state_, now_, now_);
        setQuotaView(state_, view_, now_, actions_);
    }

    /// Time passes without another event, but with contact to control members.
    void pass(Duration time)
    {
        for (const auto end = now_ + time; now_ < end;) {
            now_ += std::min<Duration>(end - now_, 50ms);
            confirmQuotaView(state_, now_, now_);
            wakeQuotas(state_, now_, actions_);
        }
    }

    std::vector<QuotaDecision> take(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            takeToken(state_, account, ++operation_, now_ + 2s, now_, actions_);
        return std::exchange(actions_.decisions_, {});
    }

    std::vector<QuotaDecision> receive(const InstanceId& from, const QuotaMessage& message)
    {
        receiveQuota(state_, from, message, now_, actions_);
        return std::exchange(actions_.decisions_, {});
    }

    template <typename Message> std::vector<Message> sent()
    {
        std::vector<Message> messages;
        std::erase_if(actions_.sends_, [&](const QuotaSend& send) {
            const auto* message = std::get_if<Message>(&send.message_);
            if (message)
                messages.push_back(*message);
            return message != nullptr;
        });
        return messages;
    }

    std::uint32_t granted(std::uint32_t waiting)
    {
        sent<QuotaGrant>();
        receive(requester_, QuotaRequest { account, ++number_, waiting, 0 });
        const auto grants = sent<QuotaGrant>();
        return grants.empty() ? 0 : grants.front().tokens_;
    }

    QuotaState state_;
    QuotaView view_;
    QuotaActions actions_;
    std::vector<InstanceId> neighbours_;
    std::vector<InstanceId> order_;
    InstanceId requester_ { "10.0.0.99:7440" };
    InstanceId other_ { "10.0.1.0:7440" };
    TimePoint now_ = start;
    std::uint64_t operation_ { 0 };
    std::uint64_t number_ { 100 };
};

std::size_t admitted(const std::vector<QuotaDecision>& decisions)
{
    return static_cast<std::size_t>(std::count_if(
        decisions.begin(), decisions.end(), [](const QuotaDecision& decision) { return decision.isAdmitted_; }));
}

} // namespace

// Guards against a restart, or a change of the owner, that gives an account its whole burst once more.
TEST_CASE("a new ledger begins with few tokens")
{
    Fixture fixture({ 20, 200 });
    fixture.join(0);
    CHECK(fixture.granted(100) == 5); // slack / (2 data centres)
    // A quarter of the rate is earned while the previous owner may not know of its successor, then all of it.
    fixture.pass(1s);
    CHECK(fixture.granted(100) == 2);
    fixture.pass(1s);
    CHECK(fixture.granted(100) == 10);
}

// Guards against a ledger that forgets what it earned before the account's first request.
TEST_CASE("a ledger that nobody used for long is full")
{
    Fixture fixture;
    fixture.join(0);
    fixture.pass(30s);
    CHECK(fixture.granted(100) == 10); // burst / data centres
}

// Guards against two owners with the full rate: an instance that is asked although it is not the first one.
TEST_CASE("an instance that is not the owner earns a quarter of the rate")
{
    Fixture fixture({ 40, 200 });
    fixture.join(1);
    CHECK(fixture.granted(100) == 1);
    fixture.pass(2s);
    CHECK(fixture.granted(100) == 10);
    // And no more than four seconds of it in one window.
    for (int i = 0; i < 4; ++i) {
        fixture.pass(1s);
        fixture.granted(100);
    }
    CHECK(fixture.state_.ledgers_.at(account).spent_.sum_ <= 21.25);
}

// Guards against many owners at once: instances far down the order are not asked for tokens.
TEST_CASE("an instance that is not among the first three declines")
{
    Fixture fixture({ 20, 20 }, 6);
    fixture.view_ = { fixture.neighbours_.front(), here, { { here, fixture.neighbours_ } }, 6 };
    for (const auto& instance : fixture.neighbours_) {
        if (std::find(fixture.order_.begin(), fixture.order_.end(), instance) == fixture.order_.end())
            fixture.view_.self_ = instance;
    }
    setQuotaView(fixture.state_, fixture.view_, start, fixture.actions_);
    fixture.receive(fixture.other_, QuotaRequest { account, 1, 1, 0 });
    const auto grants = fixture.sent<QuotaGrant>();
    REQUIRE(grants.size() == 1);
    CHECK(grants.front().isDeclined_);
}

// Guards against instances that start together, each knowing few others, and each earning the whole rate.
TEST_CASE("an instance that knows half of the others earns half at its start")
{
    Fixture fixture({ 200, 200 });
    fixture.neighbours_.resize(3);
    fixture.join(0);
    fixture.view_.expected_ = 8;
    setQuotaView(fixture.state_, fixture.view_, fixture.now_, fixture.actions_);
    fixture.granted(1000);
    fixture.pass(1s);
    CHECK(fixture.granted(1000) == 13); // 100 a second, half of it, and a quarter of that in the first second.
    fixture.pass(1s);
    CHECK(fixture.granted(1000) == 50);
    fixture.pass(2s);
    CHECK(fixture.granted(1000) >= 99);
}

// Guards against a suspended owner that comes back with a full ledger after another one has taken its place.
TEST_CASE("an owner without contact to control members begins anew")
{
    Fixture fixture({ 40, 200 });
    fixture.join(0);
    fixture.pass(30s);
    fixture.now_ += 4s;
    CHECK(fixture.granted(100) == 5);
    fixture.now_ += 1s;
    CHECK(fixture.granted(100) == 5); // a quarter
    confirmQuotaView(fixture.state_, fixture.now_, fixture.now_);
    fixture.now_ += 1s;
    CHECK(fixture.granted(100) == 5);
    fixture.now_ += 1s;
    CHECK(fixture.granted(100) == 20);
}

// Guards against an instance that reaches the next owner with a message for each operation that waits.
TEST_CASE("operations that wait share one request")
{
    Fixture fixture;
    fixture.join(1);
    CHECK(fixture.take(4).empty());
    auto requests = fixture.sent<QuotaRequest>();
    REQUIRE(requests.size() == 1);
    CHECK(requests.front().waiting_ == 1);
    auto decisions = fixture.receive(fixture.order_.at(0), QuotaGrant { account, requests.front().number_, 1, 0ms });
    CHECK(admitted(decisions) == 1);
    requests = fixture.sent<QuotaRequest>();
    REQUIRE(requests.size() == 1);
    CHECK(requests.front().waiting_ == 3);
    // What the owner does not have is refused at once, with the time to come back.
    decisions = fixture.receive(fixture.order_.at(0), QuotaGrant { account, requests.front().number_, 0, 70ms });
    REQUIRE(decisions.size() == 3);
    CHECK(admitted(decisions) == 0);
    CHECK(decisions.front().comeBack_ == 70ms);
    // And so are the next operations, without another request.
    fixture.now_ += 30ms;
    decisions = fixture.take(1);
    REQUIRE(decisions.size() == 1);
    CHECK(decisions.front().comeBack_ == 40ms);
    CHECK(fixture.sent<QuotaRequest>().empty());
}

// Guards against operations that wait for an owner that does not answer, or for one that is gone.
TEST_CASE("the next instance is asked when the owner is silent or lost")
{
    Fixture fixture;
    fixture.join(2);
    fixture.take(1);
    REQUIRE(fixture.actions_.sends_.size() == 1);
    CHECK(fixture.actions_.sends_.front().to_ == fixture.order_.at(0));
    fixture.actions_.sends_.clear();
    SECTION("silent")
    {
        fixture.now_ += tokenWait;
        CHECK(nextQuotaWakeup(fixture.state_) == fixture.now_);
        wakeQuotas(fixture.state_, fixture.now_, fixture.actions_);
        REQUIRE(fixture.actions_.decisions_.size() == 1);
        CHECK_FALSE(fixture.actions_.decisions_.front().isAdmitted_);
        fixture.take(1);
    }
    SECTION("lost")
    {
        loseInstance(fixture.state_, fixture.order_.at(0), fixture.now_ + 1s, fixture.now_, fixture.actions_);
        CHECK(fixture.actions_.decisions_.empty());
    }
    REQUIRE(fixture.actions_.sends_.size() == 1);
    CHECK(fixture.actions_.sends_.front().to_ == fixture.order_.at(1));
}

// Guards against tokens that one instance keeps while the account is refused at another, and that it uses all at once.
TEST_CASE("granted tokens expire")
{
    Fixture fixture;
    fixture.join(1);
    fixture.take(1);
    const auto request = fixture.sent<QuotaRequest>().at(0);
    fixture.now_ += 100ms;
    CHECK(admitted(fixture.receive(fixture.order_.at(0), QuotaGrant { account, request.number_, 5, 0ms })) == 1);
    fixture.now_ += 300ms;
    auto decisions = fixture.take(1);
    REQUIRE(admitted(decisions) == 1);
    CHECK(decisions.front().expiresAt_ == start + tokenLifetime);
    returnToken(fixture.state_, decisions.front(), fixture.now_);
    CHECK(admitted(fixture.take(4)) == 4);
    // The lifetime counts from the request, whenever the reply arrives.
    fixture.now_ += 200ms;
    CHECK(fixture.take(1).empty());
    returnToken(fixture.state_, decisions.front(), fixture.now_);
    CHECK(fixture.state_.caches_.at(account).tokens_.empty());
}

// Guards against tokens that are created on the way from one data centre to the other.
TEST_CASE("a loan is taken from the lender and added to the borrower")
{
    Fixture fixture({ 2, 20 });
    fixture.join(0);
    fixture.pass(30s);
    SECTION("lender")
    {
        fixture.receive(fixture.other_, LoanRequest { account, 7, 4 });
        auto loans = fixture.sent<QuotaLoan>();
        REQUIRE(loans.size() == 1);
        CHECK(loans.front().tokens_ == 4);
        CHECK(fixture.granted(100) == 6);
        fixture.receive(fixture.other_, LoanRequest { account, 8, 4 });
        loans = fixture.sent<QuotaLoan>();
        CHECK(loans.front().tokens_ == 0);
        CHECK(loans.front().comeBack_ > 0ms);
    }
    SECTION("borrower")
    {
        CHECK(fixture.granted(10) == 10);
        fixture.receive(fixture.order_.at(1), QuotaRequest { account, 1, 2, 0 });
        const auto requests = fixture.sent<LoanRequest>();
        REQUIRE(requests.size() == 1);
        // A loan of an earlier request is lost.
        fixture.receive(fixture.other_, QuotaLoan { account, requests.front().number_ - 1, 2, 0ms });
        CHECK(fixture.sent<QuotaGrant>().empty());
        fixture.receive(fixture.other_, QuotaLoan { account, requests.front().number_, 2, 0ms });
        const auto grants = fixture.sent<QuotaGrant>();
        REQUIRE(grants.size() == 1);
        CHECK(grants.front().tokens_ == 2);
    }
    SECTION("cap")
    {
        CHECK(fixture.granted(10) == 10);
        fixture.receive(fixture.order_.at(1), QuotaRequest { account, 1, 2, 0 });
        const auto number = fixture.sent<LoanRequest>().at(0).number_;
        fixture.receive(fixture.other_, QuotaLoan { account, number, 1000, 0ms });
        CHECK(fixture.state_.ledgers_.at(account).balance_ <= 10);
    }
}

// Guards against a lender that refuses its own clients for what it lent.
TEST_CASE("a data centre that needs its tokens lends none")
{
    Fixture fixture({ 20, 20 });
    fixture.join(0);
    fixture.pass(30s);
    CHECK(fixture.granted(9) == 9);
    fixture.pass(200ms);
    fixture.granted(9);
    fixture.sent<QuotaGrant>();
    fixture.pass(300ms);
    fixture.receive(fixture.other_, LoanRequest { account, 7, 4 });
    CHECK(fixture.sent<QuotaLoan>().at(0).tokens_ == 0);
}

// Guards against an account that goes on with its old limit, and against one that is stopped for a whole window.
TEST_CASE("a lowered limit takes effect at once")
{
    Fixture fixture({ 200, 200 });
    fixture.join(0);
    fixture.pass(30s);
    fixture.granted(60);
    setQuotaLimits(fixture.state_, { { account, { 20, 20 } } }, fixture.now_);
    CHECK(fixture.granted(1000) == 10);
    fixture.pass(1s);
    CHECK(fixture.granted(1000) == 10);
}

// Guards against refusals after an instance has stopped: the next owner goes on with the ledger.
TEST_CASE("an instance that stops hands its ledgers over")
{
    Fixture fixture({ 20, 40 });
    fixture.join(0);
    fixture.pass(30s);
    fixture.granted(2);
    giveUpLedgers(fixture.state_, fixture.now_, fixture.actions_);
    REQUIRE(fixture.actions_.sends_.size() == 1);
    CHECK(fixture.actions_.sends_.front().to_ == fixture.order_.at(1));
    const auto handover = fixture.sent<QuotaHandover>().at(0);
    CHECK(handover.tokens_ == 18);
    CHECK(fixture.granted(1) == 0);

    Fixture next({ 20, 40 });
    next.join(1);
    next.receive(next.order_.at(0), handover);
    next.receive(next.order_.at(2), QuotaRequest { account, 1, 100, 0 });
    CHECK(next.sent<QuotaGrant>().at(0).tokens_ == 20);
}

// Guards against a wait for one operation that delays others: an instance that asked before is served first.
TEST_CASE("requests are served in the order of their arrival")
{
    Fixture fixture({ 40, 2 });
    fixture.join(0);
    fixture.pass(30s);
    CHECK(fixture.granted(2) == 2);
    fixture.receive(fixture.order_.at(1), QuotaRequest { account, 1, 1, 0 });
    fixture.receive(fixture.order_.at(2), QuotaRequest { account, 2, 1, 50 });
    CHECK(fixture.sent<QuotaGrant>().empty());
    fixture.now_ += 51ms;
    wakeQuotas(fixture.state_, fixture.now_, fixture.actions_);
    auto grants = fixture.sent<QuotaGrant>();
    REQUIRE_FALSE(grants.empty());
    CHECK(grants.front().number_ == 1);
    CHECK(grants.front().tokens_ == 1);
}
