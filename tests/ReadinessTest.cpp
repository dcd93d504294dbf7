#include "cassiahollow/process/Readiness.h"

#include <catch2/catch.hpp>

using namespace cassiahollow;
using namespace std::chrono_literals;

namespace {

ReadinessInputs serving()
{
    ReadinessInputs view;
    view.hasCatalog_ = true;
    view.hasEndpoints_ = true;
    view.confirmedAge_ = 200ms;
    view.groups_ = 3;
    return view;
}

} // namespace

// Replays "a data centre is cut off while its clients still come": control and two of three primaries are gone.
TEST_CASE("an instance that is cut off with its data centre is not ready")
{
    auto view = serving();
    CHECK(readinessOf(view) == Readiness::Ready);
    view.unreachableGroups_ = 2;
    CHECK(readinessOf(view) == Readiness::Ready);
    view.confirmedAge_ = isolationTime + 1ms;
    CHECK(readinessOf(view) == Readiness::Isolated);
}

// Guards against all instances leaving the rotation at once when only control, or only the databases, have failed.
TEST_CASE("an instance stays ready when only control or only primaries are gone")
{
    auto withoutControl = serving();
    withoutControl.confirmedAge_ = Duration::max();
    CHECK(readinessOf(withoutControl) == Readiness::Ready);
    withoutControl.unreachableGroups_ = 1;
    CHECK(readinessOf(withoutControl) == Readiness::Ready);
    auto withoutPrimaries = serving();
    withoutPrimaries.unreachableGroups_ = 3;
    CHECK(readinessOf(withoutPrimaries) == Readiness::Ready);
}

TEST_CASE("an instance that starts or stops is not ready")
{
    auto starting = serving();
    starting.hasEndpoints_ = false;
    CHECK(readinessOf(starting) == Readiness::Starting);
    auto stopping = serving();
    stopping.isStopping_ = true;
    CHECK(readinessOf(stopping) == Readiness::Stopping);
}
