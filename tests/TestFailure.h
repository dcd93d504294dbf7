#pragma once

#include "cassiahollow/process/Reasons.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include <optional>

namespace cassiahollow {

/// Runs a function that returns a result, and gives its failure, or nothing when it succeeds.
template <typename F> std::optional<Failure> failureOf(F&& function)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<Failure>> {
            BOOST_LEAF_CHECK(function());
            return std::optional<Failure>();
        },
        [](const Failure& failure) { return std::optional(failure); },
        [] {
            return std::optional(Failure { Reason::Count, "an error that is not a Failure" });
        });
}

} // namespace cassiahollow
