#include "cassiahollow/version/ControlState.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace cassiahollow {

namespace leaf = boost::leaf;

namespace {

    // Bounds the size of a log entry, and with it that of messages with several entries.
    constexpr std::size_t maximumChangeBytes = 256 * 1024;
    constexpr std::size_t maximumEndpointName = 128;
    // Twice the maximum body size of an operator request.
    constexpr std::size_t maximumCatalogBytes = 512 * 1024;

    auto failure(Reason reason, std::string detail)
    {
        return leaf::new_error(Failure { reason, std::move(detail) });
    }

    bool isPrintable(const std::string& text)
    {
        return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
    }

    leaf::result<std::uint64_t> apply(ControlState& state, const SettingsChange& change, const std::string& key)
    {
        BOOST_LEAF_ASSIGN(state.settings_, applySettingsChange(state.settings_, change, key));
        return state.settings_.revision_;
    }

    leaf::result<std::uint64_t> apply(ControlState& state, const GroupMembersChange& change, const std::string&)
    {
        const auto found = state.groups_.find(change.group_);
        const GroupMembers current = found == state.groups_.end() ? GroupMembers {} : found->second;
        const auto name = "group " + change.group_.value_;
        if (change.expectedVersion_ != current.version_) {
            return failure(Reason::SettingsRevisionConflict,
                name + ": the change was made on member list " + std::to_string(change.expectedVersion_) + ", but "
                    + std::to_string(current.version_) + " is in force");
        }
        auto members = change.members_;
        std::sort(members.begin(), members.end());
        if (std::adjacent_find(members.begin(), members.end()) != members.end())
            return failure(Reason::SettingsInvalid, name + ": an endpoint is listed twice");
        std::vector<EndpointId> difference;
        std::set_symmetric_difference(members.begin(), members.end(), current.members_.begin(), current.members_.end(),
            std::back_inserter(difference));
        if (current.version_ > 0 && difference.size() != 1)
            return failure(Reason::SettingsInvalid, name + ": a change adds or removes one member");
        state.groups_[change.group_] = { current.version_ + 1, std::move(members) };
        return current.version_ + 1;
    }

    leaf::result<std::uint64_t> apply(ControlState& state, const CatalogChange& change, const std::string&)
    {
        if (change.catalog_.version_ > state.catalog_.version_)
            state.catalog_ = change.catalog_;
        return state.catalog_.version_;
    }

    leaf::result<std::uint64_t> apply(ControlState& state, const GrantChange& change, const std::string&)
    {
        auto& grant = state.grants_[change.group_];
        grant = { grant.fence_ + 1, change.endpoint_, change.holder_ };
        return grant.fence_;
    }

} // namespace

ChangeOutcome undecidedOutcome(Outcome outcome, Reason reason, std::string detail)
{
    return { .outcome_ = outcome, .reason_ = reason, .detail_ = std::move(detail) };
}

ChangeOutcome forwardedOutcome(ChangeOutcome outcome)
{
    if (outcome.decided_ || outcome.outcome_ != Outcome::NotRun)
        return outcome;
    return undecidedOutcome(Outcome::Unknown, Reason::ResponseLost, std::move(outcome.detail_));
}

std::string changeOutcomeToJson(const ChangeOutcome& outcome)
{
    nlohmann::json json { { "outcome", outcomeName(outcome.outcome_) } };
    if (outcome.outcome_ == Outcome::Done)
        json["revision"] = outcome.revision_;
    if (outcome.reason_) {
        json["reason"] = reasonInfo(*outcome.reason_).name_;
        json["remedy"] = reasonInfo(*outcome.reason_).remedy_;
    }
    if (!outcome.detail_.empty())
        json["detail"] = outcome.detail_;
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

leaf::result<void> checkChange(const ControlChange& change)
{
    if (change.key_.empty() || change.key_.size() > maximumKeyLength || !isPrintable(change.key_))
        return failure(Reason::KeyRequired, "a change needs a key of printable characters without spaces");
    if (const auto* settings = std::get_if<SettingsChange>(&change.command_)) {
        std::size_t bytes = 0;
        for (const auto& operation : settings->operations_)
            bytes += operation.path_.size() + operation.name_.size() + operation.value_.size();
        if (settings->operations_.size() > maximumSettingsOperations || bytes > maximumChangeBytes)
            return failure(Reason::SettingsInvalid, "the change is too large; split it");
        return {};
    }
    const auto isId
        = [](const std::string& id) { return !id.empty() && id.size() <= maximumEndpointName && isPrintable(id); };
    if (const auto* catalog = std::get_if<CatalogChange>(&change.command_)) {
        if (catalog->catalog_.version_ == 0 || catalog->catalog_.document_.size() > maximumCatalogBytes)
            return failure(Reason::SettingsInvalid, "a catalog needs a version above 0 and at most 512 KB");
        return {};
    }
    if (const auto* grant = std::get_if<GrantChange>(&change.command_)) {
        if (!isId(grant->group_.value_) || !isId(grant->endpoint_.value_) || !isId(grant->holder_.value_))
            return failure(Reason::SettingsInvalid, "a grant names a group, an endpoint and a holder");
        return {};
    }
    const auto& group = std::get<GroupMembersChange>(change.command_);
    if (!isId(group.group_.value_) || group.members_.size() > maximumGroupMembers
        || !std::all_of(group.members_.begin(), group.members_.end(), [&](const auto& m) { return isId(m.value_); }))
        return failure(Reason::SettingsInvalid, "a group has at most 9 members, and names of printable characters");
    return {};
}

ChangeOutcome applyChange(ControlState& state, const ControlChange& change)
{
    if (const auto first = state.outcomes_.find(change.key_); first != state.outcomes_.end())
        return first->second;
    const auto refusal = [](Reason reason, std::string detail) {
        return ChangeOutcome { .outcome_ = Outcome::NotRun, .reason_ = reason, .detail_ = std::move(detail) };
    };
    auto outcome = leaf::try_handle_all(
        [&]() -> leaf::result<ChangeOutcome> {
            BOOST_LEAF_AUTO(revision,
                std::visit([&](const auto& command) { return apply(state, command, change.key_); }, change.command_));
            return ChangeOutcome { .outcome_ = Outcome::Done, .revision_ = revision };
        },
        [&](const Failure& failure) { return refusal(failure.reason_, failure.detail_); },
        [&] { return refusal(Reason::SettingsInvalid, {}); });
    outcome.decided_ = true;
    state.outcomes_.emplace(change.key_, outcome);
    state.keys_.push_back(change.key_);
    if (state.keys_.size() > maximumChangeKeys) {
        state.outcomes_.erase(state.keys_.front());
        state.keys_.pop_front();
    }
    return outcome;
}

} // namespace cassiahollow
