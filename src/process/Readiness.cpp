#include "cassiahollow/process/Readiness.h"

namespace cassiahollow {

Readiness readinessOf(const ReadinessInputs& inputs)
{
    if (inputs.isStopping_)
        return Readiness::Stopping;
    if (!inputs.hasCatalog_ || !inputs.hasEndpoints_)
        return Readiness::Starting;
    const bool lostMostPrimaries = 2 * inputs.unreachableGroups_ > inputs.groups_;
    return lostMostPrimaries && inputs.confirmedAge_ > isolationTime ? Readiness::Isolated : Readiness::Ready;
}

std::string_view readinessName(Readiness readiness)
{
    switch (readiness) {
    case Readiness::Ready:
        return "ready";
    case Readiness::Starting:
        return "starting";
    case Readiness::Isolated:
        return "isolated";
    case Readiness::Stopping:
        return "stopping";
    }
    return "unknown";
}

} // namespace cassiahollow
