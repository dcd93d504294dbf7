#pragma once

#include "cassiahollow/process/Reasons.h"

#include <boost/leaf.hpp>
#include <optional>
#include <type_traits>

namespace cassiahollow {

/// Calls a function that returns a result; on failure stores the error and returns nothing.
template <typename Function>
auto valueOrFailure(Function function, Failure& failure) -> std::optional<std::decay_t<decltype(*function())>>
{
    using Value = std::decay_t<decltype(*function())>;
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<Value>> {
            BOOST_LEAF_AUTO(value, function());
            return std::optional<Value>(std::move(value));
        },
        [&](const Failure& error) {
            failure = error;
            return std::optional<Value>();
        },
        [&] {
            failure = { Reason::MalformedRequest, {} };
            return std::optional<Value>();
        });
}

} // namespace cassiahollow
