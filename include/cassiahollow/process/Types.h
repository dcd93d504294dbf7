#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

namespace cassiahollow {

/// The clock of all decisions. Decision functions receive a time point and never read the clock.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

/// A name that does not convert into a name of another kind. Owns its text.
template <typename Tag> struct Name {
    std::string value_;

    Name() = default;
    explicit Name(std::string value)
        : value_(std::move(value))
    {
    }

    bool empty() const { return value_.empty(); }
    // clang-tidy 14 takes the 0 in the rewritten comparison for a null pointer.
    auto operator<=>(const Name&) const = default; // NOLINT(modernize-use-nullptr)
};

template <typename Tag> std::ostream& operator<<(std::ostream& stream, const Name<Tag>& name)
{
    return stream << name.value_;
}

/// One process of cassiahollow; the id comes from its settings and stays over restarts.
using InstanceId = Name<struct InstanceTag>;
/// One database; the id comes from its announcement.
using EndpointId = Name<struct EndpointTag>;
/// A replicated set of endpoints with one primary.
using GroupId = Name<struct GroupTag>;
/// A zone that a network partition can separate from the others.
using DataCentre = Name<struct DataCentreTag>;
/// A named set of request classes that runs on one endpoint group.
using ServiceId = Name<struct ServiceTag>;
/// A kind of request with a weight, within a service.
using ClassId = Name<struct ClassTag>;

/// The number of a process start: higher at each start of the same instance.
using Incarnation = std::uint64_t;
/// The number of a primary's reign in a group.
using Term = std::uint64_t;

/// The last entry of a log, or a point in it. An entry of a higher term is later whatever the indexes are:
/// an endpoint whose last entry has a higher term holds every acknowledged entry of all lower terms.
struct LogPosition {
    Term term_ { 0 };
    std::uint64_t index_ { 0 };

    bool operator==(const LogPosition&) const = default;
    // Not defaulted: clang-tidy 14 takes the literal 0 of a defaulted comparison for a null pointer.
    auto operator<=>(const LogPosition& other) const
    {
        return std::tie(term_, index_) <=> std::tie(other.term_, other.index_);
    }
};

inline std::ostream& operator<<(std::ostream& stream, const LogPosition& position)
{
    return stream << position.term_ << ':' << position.index_;
}

/// What an endpoint does in its group.
enum class EndpointRole : std::uint8_t {
    Replica, ///< Takes entries from a primary, or waits for an order.
    Primary, ///< Takes writes of the term that it has promised.
};

/// What a caller may conclude about its request.
enum class Outcome : std::uint8_t {
    Done, ///< It ran and is durable on a majority of its group.
    NotRun, ///< Proved: it did not run and will not run.
    Unknown, ///< It may or may not have run; a resend with the same key is safe.
};

/// The text of an outcome as callers see it: "done", "not_run", "unknown".
std::string_view outcomeName(Outcome);

} // namespace cassiahollow

template <typename Tag> struct std::hash<cassiahollow::Name<Tag>> {
    std::size_t operator()(const cassiahollow::Name<Tag>& name) const noexcept
    {
        return std::hash<std::string>()(name.value_);
    }
};
