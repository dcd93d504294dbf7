#include "cassiahollow/connection/MemoryBudget.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>

using namespace cassiahollow;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t smallestMachine = 112 << 20;
constexpr std::size_t longestMessage = 1 << 20;

struct Clients {
    explicit Clients(std::size_t machineBytes) { budget_.limits_ = memoryLimits(machineBytes); }
    ~Clients()
    {
        for (auto& charge : charges_)
            closeCharge(budget_, charge);
    }

    MemoryCharge& add(std::size_t bytes, bool isStarted = true)
    {
        auto& charge = charges_.emplace_back();
        charge.isStarted_ = isStarted;
        openCharge(budget_, charge);
        setCharge(budget_, charge, bytes, now_);
        return charge;
    }

    /// Closes what has to be closed; returns how many.
    std::size_t relieve()
    {
        std::size_t count = 0;
        for (; auto* charge = nextToClose(budget_); ++count)
            closeCharge(budget_, *charge);
        return count;
    }

    MemoryBudget budget_;
    std::deque<MemoryCharge> charges_;
    TimePoint now_ { 1s };
};

} // namespace

// Guards against a limit that a deployment without the setting meets.
TEST_CASE("without the memory of the machine nothing is limited")
{
    Clients clients(0);
    for (int i = 0; i < 1000; ++i)
        clients.add(longestMessage);
    CHECK(clients.relieve() == 0);
    CHECK(mayConnect(clients.budget_));
    CHECK(mayHold(clients.budget_, std::size_t(1) << 40));
    CHECK_FALSE(isReadingStopped(clients.budget_));
}

// Guards against a limit that refuses a single legal message on the smallest machine with all its ordinary clients.
TEST_CASE("the longest message is served on the smallest machine in calm")
{
    Clients clients(smallestMachine);
    const auto& limits = clients.budget_.limits_;
    CHECK(limits.total_ + processBytes <= smallestMachine);
    for (std::size_t i = 0; i < 1000; ++i)
        clients.add(1000);
    // The buffer grows by doubling.
    clients.add(2 * longestMessage, false);
    CHECK(clients.relieve() == 0);
    CHECK(mayHold(clients.budget_, copiesOfStatement * longestMessage));
    CHECK(mayConnect(clients.budget_));
}

// Guards against many large messages that together fill the memory, and against ordinary clients closed for them.
TEST_CASE("large clients are closed until all fits, and small ones stay")
{
    Clients clients(smallestMachine);
    for (int i = 0; i < 300; ++i)
        clients.add(1000);
    for (int i = 0; i < 300; ++i)
        clients.add(longestMessage);
    const auto closed = clients.relieve();
    CHECK(closed >= 200);
    CHECK(closed < 300);
    CHECK(clients.budget_.used_ <= clients.budget_.limits_.total_);
    CHECK(mayHold(clients.budget_, 4000));
    for (std::size_t i = 0; i < 300; ++i)
        CHECK(clients.charges_[i].isOpen_);
}

// Guards against small buffers of very many clients, which no limit on a single one bounds.
TEST_CASE("small clients are closed when their sum is too large")
{
    Clients clients(smallestMachine);
    while (mayConnect(clients.budget_))
        clients.add(64 << 10, false);
    CHECK(clients.relieve() > 0);
    CHECK(clients.budget_.used_ <= clients.budget_.limits_.total_);
}

// Guards against the wrong victim.
TEST_CASE("the largest is closed first, one without a session before others, the slowest among equals")
{
    Clients clients(smallestMachine);
    auto& slow = clients.add(longestMessage);
    clients.now_ += 1s;
    auto& quick = clients.add(longestMessage);
    auto& unstarted = clients.add(longestMessage * 3 / 4, false);
    auto& largest = clients.add(longestMessage * 2);
    // Held by statements that run.
    hold(clients.budget_, clients.budget_.limits_.total_);
    CHECK(nextToClose(clients.budget_) == &largest);
    closeCharge(clients.budget_, largest);
    CHECK(nextToClose(clients.budget_) == &unstarted);
    closeCharge(clients.budget_, unstarted);
    CHECK(nextToClose(clients.budget_) == &slow);
    closeCharge(clients.budget_, slow);
    CHECK(nextToClose(clients.budget_) == &quick);
    closeCharge(clients.budget_, quick);
    // What is left is not the clients': reading stops, and goes on by itself.
    CHECK(nextToClose(clients.budget_) == nullptr);
    CHECK_FALSE(mayHold(clients.budget_, 1));
    release(clients.budget_, clients.budget_.limits_.total_);
    CHECK_FALSE(isReadingStopped(clients.budget_));
}

// Guards against large statements that leave no room for ordinary ones.
TEST_CASE("large statements leave the reserved share to small ones")
{
    Clients clients(smallestMachine);
    auto& budget = clients.budget_;
    while (mayHold(budget, longestMessage))
        hold(budget, longestMessage);
    CHECK(budget.used_ + budget.limits_.reserved_ <= budget.limits_.total_);
    CHECK(mayHold(budget, smallBytes));
}

// Guards against sums that drift: what was charged is released, whatever the order.
TEST_CASE("all sums return to zero")
{
    for (unsigned seed = 1; seed <= 50; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        Clients clients(smallestMachine);
        std::deque<std::size_t> held;
        for (int step = 0; step < 500; ++step) {
            const auto bytes = static_cast<std::size_t>(random() % (2 * longestMessage)) >> (random() % 12);
            switch (random() % 5) {
            case 0:
                clients.add(bytes, random() % 2 == 0);
                break;
            case 1:
                if (!clients.charges_.empty()) {
                    auto& charge = clients.charges_[random() % clients.charges_.size()];
                    if (charge.isOpen_)
                        setCharge(clients.budget_, charge, bytes, clients.now_);
                }
                break;
            case 2:
                if (mayHold(clients.budget_, bytes)) {
                    hold(clients.budget_, bytes);
                    held.push_back(bytes);
                }
                break;
            case 3:
                if (!held.empty()) {
                    release(clients.budget_, held.front());
                    held.pop_front();
                }
                break;
            default:
                clients.relieve();
                REQUIRE((clients.budget_.used_ <= clients.budget_.limits_.total_ || clients.budget_.clients_ == 0));
            }
        }
        for (const auto bytes : held)
            release(clients.budget_, bytes);
        for (auto& charge : clients.charges_)
            closeCharge(clients.budget_, charge);
        CHECK(clients.budget_.used_ == 0);
        CHECK(clients.budget_.large_ == 0);
        CHECK(clients.budget_.clients_ == 0);
        CHECK(clients.budget_.connections_ == 0);
    }
}
