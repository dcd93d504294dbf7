#pragma once

#include "cassiahollow/process/Types.h"

namespace cassiahollow {

/// Limits the retries of an instance to 10 % of its requests plus 10 a second, so that retries cannot multiply the
/// load on an endpoint that is already failing.
struct RetryBudget {
    double perRequest_ { 0.1 }; ///< Retries earned by each request.
    double perSecond_ { 10 }; ///< Retries earned by each second.
    double maximum_ { 200 }; ///< The most retries that can be saved up. A failover retries many requests at once.
    double available_ { 10 };
    TimePoint updated_ {};
};

/// Records a first attempt.
void recordRequest(RetryBudget&, TimePoint now);

/// Takes one retry out of the budget, or returns false if there is none.
bool takeRetry(RetryBudget&, TimePoint now);

} // namespace cassiahollow
