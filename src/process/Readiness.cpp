#include "cassiahollow/process/Readiness.h"

namespace cassiahollow {

Readiness readinessOf(const ReadinessInputs& view)
{
    if (view.isStopping_)
        return Readiness::Stopping;
    if (!view.hasCatalog_ || !view.hasEndpoints_)
        return Readiness::Starting;
    const bool lostPrimaries = 2 * view.unreachableGroups_ > view.groups_;
    return lostPrimaries && view.confirmedAge_ > isolationTime ? Readiness::Isolated : Readiness::Ready;
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
