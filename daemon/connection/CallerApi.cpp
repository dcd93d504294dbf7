#include "connection/CallerApi.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cassiahollow {

namespace {

    using nlohmann::json;

    constexpr std::string_view servicePrefix = "/v1/services/";
    constexpr std::size_t maxKeyCharacters = 128;
    constexpr std::size_t maxStatements = 1000;
    // Of a request under way, besides its text: its state in the router and in the queue of its endpoint.
    constexpr std::size_t requestBytes = 4 << 10;
    constexpr std::int64_t maxMilliseconds = 24LL * 3600 * 1000;

    int httpStatus(const CallerAnswer& answer)
    {
        if (answer.outcome_ == Outcome::Done)
            return 200;
        if (answer.outcome_ == Outcome::Unknown)
            return 504;
        switch (answer.reason_.value_or(Reason::Count)) {
        case Reason::MalformedRequest:
        case Reason::StatementFailed:
        case Reason::KeyRequired:
        case Reason::TransactionUnknown:
            return 400;
        case Reason::SessionTokenInvalid:
            return 403;
        case Reason::UnknownService:
        case Reason::UnknownClass:
            return 404;
        case Reason::QueueFull:
        case Reason::TooManyConnections:
            return 429;
        default:
            return 503;
        }
    }

    json answerJson(const CallerAnswer& answer)
    {
        json object { { "outcome", outcomeName(answer.outcome_) } };
        if (answer.outcome_ == Outcome::Done) {
            json answers = json::array();
            for (const auto& text : answer.answers_) {
                json value = json::parse(text, nullptr, false);
                answers.push_back(value.is_discarded() ? json(text) : std::move(value));
            }
            object["answers"] = std::move(answers);
        } else if (answer.reason_) {
            const auto& info = reasonInfo(*answer.reason_);
            object["reason"] = info.name_;
            object["remedy"] = info.remedy_;
            if (!answer.detail_.empty())
                object["detail"] = answer.detail_;
        }
        if (!answer.session_.empty())
            object["session"] = answer.session_;
        if (!answer.key_.empty())
            object["key"] = answer.key_;
        return object;
    }

    std::string text(const json& object)
    {
        return object.dump(-1, ' ', false, json::error_handler_t::replace);
    }

    bool readText(const json& object, const char* name, std::string& value)
    {
        const auto found = object.find(name);
        if (found == object.end() || found->is_null())
            return true;
        if (!found->is_string())
            return false;
        value = found->get<std::string>();
        return true;
    }

    bool readMilliseconds(const json& object, const char* name, std::optional<std::chrono::milliseconds>& value)
    {
        const auto found = object.find(name);
        if (found == object.end() || found->is_null())
            return true;
        if (!found->is_number_integer())
            return false;
        const auto count = found->get<std::int64_t>();
        if (count < 0 || count > maxMilliseconds)
            return false;
        value = std::chrono::milliseconds(count);
        return true;
    }

    bool readStatements(const json& object, std::vector<std::string>& statements)
    {
        const auto found = object.find("statements");
        if (found == object.end())
            return true;
        if (!found->is_array() || found->size() > maxStatements)
            return false;
        for (const auto& statement : *found) {
            if (!statement.is_string())
                return false;
            statements.push_back(statement.get<std::string>());
        }
        return true;
    }

    /// Reads what HTTP and WebSocket requests have in common. Returns the name of the first field that is wrong, or
    /// an empty text.
    std::string readRequest(const json& object, CallerRequest& request)
    {
        if (!object.is_object())
            return "the body is not a JSON object";
        if (!readText(object, "class", request.class_.value_))
            return "class has to be a text";
        if (!readStatements(object, request.statements_))
            return "statements has to be a list of at most 1000 texts";
        if (!readText(object, "key", request.key_) || request.key_.size() > maxKeyCharacters)
            return "key has to be a text of at most 128 characters";
        if (!readText(object, "session", request.session_))
            return "session has to be a text";
        if (!readMilliseconds(object, "max_age_ms", request.maxAge_))
            return "max_age_ms has to be a number of milliseconds";
        if (!readMilliseconds(object, "deadline_ms", request.deadline_))
            return "deadline_ms has to be a number of milliseconds";
        const auto readOnly = object.find("read_only");
        if (readOnly != object.end() && !readOnly->is_boolean())
            return "read_only has to be true or false";
        request.readOnly_ = readOnly != object.end() && readOnly->get<bool>();
        return {};
    }

    CallerAnswer refusal(Reason reason, std::string detail)
    {
        CallerAnswer answer;
        answer.outcome_ = Outcome::NotRun;
        answer.reason_ = reason;
        answer.detail_ = std::move(detail);
        return answer;
    }

    HttpReply httpReply(const CallerAnswer& answer)
    {
        HttpReply reply { httpStatus(answer), text(answerJson(answer)) + "\n" };
        if (!answer.session_.empty())
            reply.headers_.push_back({ "cassiahollow-session:", answer.session_ });
        return reply;
    }

} // namespace

CallerApi::CallerApi(ServeContext& context, RequestRouter& router)
    : context_(context)
    , router_(router)
    , lastCaller_(context.incarnation_ << 20) // Never repeats a number of an earlier process of this instance.
{
    HttpListenerOptions options;
    options.name_ = "callers";
    options.address_ = context_.settings_.listen_.callers_;
    options.maxConnections_ = context_.settings_.limits_.maxCallers_;
    options.maxRequestBytes_ = context_.settings_.limits_.maxRequestBytes_;
    options.receiveTimeout_
        = std::chrono::duration_cast<std::chrono::seconds>(context_.settings_.limits_.receiveTimeout_);
    HttpHandlers handlers;
    handlers.request_ = [this](const HttpConnectionPtr& connection, HttpRequest request) {
        receiveRequest(connection, std::move(request));
    };
    handlers.streamOpened_
        = [this](const HttpConnectionPtr& connection) { streams_[connection.get()] = { ++lastCaller_ }; };
    handlers.streamMessage_ = [this](const HttpConnectionPtr& connection, const std::string& message) {
        receiveMessage(connection, message);
    };
    handlers.closed_ = [this](const HttpConnectionPtr& connection) { connectionClosed(connection); };
    handlers.count_ = [this](Reason reason) { context_.metrics_.count(reason); };
    listener_ = std::make_unique<HttpListener>(context_.loop_, std::move(options), std::move(handlers));
}

boost::leaf::result<void> CallerApi::start()
{
    return listener_->start();
}

void CallerApi::stopAccepting()
{
    stopping_ = true;
    listener_->stopAccepting();
    listener_->forEachStream([this](const HttpConnectionPtr& connection) {
        connection->sendText("{\"event\":\"reconnect\"}");
        const auto stream = streams_.find(connection.get());
        if (stream != streams_.end() && stream->second.transactions_.empty())
            connection->closeWhenSent();
    });
}

void CallerApi::receiveRequest(const HttpConnectionPtr& connection, HttpRequest http)
{
    const auto refuse = [&](Reason reason, std::string detail) {
        context_.metrics_.count(reason);
        connection->reply(httpReply(refusal(reason, std::move(detail))));
    };
    if (http.path_.compare(0, servicePrefix.size(), servicePrefix) != 0) {
        connection->reply({ 404,
            "{\"outcome\":\"not_run\",\"reason\":\"malformed_request\",\"remedy\":\"POST to /v1/services/NAME\"}\n" });
        return;
    }
    if (stopping_) {
        refuse(Reason::ShuttingDown, {});
        return;
    }
    const auto held = holdMemory(http.body_.size());
    if (!held) {
        refuse(Reason::MemoryFull, {});
        return;
    }
    CallerRequest request;
    request.service_ = ServiceId(http.path_.substr(servicePrefix.size()));
    const std::string wrong = http.method_ == "POST" ? readRequest(json::parse(http.body_, nullptr, false), request)
                                                     : "use the method POST";
    if (!wrong.empty()) {
        refuse(Reason::MalformedRequest, wrong);
        return;
    }
    if (request.session_.empty())
        request.session_ = http.session_;
    router_.handle(
        std::move(request), [connection, held](const CallerAnswer& answer) { connection->reply(httpReply(answer)); });
}

// Counts what a request needs until it has its answer; null if there is no room.
std::shared_ptr<HeldMemory> CallerApi::holdMemory(std::size_t bytes)
{
    auto held = std::make_shared<HeldMemory>();
    auto& memory = context_.loop_.memory();
    return !memory.isLimited() || held->take(memory, requestBytes + copiesOfStatement * bytes) ? held : nullptr;
}

void CallerApi::answerStream(const HttpConnectionPtr& connection, const json& id, const CallerAnswer& answer)
{
    json object = answerJson(answer);
    object["id"] = id;
    connection->sendText(text(object));
}

CallerApi::Stream* CallerApi::findStream(std::uint64_t caller)
{
    for (auto& [connection, stream] : streams_) {
        if (stream.caller_ == caller)
            return &stream;
    }
    return nullptr;
}

void CallerApi::transactionEnded(std::uint64_t caller, const std::string& transaction)
{
    if (Stream* stream = findStream(caller))
        stream->transactions_.erase(transaction);
}

bool CallerApi::isBusy() const
{
    const bool inTransaction = std::any_of(
        streams_.begin(), streams_.end(), [](const auto& entry) { return !entry.second.transactions_.empty(); });
    return router_.openRequests() > 0 || inTransaction;
}

void CallerApi::receiveMessage(const HttpConnectionPtr& connection, const std::string& message)
{
    const auto stream = streams_.find(connection.get());
    if (stream == streams_.end())
        return;
    const json object = json::parse(message, nullptr, false);
    CallerRequest request;
    const std::string wrong = readRequest(object, request);
    const json id = object.is_object() && object.contains("id") ? object["id"] : json();
    if (!wrong.empty()) {
        context_.metrics_.count(Reason::MalformedRequest);
        answerStream(connection, id, refusal(Reason::MalformedRequest, wrong));
        return;
    }
    const auto held = holdMemory(message.size());
    if (!held) {
        context_.metrics_.count(Reason::MemoryFull);
        answerStream(connection, id, refusal(Reason::MemoryFull, {}));
        return;
    }
    receiveStep(connection, stream->second, object, held);
}

void CallerApi::receiveStep(
    const HttpConnectionPtr& connection, Stream& stream, const json& object, const std::shared_ptr<HeldMemory>& held)
{
    const json id = object.contains("id") ? object["id"] : json();
    CallerRequest request;
    readRequest(object, request);
    std::string operation = "run";
    std::string transaction;
    if (!readText(object, "op", operation) || !readText(object, "service", request.service_.value_)
        || !readText(object, "transaction", transaction)) {
        context_.metrics_.count(Reason::MalformedRequest);
        answerStream(connection, id, refusal(Reason::MalformedRequest, "op, service and transaction have to be texts"));
        return;
    }
    const std::uint64_t caller = stream.caller_;
    const AnswerHandler answer
        = [this, connection, id, held](const CallerAnswer& result) { answerStream(connection, id, result); };
    const AnswerHandler lastAnswer = [this, connection, id, caller, transaction, held](const CallerAnswer& result) {
        transactionEnded(caller, transaction);
        answerStream(connection, id, result);
    };
    if (operation == "run" && transaction.empty() && stopping_) {
        context_.metrics_.count(Reason::ShuttingDown);
        answerStream(connection, id, refusal(Reason::ShuttingDown, {}));
    } else if (operation == "run" && transaction.empty()) {
        router_.handle(std::move(request), answer);
    } else if (operation == "run") {
        router_.runInTransaction(caller, transaction, std::move(request.statements_),
            [this, connection, id, caller, transaction, held](const CallerAnswer& result) {
                if (result.reason_ == Reason::TransactionAborted)
                    transactionEnded(caller, transaction);
                answerStream(connection, id, result);
            });
    } else if (operation == "begin" && !stopping_) {
        router_.begin(caller, std::move(request), [this, connection, id, caller, held](const CallerAnswer& result) {
            if (Stream* owner = findStream(caller); owner && result.outcome_ == Outcome::Done)
                owner->transactions_.insert(result.key_);
            answerStream(connection, id, result);
        });
    } else if (operation == "commit") {
        router_.commit(caller, transaction, std::move(request), lastAnswer);
    } else if (operation == "rollback") {
        router_.rollback(caller, transaction, lastAnswer);
    } else {
        const Reason reason = operation == "begin" ? Reason::ShuttingDown : Reason::MalformedRequest;
        context_.metrics_.count(reason);
        answerStream(connection, id, refusal(reason, "op is begin, run, commit or rollback"));
    }
}

void CallerApi::connectionClosed(const HttpConnectionPtr& connection)
{
    const auto stream = streams_.find(connection.get());
    if (stream == streams_.end())
        return;
    const std::uint64_t caller = stream->second.caller_;
    streams_.erase(stream);
    router_.endCaller(caller);
}

} // namespace cassiahollow
