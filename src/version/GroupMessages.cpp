#include "cassiahollow/version/GroupMessages.h"

#include "wire/group.pb.h"

#include <boost/leaf/error.hpp>
#include <limits>

namespace cassiahollow {

std::string encodeGroupVote(const GroupVote& vote)
{
    wire::GroupMessage message;
    auto& body = *message.mutable_vote();
    body.set_group(vote.group_.value_);
    body.set_voter(vote.voter_.value_);
    body.set_endpoint(vote.endpoint_.value_);
    body.set_term(vote.term_);
    body.set_suspects(vote.suspects_);
    body.set_highest_promised(vote.highestPromised_);
    return message.SerializeAsString();
}

boost::leaf::result<GroupVote> decodeGroupVote(std::string_view bytes)
{
    wire::GroupMessage message;
    if (bytes.size() > static_cast<std::size_t>(std::numeric_limits<int>::max())
        || !message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return boost::leaf::new_error(Failure { Reason::MessageMalformed, "cannot parse group message" });
    if (!message.has_vote() || message.vote().group().empty() || message.vote().voter().empty())
        return boost::leaf::new_error(Failure { Reason::MessageMalformed, "group message without group or voter" });
    const auto& body = message.vote();
    return GroupVote { GroupId(body.group()), InstanceId(body.voter()), EndpointId(body.endpoint()), body.term(),
        body.suspects(), body.highest_promised() };
}

} // namespace cassiahollow
