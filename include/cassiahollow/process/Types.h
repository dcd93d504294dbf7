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

/// The clock of all time points. Decision logic receives time points as arguments and never reads the clock.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

/// A strongly typed identifier, not convertible to one with another tag. Owns its text.
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

/// One process of cassiahollow. The id comes from its settings and is the same after a restart.
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
/// Whom a client belongs to. Its name is told to endpoints; its keys are not.
using AccountId = Name<struct AccountTag>;

/// Number of a process start; increases with each start of the same instance.
using Incarnation = std::uint64_t;
/// Number of the period in which one endpoint is the primary of a group; increases with each promotion.
using Term = std::uint64_t;

/// A position in a replicated log. An entry of a higher term is later, independent of the indexes: an endpoint whose
/// last entry has a higher term holds every acknowledged entry of all lower terms.
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

/// Role of an endpoint in its group.
enum class EndpointRole : std::uint8_t {
    Replica, ///< Receives log entries from a primary, or waits for a command.
    Primary, ///< Accepts writes of the term that it has promised.
};

/// Outcome of a request as reported to its caller.
enum class Outcome : std::uint8_t {
    Done, ///< The request ran and is durable on a majority of its group.
    NotRun, ///< The request provably did not run and will not run.
    Unknown, ///< The request may have run; a resend with the same key is safe.
};

/// Returns the text of an outcome in responses: "done", "not_run" or "unknown".
std::string_view outcomeName(Outcome);

} // namespace cassiahollow

template <typename Tag> struct std::hash<cassiahollow::Name<Tag>> {
    std::size_t operator()(const cassiahollow::Name<Tag>& name) const noexcept
    {
        return std::hash<std::string>()(name.value_);
    }
};
