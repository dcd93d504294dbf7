#include "cassiahollow/process/Reasons.h"

#include <catch2/catch.hpp>
#include <set>

using namespace cassiahollow;

// Guards against two reasons that share a counter.
TEST_CASE("reason names are unique")
{
    std::set<std::string_view> names;
    for (const auto& info : allReasons())
        REQUIRE(names.insert(info.name_).second);
}

// Guards against refusals that leave the reader without a remedy.
TEST_CASE("a failure message names reason, detail and remedy")
{
    const auto message = failureMessage({ Reason::QueueFull, "endpoint a1" });
    REQUIRE(message == "queue_full: endpoint a1; retry later with backoff");
}
