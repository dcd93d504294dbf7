#include "cassiahollow/connection/EndpointProtocol.h"

#include <array>
#include <boost/leaf/error.hpp>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>

namespace cassiahollow {

namespace {

    using Json = nlohmann::json;

    struct RefusalInfo {
        EndpointRefusal refusal_;
        std::string_view name_;
        Reason reason_;
    };

    constexpr std::array<RefusalInfo, static_cast<std::size_t>(EndpointRefusal::Count)> refusals { {
        { EndpointRefusal::ConnectionLimit, "connection_limit", Reason::EndpointConnectionLimit },
        { EndpointRefusal::StaleTerm, "stale_term", Reason::StaleTerm },
        { EndpointRefusal::OtherPromoter, "other_promoter", Reason::StaleTerm },
        { EndpointRefusal::NotPrimary, "not_primary", Reason::RetryStaleRoute },
        { EndpointRefusal::ReplicaBehind, "replica_behind", Reason::RetryReplicaBehind },
        { EndpointRefusal::StatementFailed, "statement_failed", Reason::StatementFailed },
        { EndpointRefusal::TransactionUnknown, "transaction_unknown", Reason::TransactionUnknown },
        { EndpointRefusal::TransactionOpen, "transaction_open", Reason::TransactionAborted },
        { EndpointRefusal::TransactionAborted, "transaction_aborted", Reason::TransactionAborted },
        { EndpointRefusal::Leaving, "leaving", Reason::EndpointLeaving },
        { EndpointRefusal::Malformed, "malformed", Reason::MessageMalformed },
        { EndpointRefusal::Other, "other", Reason::StatementFailed },
    } };

    constexpr bool areRefusalsInEnumOrder()
    {
        for (std::size_t i = 0; i < refusals.size(); ++i) {
            if (refusals[i].refusal_ != static_cast<EndpointRefusal>(i))
                return false;
        }
        return true;
    }

    static_assert(
        areRefusalsInEnumOrder(), "refusals must have one row per EndpointRefusal, in the order of the enumeration");

    EndpointRefusal refusalByName(std::string_view name)
    {
        for (const auto& info : refusals) {
            if (info.name_ == name)
                return info.refusal_;
        }
        return EndpointRefusal::Other;
    }

    /// Reads the fields of a JSON object and stores the first error, so that callers check for errors once at the end.
    class FieldReader {
    public:
        explicit FieldReader(const Json& object)
            : object_(object)
        {
            if (!object.is_object())
                fail("JSON object");
        }

        std::string text(const char* name, bool isRequired = true, std::size_t maxBytes = maxEndpointNameBytes)
        {
            const auto* value = find(name, isRequired);
            if (value == nullptr)
                return {};
            const auto* content = value->get_ptr<const std::string*>();
            if (content == nullptr || content->size() > maxBytes || (isRequired && content->empty())) {
                fail(name);
                return {};
            }
            return *content;
        }

        std::uint64_t number(const char* name, bool isRequired = true)
        {
            const auto* value = find(name, isRequired);
            if (value == nullptr)
                return 0;
            if (!value->is_number_unsigned()) {
                fail(name);
                return 0;
            }
            return value->get<std::uint64_t>();
        }

        std::uint32_t positiveUint32(const char* name)
        {
            const auto value = number(name);
            if (value == 0 || value > std::numeric_limits<std::uint32_t>::max())
                fail(name);
            return static_cast<std::uint32_t>(value);
        }

        bool flag(const char* name, bool isRequired = true)
        {
            const auto* value = find(name, isRequired);
            if (value == nullptr)
                return false;
            if (!value->is_boolean()) {
                fail(name);
                return false;
            }
            return value->get<bool>();
        }

        std::vector<std::string> texts(const char* name)
        {
            const auto* value = find(name, true);
            if (value == nullptr)
                return {};
            if (!value->is_array() || value->size() > maxEndpointStatements) {
                fail(name);
                return {};
            }
            std::vector<std::string> result;
            result.reserve(value->size());
            for (const auto& item : *value) {
                const auto* content = item.get_ptr<const std::string*>();
                if (content == nullptr) {
                    fail(name);
                    return {};
                }
                result.push_back(*content);
            }
            return result;
        }

        EndpointRole role(const char* name)
        {
            const auto content = text(name);
            if (content == endpointRoleName(EndpointRole::Primary))
                return EndpointRole::Primary;
            if (content != endpointRoleName(EndpointRole::Replica))
                fail(name);
            return EndpointRole::Replica;
        }

        LogPosition position(const char* term, const char* index, bool isRequired = true)
        {
            return { number(term, isRequired), number(index, isRequired) };
        }

        /// Returns the value of a field. Returns null if an error was recorded before or the field is absent, which is
        /// an error if it is required.
        const Json* find(const char* name, bool isRequired)
        {
            if (error_)
                return nullptr;
            const auto item = object_.find(name);
            if (item == object_.end()) {
                if (isRequired)
                    fail(name);
                return nullptr;
            }
            return &*item;
        }

        void fail(std::string_view what)
        {
            if (!error_)
                error_ = std::string(what);
        }

        const std::optional<std::string>& error() const { return error_; }

    private:
        const Json& object_;
        std::optional<std::string> error_;
    };

    std::string serialize(const Json& json)
    {
        return json.dump(-1, ' ', false, Json::error_handler_t::replace);
    }

    boost::leaf::error_id malformed(std::string detail)
    {
        return boost::leaf::new_error(Failure { Reason::MessageMalformed, std::move(detail) });
    }

    /// Parses a message and fills a value of type T from it by a call of `read(fields, value)`.
    template <typename T, typename Read> boost::leaf::result<T> decode(std::string_view text, Read&& read)
    {
        if (text.size() > maxEndpointMessageBytes)
            return malformed("message of " + std::to_string(text.size()) + " bytes exceeds the size limit");
        const auto json = Json::parse(text, nullptr, false);
        if (json.is_discarded())
            return malformed("message is not valid JSON");
        FieldReader fields(json);
        T value;
        if (!fields.error())
            read(fields, value);
        if (fields.error())
            return malformed("missing or invalid value: " + *fields.error());
        return value;
    }

    struct RequestWriter {
        Json& json_;

        void operator()(const HelloRequest& request) const
        {
            json_["op"] = "hello";
            json_["instance"] = request.instance_.value_;
        }

        void operator()(const RunRequest& request) const
        {
            json_["op"] = "run";
            json_["term"] = request.term_;
            json_["statements"] = request.statements_;
            json_["read_only"] = request.readOnly_;
            if (request.transaction_)
                json_["transaction"] = true;
            writeKey(request.key_);
            if (request.minPosition_ != LogPosition {}) {
                json_["min_log_term"] = request.minPosition_.term_;
                json_["min_log_index"] = request.minPosition_.index_;
            }
        }

        void operator()(const BeginRequest& request) const
        {
            json_["op"] = "begin";
            json_["term"] = request.term_;
        }

        void operator()(const CommitRequest& request) const
        {
            json_["op"] = "commit";
            json_["term"] = request.term_;
            writeKey(request.key_);
        }

        void operator()(const RollbackRequest& request) const
        {
            json_["op"] = "rollback";
            json_["term"] = request.term_;
        }

        void operator()(const LookupRequest& request) const
        {
            json_["op"] = "lookup";
            json_["key"] = request.key_;
        }

        void operator()(const WatchRequest& request) const
        {
            json_["op"] = "watch";
            json_["interval_ms"] = static_cast<std::uint64_t>(request.interval_.count());
        }

        void operator()(const ReportRequest&) const { json_["op"] = "report"; }

        void operator()(const FenceRequest& request) const
        {
            writePromotionOperation("fence", request.term_, request.promoter_);
        }

        void operator()(const PromoteRequest& request) const
        {
            writePromotionOperation("promote", request.term_, request.promoter_);
        }

        void operator()(const FollowRequest& request) const
        {
            writePromotionOperation("follow", request.term_, request.promoter_);
            json_["primary"] = { { "endpoint", request.primary_.value_ }, { "address", request.primaryAddress_ } };
        }

        void writeKey(const std::string& key) const
        {
            if (!key.empty())
                json_["key"] = key;
        }

        void writePromotionOperation(const char* op, Term term, const InstanceId& promoter) const
        {
            json_["op"] = op;
            json_["term"] = term;
            json_["promoter"] = promoter.value_;
        }
    };

    EndpointOperation readOperation(FieldReader& fields)
    {
        const auto op = fields.text("op");
        if (op == "hello")
            return HelloRequest { InstanceId(fields.text("instance")) };
        if (op == "run") {
            RunRequest request { fields.number("term"), fields.texts("statements"), fields.flag("read_only"),
                fields.flag("transaction", false), fields.text("key", false),
                fields.position("min_log_term", "min_log_index", false) };
            if (request.transaction_ && !request.key_.empty())
                fields.fail("key");
            return request;
        }
        if (op == "begin")
            return BeginRequest { fields.number("term") };
        if (op == "commit")
            return CommitRequest { fields.number("term"), fields.text("key", false) };
        if (op == "rollback")
            return RollbackRequest { fields.number("term") };
        if (op == "lookup")
            return LookupRequest { fields.text("key") };
        if (op == "watch") {
            // An hour is far above any useful report interval and keeps arithmetic on time points in range.
            const auto interval = fields.number("interval_ms");
            if (interval == 0 || interval > 3'600'000)
                fields.fail("interval_ms");
            return WatchRequest { std::chrono::milliseconds(interval) };
        }
        if (op == "report")
            return ReportRequest {};
        if (op == "fence")
            return FenceRequest { fields.number("term"), InstanceId(fields.text("promoter")) };
        if (op == "promote")
            return PromoteRequest { fields.number("term"), InstanceId(fields.text("promoter")) };
        if (op == "follow") {
            FollowRequest request { fields.number("term"), InstanceId(fields.text("promoter")), {}, {} };
            if (const auto* primary = fields.find("primary", true)) {
                FieldReader nested(*primary);
                request.primary_ = EndpointId(nested.error() ? std::string() : nested.text("endpoint"));
                request.primaryAddress_ = nested.error() ? std::string() : nested.text("address");
                if (nested.error())
                    fields.fail("primary");
            }
            return request;
        }
        fields.fail("op");
        return ReportRequest {};
    }

    struct ResponseWriter {
        Json& json_;

        void operator()(const HelloResponse& response) const
        {
            json_["result"] = "hello";
            json_["endpoint"] = response.endpoint_.value_;
            json_["connection"] = response.connection_;
        }

        void operator()(const DoneResponse& response) const
        {
            json_["result"] = "done";
            json_["answers"] = response.responses_;
            writePosition(response.position_);
            json_["repeated"] = response.repeated_;
        }

        void operator()(const NotRunResponse& response) const
        {
            json_["result"] = "not_run";
            json_["reason"] = endpointRefusalName(response.reason_);
            json_["promised_term"] = response.promisedTerm_;
            if (!response.detail_.empty())
                json_["detail"] = response.detail_;
        }

        void operator()(const PresentResponse& response) const
        {
            json_["result"] = "present";
            json_["answers"] = response.responses_;
            writePosition(response.position_);
        }

        void operator()(const AbsentResponse& response) const
        {
            json_["result"] = "absent";
            json_["promised_term"] = response.promisedTerm_;
            writePosition(response.position_);
        }

        void operator()(const EndpointReport& report) const
        {
            json_["result"] = "report";
            json_["endpoint"] = report.endpoint_.value_;
            json_["role"] = endpointRoleName(report.role_);
            json_["promised_term"] = report.promisedTerm_;
            writePosition(report.position_);
            json_["leaving"] = report.leaving_;
            if (!report.primary_.empty())
                json_["primary"] = report.primary_.value_;
        }

        void writePosition(const LogPosition& position) const
        {
            json_["log_term"] = position.term_;
            json_["log_index"] = position.index_;
        }
    };

    EndpointResult readResult(FieldReader& fields)
    {
        const auto result = fields.text("result");
        if (result == "hello")
            return HelloResponse { EndpointId(fields.text("endpoint")), fields.number("connection") };
        if (result == "done")
            return DoneResponse { fields.texts("answers"), fields.position("log_term", "log_index"),
                fields.flag("repeated") };
        if (result == "not_run")
            return NotRunResponse { refusalByName(fields.text("reason")), fields.number("promised_term"),
                fields.text("detail", false, maxEndpointMessageBytes) };
        if (result == "present")
            return PresentResponse { fields.texts("answers"), fields.position("log_term", "log_index") };
        if (result == "absent")
            return AbsentResponse { fields.number("promised_term"), fields.position("log_term", "log_index") };
        if (result == "report")
            return EndpointReport { EndpointId(fields.text("endpoint")), fields.role("role"),
                fields.number("promised_term"), fields.position("log_term", "log_index"), fields.flag("leaving"),
                EndpointId(fields.text("primary", false)) };
        fields.fail("result");
        return AbsentResponse {};
    }

} // namespace

std::string_view endpointRoleName(EndpointRole role)
{
    return role == EndpointRole::Primary ? "primary" : "replica";
}

std::string_view endpointRefusalName(EndpointRefusal refusal)
{
    return refusals[static_cast<std::size_t>(refusal)].name_;
}

Reason reasonOfRefusal(EndpointRefusal refusal)
{
    return refusals[static_cast<std::size_t>(refusal)].reason_;
}

std::string encodeEndpointRequest(const EndpointRequest& request)
{
    Json json = { { "exchange", request.exchange_ } };
    std::visit(RequestWriter { json }, request.operation_);
    return serialize(json);
}

std::string encodeEndpointResponse(const EndpointResponse& response)
{
    Json json = { { "exchange", response.exchange_ } };
    std::visit(ResponseWriter { json }, response.result_);
    return serialize(json);
}

std::string encodeEndpointAnnouncement(const EndpointAnnouncement& announcement)
{
    return serialize({
        { "endpoint", announcement.endpoint_.value_ },
        { "group", announcement.group_.value_ },
        { "address", announcement.address_ },
        { "data_centre", announcement.dataCentre_.value_ },
        { "slots", announcement.slots_ },
        { "connections", announcement.connections_ },
        { "role", endpointRoleName(announcement.role_) },
        { "promised_term", announcement.promisedTerm_ },
        { "leaving", announcement.leaving_ },
        { "started", announcement.started_ },
        { "sequence", announcement.sequence_ },
    });
}

boost::leaf::result<EndpointRequest> decodeEndpointRequest(std::string_view text)
{
    return decode<EndpointRequest>(text, [](FieldReader& fields, EndpointRequest& request) {
        request.exchange_ = fields.number("exchange");
        request.operation_ = readOperation(fields);
    });
}

boost::leaf::result<EndpointResponse> decodeEndpointResponse(std::string_view text)
{
    return decode<EndpointResponse>(text, [](FieldReader& fields, EndpointResponse& response) {
        response.exchange_ = fields.number("exchange");
        response.result_ = readResult(fields);
    });
}

boost::leaf::result<EndpointAnnouncement> decodeEndpointAnnouncement(std::string_view text)
{
    return decode<EndpointAnnouncement>(text, [](FieldReader& fields, EndpointAnnouncement& announcement) {
        announcement = { EndpointId(fields.text("endpoint")), GroupId(fields.text("group")), fields.text("address"),
            DataCentre(fields.text("data_centre")), fields.positiveUint32("slots"),
            fields.positiveUint32("connections"), fields.role("role"), fields.number("promised_term"),
            fields.flag("leaving"), fields.number("started"), fields.number("sequence") };
    });
}

} // namespace cassiahollow
