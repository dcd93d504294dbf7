#include "cassiahollow/request/Forward.h"

#include "wire/forward.pb.h"

namespace cassiahollow {

namespace {

    constexpr std::uint32_t maxWeight = 1000000;

    void write(wire::Position& to, const LogPosition& from)
    {
        to.set_term(from.term_);
        to.set_index(from.index_);
    }

    LogPosition read(const wire::Position& from)
    {
        return { from.term(), from.index() };
    }

    std::int64_t microseconds(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
    }

    void write(wire::RunRequest& to, const ForwardRequest& from)
    {
        to.set_number(from.number_);
        to.set_endpoint(from.endpoint_.value_);
        to.set_group(from.group_.value_);
        to.set_term(from.term_);
        to.set_service(from.service_.value_);
        to.set_request_class(from.class_.value_);
        to.set_weight(from.weight_);
        to.set_urgent(from.urgent_);
        to.set_read_only(from.readOnly_);
        for (const auto& statement : from.statements_)
            to.add_statements(statement);
        to.set_key(from.key_);
        write(*to.mutable_required(), from.required_);
        to.set_has_max_age(from.maxAge_.has_value());
        to.set_max_age_us(microseconds(from.maxAge_.value_or(Duration::zero())));
        to.set_remaining_us(microseconds(from.remaining_));
        to.set_final_choice(from.finalChoice_);
        to.set_transaction(from.transaction_);
        to.set_operation(static_cast<std::uint32_t>(from.operation_));
    }

    ForwardRequest read(wire::RunRequest& from)
    {
        ForwardRequest to;
        to.number_ = from.number();
        to.endpoint_ = EndpointId(from.endpoint());
        to.group_ = GroupId(from.group());
        to.term_ = from.term();
        to.service_ = ServiceId(from.service());
        to.class_ = ClassId(from.request_class());
        to.weight_ = std::min(from.weight(), maxWeight);
        to.urgent_ = from.urgent();
        to.readOnly_ = from.read_only();
        to.statements_.assign(from.statements().begin(), from.statements().end());
        to.key_ = from.key();
        to.required_ = read(from.required());
        if (from.has_max_age())
            to.maxAge_ = std::chrono::microseconds(from.max_age_us());
        to.remaining_ = std::chrono::microseconds(from.remaining_us());
        to.finalChoice_ = from.final_choice();
        to.transaction_ = from.transaction();
        to.operation_ = static_cast<ForwardOperation>(from.operation());
        return to;
    }

    void write(wire::RunReply& to, const ForwardReply& from)
    {
        to.set_number(from.number_);
        to.set_outcome(static_cast<std::uint32_t>(from.outcome_));
        to.set_has_reason(from.reason_.has_value());
        if (from.reason_)
            to.set_reason(static_cast<std::uint32_t>(*from.reason_));
        to.set_detail(from.detail_);
        for (const auto& answer : from.answers_)
            to.add_answers(answer);
        write(*to.mutable_position(), from.position_);
        to.set_repeated_key(from.repeatedKey_);
        to.set_redirect(from.redirect_.value_);
        to.set_route_term(from.routeTerm_);
        to.set_route_primary(from.routePrimary_.value_);
        to.set_was_sent(from.wasSent_);
    }

    ForwardReply read(wire::RunReply& from)
    {
        ForwardReply to;
        to.number_ = from.number();
        to.outcome_ = static_cast<Outcome>(from.outcome());
        if (from.has_reason())
            to.reason_ = static_cast<Reason>(from.reason());
        to.detail_ = from.detail();
        to.answers_.assign(from.answers().begin(), from.answers().end());
        to.position_ = read(from.position());
        to.repeatedKey_ = from.repeated_key();
        to.redirect_ = EndpointId(from.redirect());
        to.routeTerm_ = from.route_term();
        to.routePrimary_ = EndpointId(from.route_primary());
        to.wasSent_ = from.was_sent();
        return to;
    }

    bool isValid(const wire::RunRequest& request)
    {
        constexpr std::int64_t longest = 24LL * 3600 * 1000000;
        return request.operation() <= static_cast<std::uint32_t>(ForwardOperation::Lookup)
            && request.remaining_us() <= longest && request.remaining_us() >= -longest && request.max_age_us() >= 0
            && request.max_age_us() <= longest;
    }

    bool isValid(const wire::RunReply& reply)
    {
        return reply.outcome() <= static_cast<std::uint32_t>(Outcome::Unknown)
            && reply.reason() < static_cast<std::uint32_t>(Reason::Count);
    }

} // namespace

std::string encodeForward(const ForwardMessage& message)
{
    wire::ForwardMessage wireMessage;
    if (const auto* request = std::get_if<ForwardRequest>(&message))
        write(*wireMessage.mutable_request(), *request);
    else if (const auto* reply = std::get_if<ForwardReply>(&message))
        write(*wireMessage.mutable_reply(), *reply);
    else if (const auto* tree = std::get_if<TreeReply>(&message))
        wireMessage.mutable_tree_reply()->set_tree(tree->tree_);
    else
        wireMessage.mutable_tree_request();
    return wireMessage.SerializeAsString();
}

boost::leaf::result<ForwardMessage> decodeForward(std::string_view bytes)
{
    wire::ForwardMessage message;
    if (message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        if (message.has_request() && isValid(message.request()))
            return ForwardMessage(read(*message.mutable_request()));
        if (message.has_reply() && isValid(message.reply()))
            return ForwardMessage(read(*message.mutable_reply()));
        if (message.has_tree_request())
            return ForwardMessage(TreeRequest {});
        if (message.has_tree_reply())
            return ForwardMessage(TreeReply { message.tree_reply().tree() });
    }
    return boost::leaf::new_error(Failure { Reason::MessageMalformed, "forward" });
}

} // namespace cassiahollow
