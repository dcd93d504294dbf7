#pragma once

#include "cassiahollow/version/PromotionDuty.h"

namespace cassiahollow {

/// The number of endpoints of a group, counting a primary that is not known or not registered any more. With
/// synchronous replicas, a commit is acknowledged once its primary and that many others of them have it.
std::size_t countEndpoints(const EndpointRegistry&, const GroupId&, const GroupPromotion&);

/// Whether the endpoint that sent the result cannot confirm any more commits below the term of the current survey.
bool confirmsPause(const GroupPromotion&, const SurveyResult&);

/// Whether the target of a replacement has every commit that was acknowledged, and no further one can be acknowledged
/// that it lacks. True without synchronous replicas, where no endpoint but the primary knows of acknowledged commits.
bool hasEveryAcknowledgedCommit(
    const EndpointRegistry&, const GroupId&, const GroupPromotion&, std::size_t synchronous);

} // namespace cassiahollow
