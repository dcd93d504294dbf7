#include "cassiahollow/request/RetryBudget.h"

#include <algorithm>

namespace cassiahollow {

namespace {

    void refill(RetryBudget& budget, TimePoint now)
    {
        if (now > budget.updated_) {
            const std::chrono::duration<double> elapsed = now - budget.updated_;
            budget.available_ = std::min(budget.maximum_, budget.available_ + elapsed.count() * budget.perSecond_);
        }
        budget.updated_ = std::max(budget.updated_, now);
    }

} // namespace

void recordRequest(RetryBudget& budget, TimePoint now)
{
    refill(budget, now);
    budget.available_ = std::min(budget.maximum_, budget.available_ + budget.perRequest_);
}

bool takeRetry(RetryBudget& budget, TimePoint now)
{
    refill(budget, now);
    // The tolerance covers rounding errors: ten additions of 0.1 yield less than 1.
    constexpr double one = 1 - 1e-9;
    if (budget.available_ < one)
        return false;
    budget.available_ = std::max(0.0, budget.available_ - 1);
    return true;
}

} // namespace cassiahollow
