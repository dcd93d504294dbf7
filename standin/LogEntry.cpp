#include "LogEntry.h"

#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>

namespace cassiahollow::standin {

namespace {

    using Json = nlohmann::json;

    Json toJson(const LogEntry& entry)
    {
        Json json = { { "term", entry.position_.term_ }, { "index", entry.position_.index_ } };
        if (!entry.key_.empty())
            json["key"] = entry.key_;
        json["writes"] = entry.writes_;
        json["answers"] = entry.answers_;
        return json;
    }

    LogEntry toEntry(const Json& json)
    {
        return { { json.at("term").get<Term>(), json.at("index").get<std::uint64_t>() },
            json.value("key", std::string()), json.at("writes").get<std::vector<std::string>>(),
            json.at("answers").get<std::vector<std::string>>() };
    }

    LogPosition toPosition(const Json& json, const char* term, const char* index)
    {
        return { json.at(term).get<Term>(), json.at(index).get<std::uint64_t>() };
    }

    std::string write(const Json& json)
    {
        return json.dump(-1, ' ', false, Json::error_handler_t::replace);
    }

    template <typename Read>
    auto decode(std::string_view text, Read&& read) -> boost::leaf::result<decltype(read(Json()))>
    {
        try {
            return read(Json::parse(text));
        } catch (const Json::exception& error) {
            return boost::leaf::new_error(Failure { Reason::MessageMalformed, error.what() });
        }
    }

} // namespace

std::string encodePullRequest(const PullRequest& request)
{
    return write({ { "pull", request.term_ }, { "log_term", request.position_.term_ },
        { "log_index", request.position_.index_ } });
}

std::string encodePullAnswer(const PullAnswer& answer)
{
    auto entries = Json::array();
    for (const auto& entry : answer.entries_)
        entries.push_back(toJson(entry));
    return write({ { "term", answer.term_ }, { "match", answer.isMatch_ }, { "log_term", answer.position_.term_ },
        { "log_index", answer.position_.index_ }, { "last_term", answer.last_.term_ },
        { "last_index", answer.last_.index_ }, { "entries", std::move(entries) } });
}

std::string encodeJournalRecord(const JournalRecord& record)
{
    if (const auto* entry = std::get_if<LogEntry>(&record))
        return write({ { "entry", toJson(*entry) } });
    if (const auto* truncate = std::get_if<TruncateRecord>(&record))
        return write({ { "truncate", truncate->index_ } });
    const auto& role = std::get<RoleRecord>(record);
    return write({ { "promised_term", role.promisedTerm_ }, { "promoter", role.promoter_.value_ },
        { "is_primary", role.isPrimary_ }, { "primary", role.primary_.value_ },
        { "primary_address", role.primaryAddress_ } });
}

boost::leaf::result<PullRequest> decodePullRequest(std::string_view text)
{
    return decode(text, [](const Json& json) {
        return PullRequest { json.at("pull").get<Term>(), toPosition(json, "log_term", "log_index") };
    });
}

boost::leaf::result<PullAnswer> decodePullAnswer(std::string_view text)
{
    return decode(text, [](const Json& json) {
        PullAnswer answer { json.at("term").get<Term>(), json.at("match").get<bool>(),
            toPosition(json, "log_term", "log_index"), toPosition(json, "last_term", "last_index"), {} };
        for (const auto& entry : json.at("entries"))
            answer.entries_.push_back(toEntry(entry));
        return answer;
    });
}

boost::leaf::result<JournalRecord> decodeJournalRecord(std::string_view text)
{
    return decode(text, [](const Json& json) -> JournalRecord {
        if (json.contains("entry"))
            return toEntry(json.at("entry"));
        if (json.contains("truncate"))
            return TruncateRecord { json.at("truncate").get<std::uint64_t>() };
        return RoleRecord { json.at("promised_term").get<Term>(), InstanceId(json.at("promoter").get<std::string>()),
            json.at("is_primary").get<bool>(), EndpointId(json.at("primary").get<std::string>()),
            json.at("primary_address").get<std::string>() };
    });
}

} // namespace cassiahollow::standin
