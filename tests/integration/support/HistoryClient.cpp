#include "HistoryClient.h"

#include "Clients.h"
#include "Waiting.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace cassiahollow::testing {

namespace {

    using nlohmann::json;

    // An answer has to come before the deadline of the request; the rest is for a busy machine.
    constexpr std::chrono::seconds answerMargin { 3 };
    // Longer than an instance needs on a busy machine; a frozen one is left out after this.
    constexpr std::chrono::milliseconds readinessLimit { 1000 };
    // With the pauses between them, enough for a failover and the restart of an instance.
    constexpr std::size_t maxResends = 40;

    std::vector<std::string> entriesOf(const std::string& content)
    {
        std::vector<std::string> entries;
        std::istringstream stream(content);
        for (std::string entry; std::getline(stream, entry, ';');)
            entries.push_back(entry);
        return entries;
    }

} // namespace

HistoryClient::HistoryClient(Options options)
    : options_(std::move(options))
    , sessions_(options_.callers_)
{
    for (std::size_t caller = 0; caller < options_.callers_; ++caller)
        threads_.emplace_back([this, caller] { run(caller); });
}

HistoryClient::~HistoryClient()
{
    stop();
}

void HistoryClient::stop()
{
    isEnding_ = true;
    for (auto& thread : threads_) {
        if (thread.joinable())
            thread.join();
    }
}

bool HistoryClient::waitForWrites(std::size_t count) const
{
    const auto target = done_ + count;
    return waitUntil([&] { return done_ >= target; });
}

std::vector<HistoryClient::Write> HistoryClient::writes() const
{
    const std::lock_guard lock(mutex_);
    return writes_;
}

void HistoryClient::violation(std::string text)
{
    const std::lock_guard lock(mutex_);
    violations_.push_back(std::move(text));
}

void HistoryClient::run(std::size_t caller)
{
    std::string session;
    std::size_t instance = caller;
    std::vector<std::string> acknowledged;
    for (std::size_t number = 0; !isEnding_; ++number) {
        const auto result = write(caller, number, instance, session);
        if (result.told_ == Told::Done) {
            ++done_;
            acknowledged.push_back(result.id_);
            read(result.list_, acknowledged, instance, session);
        }
        const std::lock_guard lock(mutex_);
        writes_.push_back(result);
        sessions_[caller] = session;
    }
}

const std::string& HistoryClient::target(std::size_t& instance) const
{
    if (!options_.readiness_.empty()) {
        waitUntil([&] {
            const auto ready
                = httpGet(options_.readiness_[instance % options_.readiness_.size()], "/v1/ready", {}, readinessLimit);
            if (ready && ready->status_ == 200)
                return true;
            ++instance;
            return false;
        });
    }
    return options_.addresses_[instance % options_.addresses_.size()];
}

HistoryClient::Write HistoryClient::write(
    std::size_t caller, std::size_t number, std::size_t& instance, std::string& session)
{
    Write result;
    result.list_ = options_.listPrefix_ + std::to_string(caller);
    result.id_ = "c" + std::to_string(caller) + "-" + std::to_string(number);
    result.key_ = result.list_ + "." + result.id_;
    const json body { { "class", "write" }, { "statements", { "APPEND " + result.list_ + " " + result.id_ + ";" } },
        { "key", result.key_ }, { "session", session }, { "deadline_ms", options_.deadline_.count() } };
    bool mayHaveRun = false;
    for (std::size_t attempt = 0; attempt < maxResends; ++attempt) {
        const auto& address = target(instance);
        const auto outcome
            = httpPost(address, "/v1/services/" + options_.service_, body, {}, options_.deadline_ + answerMargin);
        const auto told = outcome ? outcome->json_.value("outcome", "") : std::string();
        if (told == "done") {
            session = outcome->json_.at("session").get<std::string>();
            result.told_ = Told::Done;
            result.answer_ = outcome->json_.at("answers").dump();
            return result;
        }
        if (told == "not_run") {
            const std::lock_guard lock(mutex_);
            ++refusals_[outcome->json_.value("reason", "")];
        } else if (outcome) {
            ++unknownAnswers_;
            const std::lock_guard lock(mutex_);
            ++refusals_["unknown " + outcome->json_.value("reason", "") + " through " + address];
        } else {
            ++lostAnswers_;
        }
        if (told == "not_run" && !mayHaveRun) {
            result.told_ = Told::NotRun;
            ++instance;
            return result;
        }
        mayHaveRun = mayHaveRun || told != "not_run";
        ++instance;
        // An instance that is down refuses connections at once; without a pause all attempts would be spent on it.
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return result;
}

void HistoryClient::read(const std::string& list, const std::vector<std::string>& acknowledged, std::size_t& instance,
    const std::string& session)
{
    const json body { { "class", "read" }, { "statements", { "GET " + list } }, { "read_only", true },
        { "session", session }, { "deadline_ms", options_.deadline_.count() } };
    const auto& address = target(++instance);
    const auto outcome
        = httpPost(address, "/v1/services/" + options_.service_, body, {}, options_.deadline_ + answerMargin);
    if (!outcome) {
        ++lostAnswers_;
        return;
    }
    if (outcome->json_.value("outcome", "") != "done") {
        const std::lock_guard lock(mutex_);
        ++refusals_["read " + outcome->json_.value("reason", "")];
        return;
    }
    ++reads_;
    for (auto& text : compare(outcome->json_.at("answers").at(0).get<std::string>(), list, acknowledged))
        violation("read through " + address + ": " + text);
}

std::vector<std::string> HistoryClient::compare(
    const std::string& content, const std::string& list, const std::vector<std::string>& acknowledged) const
{
    std::vector<std::string> problems;
    const auto entries = entriesOf(content);
    std::set<std::string> seen;
    for (const auto& entry : entries) {
        if (!seen.insert(entry).second)
            problems.push_back(list + " has " + entry + " twice");
    }
    // The acknowledged entries have to be a subsequence; others may lie between them.
    std::size_t next = 0;
    for (const auto& entry : entries) {
        if (next < acknowledged.size() && entry == acknowledged[next])
            ++next;
    }
    if (next < acknowledged.size())
        problems.push_back(list + " lacks the acknowledged write " + acknowledged[next]
            + (seen.count(acknowledged[next]) ? " at its place" : ""));
    return problems;
}

std::vector<std::string> HistoryClient::check(std::size_t resends)
{
    const auto all = writes();
    std::map<std::string, std::vector<std::string>> acknowledged;
    std::map<std::string, std::map<std::string, Told>> known;
    for (const auto& entry : all) {
        known[entry.list_][entry.id_] = entry.told_;
        if (entry.told_ == Told::Done)
            acknowledged[entry.list_].push_back(entry.id_);
    }
    // Resends come first: one that runs a write a second time is then seen in the lists.
    std::vector<Write> repeated;
    std::copy_if(all.rbegin(), all.rend(), std::back_inserter(repeated),
        [](const auto& entry) { return entry.told_ == Told::Done; });
    if (repeated.size() > resends) {
        // Evenly over the whole history, so that writes before and after each fault are among them.
        std::vector<Write> chosen;
        for (std::size_t i = 0; i < resends; ++i)
            chosen.push_back(repeated[i * repeated.size() / resends]);
        repeated = std::move(chosen);
    }
    for (const auto& entry : repeated) {
        for (const auto& address : options_.addresses_) {
            const json body { { "class", "write" },
                { "statements", { "APPEND " + entry.list_ + " " + entry.id_ + ";" } }, { "key", entry.key_ },
                { "deadline_ms", options_.deadline_.count() } };
            std::optional<HttpAnswer> outcome;
            const bool isDone = waitUntil([&] {
                outcome = httpPost(address, "/v1/services/" + options_.service_, body);
                return outcome && outcome->json_.value("outcome", "") == "done";
            });
            if (!isDone)
                violation("resend of " + entry.key_ + " through " + address
                    + " is not answered as done: " + (outcome ? outcome->body_ : "no answer"));
            else if (outcome->json_.at("answers").dump() != entry.answer_)
                violation("resend of " + entry.key_ + " through " + address + " gives "
                    + outcome->json_.at("answers").dump() + " instead of " + entry.answer_);
        }
    }
    for (const auto& [list, ids] : known) {
        const auto caller = std::stoul(list.substr(options_.listPrefix_.size()));
        for (const auto& address : options_.addresses_) {
            const json body { { "class", "read" }, { "statements", { "GET " + list } }, { "read_only", true },
                { "session", sessions_[caller] }, { "deadline_ms", options_.deadline_.count() } };
            std::optional<HttpAnswer> outcome;
            const bool isDone = waitUntil([&] {
                outcome = httpPost(address, "/v1/services/" + options_.service_, body);
                return outcome && outcome->json_.value("outcome", "") == "done";
            });
            if (!isDone) {
                violation(
                    list + " cannot be read through " + address + ": " + (outcome ? outcome->body_ : "no answer"));
                continue;
            }
            const auto content = outcome->json_.at("answers").at(0).get<std::string>();
            for (auto& text : compare(content, list, acknowledged[list]))
                violation("at the end, through " + address + ": " + text);
            for (const auto& id : entriesOf(content)) {
                const auto found = ids.find(id);
                if (found == ids.end())
                    violation("at the end, " + list + " has " + id + ", which nobody wrote");
                else if (found->second == Told::NotRun)
                    violation("at the end, " + list + " has " + id + ", which was answered as not run");
            }
        }
    }
    const std::lock_guard lock(mutex_);
    return violations_;
}

std::string HistoryClient::summary() const
{
    std::ostringstream text;
    const std::lock_guard lock(mutex_);
    text << "writes done " << done_ << ", reads " << reads_ << ", unknown answers " << unknownAnswers_
         << ", lost answers " << lostAnswers_;
    for (const auto& [reason, count] : refusals_)
        text << ", " << reason << ' ' << count;
    return text.str();
}

} // namespace cassiahollow::testing
