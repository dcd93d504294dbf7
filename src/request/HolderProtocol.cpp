#include "cassiahollow/request/HolderProtocol.h"

#include "cassiahollow/process/Reasons.h"
#include "process/NestingLimit.h"

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace cassiahollow {

namespace leaf = boost::leaf;
using nlohmann::json;

namespace {

    enum Kind : std::uint8_t {
        KindStatement = 1,
        KindEnd,
        KindReply,
        KindLeaving,
        KindProbe,
        KindProbeReply,
        KindQuotaRequest,
        KindQuotaGrant,
        KindLoanRequest,
        KindQuotaLoan,
        KindQuotaHandover,
    };

    // The length of a message, in little-endian order.
    constexpr std::size_t lengthBytes = 4;
    // Position of the account in a statement; instances of earlier versions leave it out.
    constexpr std::size_t accountField = 17;
    // Longer times make no difference to any decision, and larger numbers overflow when a time is computed from them.
    constexpr std::int64_t maximumTimeMs = std::chrono::milliseconds(std::chrono::hours(24)).count();

    std::int64_t toMicroseconds(Duration duration)
    {
        return std::chrono::ceil<std::chrono::microseconds>(duration).count();
    }

    Duration durationFrom(const json& in)
    {
        return Duration(
            std::chrono::microseconds(std::clamp<std::int64_t>(in.get<std::int64_t>(), 0, maximumTimeMs * 1000)));
    }

    std::chrono::milliseconds millisecondsFrom(const json& in)
    {
        return std::chrono::milliseconds(std::clamp<std::int64_t>(in.get<std::int64_t>(), 0, maximumTimeMs));
    }

    template <typename Enum> Enum enumFrom(const json& in, Enum last)
    {
        const auto value = in.get<std::uint64_t>();
        if (value > static_cast<std::uint64_t>(last))
            throw std::invalid_argument("a kind is out of range");
        return static_cast<Enum>(value);
    }

    json toJson(const LogPosition& position)
    {
        return json::array({ position.term_, position.index_ });
    }

    LogPosition positionFrom(const json& in)
    {
        return { in.at(0).get<std::uint64_t>(), in.at(1).get<std::uint64_t>() };
    }

    json toJson(const Route& route)
    {
        return json::array({ route.name_, route.database_, route.group_.value_, route.consistency_,
            route.statementTimeout_.count(), route.objective_.count(), route.maxAge_.count(), route.priority_ });
    }

    Route routeFrom(const json& in)
    {
        Route route;
        route.name_ = in.at(0).get<std::string>();
        route.database_ = in.at(1).get<std::string>();
        route.group_ = GroupId(in.at(2).get<std::string>());
        route.consistency_ = enumFrom(in.at(3), Consistency::ReadYourWrites);
        route.statementTimeout_ = millisecondsFrom(in.at(4));
        route.objective_ = millisecondsFrom(in.at(5));
        route.maxAge_ = millisecondsFrom(in.at(6));
        route.priority_ = in.at(7).get<int>();
        return route;
    }

    json toJson(const StatementRequest& message)
    {
        json values = json::array();
        for (const auto& [name, value] : message.values_)
            values.push_back(json::array({ name, value }));
        json shape;
        if (message.shape_)
            shape = json::array({ message.shape_->shape_, message.shape_->writes_ });
        return json::array({ KindStatement, message.operation_, message.number_, message.id_, message.text_,
            message.kind_, message.opensTransaction_, message.readOnly_, toMicroseconds(message.age_),
            toMicroseconds(message.operationAge_), std::move(shape), toJson(message.route_), message.catalogVersion_,
            toMicroseconds(message.idleTransaction_), toJson(message.ownCommit_), toMicroseconds(message.ownCommitAge_),
            std::move(values), message.account_.value_ });
    }

    json toJson(const OperationEnd& message)
    {
        return json::array({ KindEnd, message.operation_ });
    }

    json toJson(const StatementReply& message)
    {
        return json::array({ KindReply, message.number_, message.error_ ? json(*message.error_) : json(),
            message.errorText_, message.rows_, message.signature_, toJson(message.position_),
            message.isTransactionOpen_, message.isPrimaryUnreachable_ });
    }

    json toJson(const HolderLeaving&)
    {
        return json::array({ KindLeaving });
    }

    json toJson(const HolderProbe& message)
    {
        return json::array({ KindProbe, message.group_.value_ });
    }

    json toJson(const HolderProbeReply& message)
    {
        return json::array({ KindProbeReply, message.group_.value_, message.isPrimaryUnreachable_ });
    }

    json toJson(const QuotaRequest& message)
    {
        return json::array(
            { KindQuotaRequest, message.account_.value_, message.number_, message.waiting_, message.ahead_ });
    }

    json toJson(const QuotaGrant& message)
    {
        return json::array({ KindQuotaGrant, message.account_.value_, message.number_, message.tokens_,
            toMicroseconds(message.comeBack_), message.isDeclined_ });
    }

    json toJson(const LoanRequest& message)
    {
        return json::array({ KindLoanRequest, message.account_.value_, message.number_, message.wanted_ });
    }

    json toJson(const QuotaLoan& message)
    {
        return json::array({ KindQuotaLoan, message.account_.value_, message.number_, message.tokens_,
            toMicroseconds(message.comeBack_), message.isDeclined_ });
    }

    json toJson(const QuotaHandover& message)
    {
        return json::array({ KindQuotaHandover, message.account_.value_, message.tokens_ });
    }

    std::uint32_t tokensFrom(const json& in)
    {
        const auto count = in.get<std::uint64_t>();
        if (count > maximumQuotaTokens)
            throw std::invalid_argument("too many tokens");
        return static_cast<std::uint32_t>(count);
    }

    AccountId accountFrom(const json& in)
    {
        AccountId account(in.get<std::string>());
        if (account.empty())
            throw std::invalid_argument("a message about a quota names no account");
        return account;
    }

    StatementRequest statementFrom(const json& in)
    {
        StatementRequest message;
        message.operation_ = in.at(1).get<std::uint64_t>();
        message.number_ = in.at(2).get<std::uint64_t>();
        message.id_ = in.at(3).get<std::string>();
        message.text_ = in.at(4).get<std::string>();
        message.kind_ = enumFrom(in.at(5), StatementKind::Malformed);
        const bool isForwardable = message.kind_ == StatementKind::Read || message.kind_ == StatementKind::Write
            || message.kind_ == StatementKind::Commit;
        if (!isForwardable || message.id_.empty())
            throw std::invalid_argument("not a statement that is forwarded");
        message.opensTransaction_ = in.at(6).get<bool>();
        message.readOnly_ = in.at(7).get<bool>();
        message.age_ = durationFrom(in.at(8));
        message.operationAge_ = durationFrom(in.at(9));
        if (const auto& shape = in.at(10); !shape.is_null())
            message.shape_ = PreparedShape { shape.at(0).get<std::string>(), shape.at(1).get<bool>() };
        message.route_ = routeFrom(in.at(11));
        message.catalogVersion_ = in.at(12).get<std::uint64_t>();
        message.idleTransaction_ = durationFrom(in.at(13));
        message.ownCommit_ = positionFrom(in.at(14));
        message.ownCommitAge_ = durationFrom(in.at(15));
        for (const auto& value : in.at(16))
            message.values_.emplace(value.at(0).get<std::string>(), value.at(1).get<std::string>());
        if (message.values_.size() > maximumSessionNames)
            throw std::invalid_argument("too many session values");
        if (in.size() > accountField)
            message.account_ = AccountId(in.at(accountField).get<std::string>());
        return message;
    }

    StatementReply replyFrom(const json& in)
    {
        StatementReply message;
        message.number_ = in.at(1).get<std::uint64_t>();
        if (!in.at(2).is_null())
            message.error_ = enumFrom(in.at(2), StatementError::UnknownKey);
        message.errorText_ = in.at(3).get<std::string>();
        message.rows_ = in.at(4).get<std::vector<std::string>>();
        message.signature_ = in.at(5).get<std::string>();
        message.position_ = positionFrom(in.at(6));
        message.isTransactionOpen_ = in.at(7).get<bool>();
        message.isPrimaryUnreachable_ = in.at(8).get<bool>();
        if (message.error_.has_value() == !message.signature_.empty())
            throw std::invalid_argument("a reply needs either an error or a signature");
        return message;
    }

    HolderMessage quotaMessageFrom(const json& in)
    {
        auto account = accountFrom(in.at(1));
        const auto kind = in.at(0).get<int>();
        if (kind == KindQuotaHandover)
            return QuotaHandover { std::move(account), tokensFrom(in.at(2)) };
        const auto number = in.at(2).get<std::uint64_t>();
        const auto tokens = tokensFrom(in.at(3));
        switch (kind) {
        case KindQuotaRequest:
            return QuotaRequest { std::move(account), number, tokens, tokensFrom(in.at(4)) };
        case KindQuotaGrant:
            return QuotaGrant { std::move(account), number, tokens, durationFrom(in.at(4)), in.at(5).get<bool>() };
        case KindLoanRequest:
            return LoanRequest { std::move(account), number, tokens };
        default:
            return QuotaLoan { std::move(account), number, tokens, durationFrom(in.at(4)), in.at(5).get<bool>() };
        }
    }

    HolderMessage messageFrom(const json& in)
    {
        switch (in.at(0).get<int>()) {
        case KindStatement:
            return statementFrom(in);
        case KindEnd:
            return OperationEnd { in.at(1).get<std::uint64_t>() };
        case KindReply:
            return replyFrom(in);
        case KindLeaving:
            return HolderLeaving {};
        case KindProbe:
            return HolderProbe { GroupId(in.at(1).get<std::string>()) };
        case KindProbeReply:
            return HolderProbeReply { GroupId(in.at(1).get<std::string>()), in.at(2).get<bool>() };
        case KindQuotaRequest:
        case KindQuotaGrant:
        case KindLoanRequest:
        case KindQuotaLoan:
        case KindQuotaHandover:
            return quotaMessageFrom(in);
        default:
            throw std::invalid_argument("unknown kind of forwarded message");
        }
    }

} // namespace

std::string encodeFrame(std::string_view bytes)
{
    std::string frame;
    frame.reserve(lengthBytes + bytes.size());
    for (std::size_t i = 0; i < lengthBytes; ++i)
        frame.push_back(static_cast<char>(bytes.size() >> (8 * i)));
    return frame.append(bytes);
}

std::string encodeHolderMessage(const HolderMessage& message)
{
    std::string bytes;
    json::to_msgpack(std::visit([](const auto& body) { return toJson(body); }, message), bytes);
    return encodeFrame(bytes);
}

leaf::result<std::optional<std::string_view>> takeFrame(std::string_view buffer, std::size_t& offset)
{
    if (buffer.size() - offset < lengthBytes)
        return std::optional<std::string_view>();
    std::size_t length = 0;
    for (std::size_t i = 0; i < lengthBytes; ++i)
        length |= static_cast<std::size_t>(static_cast<unsigned char>(buffer[offset + i])) << (8 * i);
    if (length > maximumHolderMessageBytes)
        return leaf::new_error(Failure { Reason::MessageMalformed, "a forwarded message is too long" });
    if (buffer.size() - offset - lengthBytes < length)
        return std::optional<std::string_view>();
    const auto frame = buffer.substr(offset + lengthBytes, length);
    offset += lengthBytes + length;
    return std::optional(frame);
}

leaf::result<HolderMessage> decodeHolderMessage(std::string_view bytes)
{
    try {
        checkNesting(bytes, json::input_format_t::msgpack);
        return messageFrom(json::from_msgpack(bytes.begin(), bytes.end()));
    } catch (const std::exception& error) {
        return leaf::new_error(Failure { Reason::MessageMalformed, error.what() });
    }
}

} // namespace cassiahollow
