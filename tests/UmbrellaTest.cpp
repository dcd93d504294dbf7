#include "cassiahollow/cassiahollow.h"

#include <catch2/catch.hpp>

// Guards against public headers that cannot be included together, such as two types with one name.
TEST_CASE("the umbrella header compiles on its own")
{
    REQUIRE(cassiahollow::outcomeName(cassiahollow::Outcome::Done) == "done");
}
