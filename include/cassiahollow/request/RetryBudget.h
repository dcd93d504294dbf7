#pragma once

#include "cassiahollow/process/Types.h"

namespace cassiahollow {

/// Token bucket that limits the retries of an instance to 10 % of its requests plus 10 per second, so that retries
/// cannot multiply the load on an endpoint that is already failing.
struct RetryBudget {
    double perRequest_ { 0.1 }; ///< Retries added per request.
    double perSecond_ { 10 }; ///< Retries added per second.
    double maximum_ { 200 }; ///< Capacity. A failover retries many requests at once.
    double available_ { 10 };
    TimePoint updated_ {};
};

/// Records the first attempt of a request, which adds perRequest_ to the budget.
void recordRequest(RetryBudget&, TimePoint now);

/// Takes one retry from the budget. Returns false if none is available.
bool takeRetry(RetryBudget&, TimePoint now);

} // namespace cassiahollow
