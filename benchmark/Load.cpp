// Open-loop load on the caller interface: requests start at random times of a given rate, however slow the answers are.
// Each session appends unique ids to keys of its own and reads them back, so that every answer can be checked.

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

DEFINE_string(config, "", "YAML file; benchmark/load-example.yaml describes the fields");
DEFINE_uint32(final_read_s, 60, "limit of all final reads of a target set, in s; keys unread by then are a failure");
DEFINE_string(svg, "load.svg", "file for the plot of answers over time");

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::duration<double, std::milli>;
using Json = nlohmann::json;

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);
/// Ids on one key, so that the values that reads return stay small.
constexpr std::size_t maxIdsPerKey = 50;
/// Width of a step of the plot.
constexpr std::chrono::milliseconds plotStep { 100 };
/// Time that an answer may take beyond the request's deadline before the connection is given up.
constexpr std::chrono::milliseconds answerMargin { 2'000 };
constexpr std::size_t finalReaders = 32;

struct ClassSettings {
    std::string name_;
    std::string service_;
    double rate_ { 0 }; ///< Requests per second.
    double readShare_ { 0 };
    double weight_ { 1 };
    std::vector<std::string> writes_; ///< Must append "{id};" to {key}.
    std::vector<std::string> reads_; ///< The answer to one of them must be the value of {key}.
    std::chrono::milliseconds deadline_ { 0 };
    std::optional<std::uint64_t> maxAge_; ///< Milliseconds.
};

struct TargetSet {
    std::string name_;
    std::vector<std::string> addresses_; ///< "ip:port" of caller listeners.
};

struct LoadSettings {
    std::uint64_t seed_ { 1 };
    std::chrono::milliseconds duration_ { 0 };
    std::size_t moveEvery_ { 10 }; ///< Requests after which a session moves to the next instance; 0 for never.
    std::vector<TargetSet> targets_;
    std::vector<ClassSettings> classes_;
};

enum class Result : std::uint8_t {
    Done,
    NotRun,
    Unknown,
};

/// A key of a session with all ids that the session tried to append.
struct KeyRecord {
    std::string key_;
    std::map<std::string, Result> ids_;
};

struct Session {
    std::size_t class_ { 0 };
    std::string token_;
    std::size_t address_ { 0 };
    std::size_t requests_ { 0 };
    std::vector<KeyRecord> keys_;
};

struct ClassCounts {
    std::size_t sent_ { 0 };
    std::size_t done_ { 0 };
    std::size_t unknown_ { 0 };
    std::size_t resent_ { 0 };
    std::map<std::string, std::size_t> notRun_; ///< By reason.
    std::vector<double> latencies_; ///< Milliseconds from the planned start to the answer, of requests done.
    std::vector<std::size_t> doneByStep_; ///< For the plot.
    Clock::time_point lastDone_;
    Clock::duration longestGap_ { 0 }; ///< Longest time without a request done.
};

struct Violations {
    std::size_t lostWrites_ { 0 }; ///< A session did not read its own write.
    std::size_t repeatedWrites_ { 0 };
    std::size_t falseRefusals_ { 0 }; ///< A write that was refused as not run is there.
    std::size_t unreadKeys_ { 0 }; ///< Keys without a final read.
};

struct Reply {
    bool isSent_ { false }; ///< Bytes may have reached the instance.
    Json json_; ///< Discarded value if there is no whole answer.
};

/// One run against one target set.
struct Run {
    const LoadSettings& settings_;
    const TargetSet& target_;
    asio::io_context& context_;
    std::mt19937_64 random_;
    Clock::time_point start_;
    std::vector<std::deque<std::unique_ptr<beast::tcp_stream>>> idle_; ///< Open connections by address.
    std::vector<std::unique_ptr<Session>> sessions_;
    std::vector<std::vector<Session*>> freeSessions_; ///< By class.
    std::vector<ClassCounts> counts_;
    Violations violations_;
    std::size_t inFlight_ { 0 };
    std::uint64_t lastId_ { 0 };
    std::string prefix_; ///< Makes keys and ids unique over runs against the same databases.
};

std::vector<std::string> readTexts(const YAML::Node& node, std::vector<std::string> fallback)
{
    return node ? node.as<std::vector<std::string>>() : fallback;
}

LoadSettings readSettings(const std::string& file)
{
    const auto root = YAML::LoadFile(file);
    LoadSettings settings;
    settings.seed_ = root["seed"].as<std::uint64_t>(1);
    settings.duration_ = std::chrono::milliseconds(static_cast<std::int64_t>(root["duration_s"].as<double>() * 1000));
    settings.moveEvery_ = root["move_every"].as<std::size_t>(10);
    for (const auto& node : root["targets"])
        settings.targets_.push_back(
            { node["name"].as<std::string>(), node["addresses"].as<std::vector<std::string>>() });
    for (const auto& node : root["classes"]) {
        ClassSettings item;
        item.name_ = node["name"].as<std::string>();
        item.service_ = node["service"].as<std::string>();
        item.rate_ = node["rate"].as<double>();
        item.readShare_ = node["read_share"].as<double>(0);
        item.weight_ = node["weight"].as<double>(1);
        item.writes_ = readTexts(node["writes"], { "APPEND {key} {id};" });
        item.reads_ = readTexts(node["reads"], { "GET {key}" });
        item.deadline_ = std::chrono::milliseconds(node["deadline_ms"].as<int>(1000));
        if (node["max_age_ms"])
            item.maxAge_ = node["max_age_ms"].as<std::uint64_t>();
        settings.classes_.push_back(std::move(item));
    }
    for (const auto& target : settings.targets_) {
        if (target.addresses_.empty())
            throw YAML::Exception(YAML::Mark::null_mark(), "target set " + target.name_ + " has no addresses");
    }
    return settings;
}

std::string fillTemplate(std::string text, const std::string& key, const std::string& id)
{
    const auto replace = [&](std::string_view name, const std::string& value) {
        for (auto place = text.find(name); place != std::string::npos; place = text.find(name, place + value.size()))
            text.replace(place, name.size(), value);
    };
    replace("{key}", key);
    replace("{id}", id);
    return text;
}

tcp::endpoint parseAddress(const std::string& address)
{
    const auto colon = address.rfind(':');
    return { asio::ip::make_address(address.substr(0, colon)),
        static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))) };
}

/// Sends one request to an instance, on an idle connection if there is one.
asio::awaitable<Reply> post(
    Run& run, std::size_t address, std::string service, std::string body, std::chrono::milliseconds limit)
{
    Reply reply { false, Json(Json::value_t::discarded) };
    std::unique_ptr<beast::tcp_stream> stream;
    if (run.idle_[address].empty()) {
        stream = std::make_unique<beast::tcp_stream>(run.context_);
        stream->expires_after(limit);
        const auto target = parseAddress(run.target_.addresses_[address]);
        const auto [error] = co_await stream->async_connect(target, awaitTuple);
        if (error)
            co_return reply;
        stream->socket().set_option(tcp::no_delay(true));
    } else {
        stream = std::move(run.idle_[address].back());
        run.idle_[address].pop_back();
        stream->expires_after(limit);
    }
    http::request<http::string_body> request { http::verb::post, "/v1/services/" + service, 11, std::move(body) };
    request.set(http::field::host, run.target_.addresses_[address]);
    request.set(http::field::content_type, "application/json");
    request.prepare_payload();
    reply.isSent_ = true;
    const auto [writeError, written] = co_await http::async_write(*stream, request, awaitTuple);
    if (writeError)
        co_return reply;
    beast::flat_buffer buffer;
    http::response<http::string_body> answer;
    const auto [readError, received] = co_await http::async_read(*stream, buffer, answer, awaitTuple);
    if (readError)
        co_return reply;
    reply.json_ = Json::parse(answer.body(), nullptr, false);
    if (answer.keep_alive()) {
        stream->expires_never();
        run.idle_[address].push_back(std::move(stream));
    }
    co_return reply;
}

std::string textOf(const Json& json, const char* name)
{
    if (!json.is_object() || !json.contains(name) || !json[name].is_string())
        return {};
    return json[name].get<std::string>();
}

/// The value that a read returned: all answers one after the other.
std::string contentOf(const Json& json)
{
    std::string content;
    if (json.is_object() && json.contains("answers") && json["answers"].is_array()) {
        for (const auto& answer : json["answers"]) {
            if (answer.is_string())
                content += answer.get<std::string>();
        }
    }
    return content;
}

std::size_t occurrences(const std::string& content, const std::string& id)
{
    std::size_t count = 0;
    const auto text = id + ';';
    for (auto place = content.find(text); place != std::string::npos; place = content.find(text, place + text.size()))
        ++count;
    return count;
}

/// Checks a read of a key against everything that its session was told.
void checkContent(Run& run, const KeyRecord& record, const std::string& content)
{
    for (const auto& [id, result] : record.ids_) {
        const auto count = occurrences(content, id);
        auto* violated = count > 1                   ? &run.violations_.repeatedWrites_
            : count == 0 && result == Result::Done   ? &run.violations_.lostWrites_
            : count == 1 && result == Result::NotRun ? &run.violations_.falseRefusals_
                                                     : nullptr;
        if (violated == nullptr)
            continue;
        if (++*violated <= 5)
            std::cerr << "violation: key " << record.key_ << " id " << id << " occurs " << count << " times, told "
                      << (result == Result::Done            ? "done"
                                 : result == Result::NotRun ? "not_run"
                                                            : "unknown")
                      << '\n';
    }
}

std::string requestBody(const ClassSettings& settings, const Session& session, bool isRead, const std::string& key,
    const std::string& id, std::chrono::milliseconds deadline)
{
    Json body = { { "class", settings.name_ }, { "deadline_ms", deadline.count() } };
    for (const auto& text : isRead ? settings.reads_ : settings.writes_)
        body["statements"].push_back(fillTemplate(text, key, id));
    if (!session.token_.empty())
        body["session"] = session.token_;
    if (isRead && settings.maxAge_)
        body["max_age_ms"] = *settings.maxAge_;
    if (isRead)
        body["read_only"] = true;
    else
        body["key"] = id;
    return body.dump();
}

struct Attempted {
    Result result_ { Result::NotRun };
    std::string reason_;
    std::string content_;
};

/// Runs one request to its end. An unknown outcome is resent with its key through the next instance, as callers do,
/// until the deadline has passed.
asio::awaitable<Attempted> attempt(
    Run& run, Session& session, bool isRead, std::string key, std::string id, Clock::time_point end)
{
    const auto& settings = run.settings_.classes_[session.class_];
    Attempted attempted { Result::NotRun, "not_connected", {} };
    bool mayHaveRun = false;
    for (std::size_t tries = 0;; ++tries) {
        const auto rest = std::chrono::ceil<std::chrono::milliseconds>(end - Clock::now());
        if (tries > 0 && rest.count() <= 0)
            break;
        if (tries > 0) {
            ++run.counts_[session.class_].resent_;
            session.address_ = (session.address_ + 1) % run.target_.addresses_.size();
            // A pause, so that refused connections are not tried in a tight loop.
            asio::steady_timer pause(run.context_, std::chrono::milliseconds(5));
            co_await pause.async_wait(awaitTuple);
        }
        const auto deadline = std::max(rest, std::chrono::milliseconds(1));
        const auto reply = co_await post(run, session.address_, settings.service_,
            requestBody(settings, session, isRead, key, id, deadline), deadline + answerMargin);
        const auto outcome = textOf(reply.json_, "outcome");
        if (outcome == "done") {
            session.token_ = textOf(reply.json_, "session");
            attempted = { Result::Done, {}, contentOf(reply.json_) };
            co_return attempted;
        }
        if (outcome == "not_run") {
            attempted.reason_ = textOf(reply.json_, "reason");
            break;
        }
        mayHaveRun = mayHaveRun || reply.isSent_;
    }
    // A refusal of a resend says nothing about the attempts before it.
    attempted.result_ = mayHaveRun ? Result::Unknown : Result::NotRun;
    co_return attempted;
}

void countResult(Run& run, std::size_t classIndex, const Attempted& attempted, Clock::time_point planned)
{
    auto& counts = run.counts_[classIndex];
    const auto now = Clock::now();
    if (attempted.result_ == Result::Unknown) {
        ++counts.unknown_;
    } else if (attempted.result_ == Result::NotRun) {
        ++counts.notRun_[attempted.reason_];
    } else {
        ++counts.done_;
        counts.latencies_.push_back(Milliseconds(now - planned).count());
        counts.longestGap_ = std::max(counts.longestGap_, now - counts.lastDone_);
        counts.lastDone_ = now;
        const auto step = static_cast<std::size_t>((now - run.start_) / plotStep);
        if (counts.doneByStep_.size() <= step)
            counts.doneByStep_.resize(step + 1);
        ++counts.doneByStep_[step];
    }
}

asio::awaitable<void> runRequest(Run& run, Session& session, bool isRead, Clock::time_point planned)
{
    const auto& settings = run.settings_.classes_[session.class_];
    ++run.inFlight_;
    ++run.counts_[session.class_].sent_;
    if (run.settings_.moveEvery_ != 0 && ++session.requests_ % run.settings_.moveEvery_ == 0)
        session.address_ = (session.address_ + 1) % run.target_.addresses_.size();
    if (session.keys_.empty() || (!isRead && session.keys_.back().ids_.size() >= maxIdsPerKey))
        session.keys_.push_back({ run.prefix_ + "k" + std::to_string(++run.lastId_), {} });
    const auto keyIndex = session.keys_.size() - 1;
    const auto id = run.prefix_ + std::to_string(++run.lastId_);
    const auto attempted
        = co_await attempt(run, session, isRead, session.keys_[keyIndex].key_, id, planned + settings.deadline_);
    countResult(run, session.class_, attempted, planned);
    if (!isRead)
        session.keys_[keyIndex].ids_[id] = attempted.result_;
    else if (attempted.result_ == Result::Done)
        checkContent(run, session.keys_[keyIndex], attempted.content_);
    run.freeSessions_[session.class_].push_back(&session);
    --run.inFlight_;
}

Session& takeSession(Run& run, std::size_t classIndex)
{
    auto& free = run.freeSessions_[classIndex];
    if (!free.empty()) {
        // A random one, so that sessions are used in different orders and rest for different times.
        std::swap(free[run.random_() % free.size()], free.back());
        auto* session = free.back();
        free.pop_back();
        return *session;
    }
    auto session = std::make_unique<Session>();
    session->class_ = classIndex;
    session->address_ = run.random_() % run.target_.addresses_.size();
    run.sessions_.push_back(std::move(session));
    return *run.sessions_.back();
}

/// Starts the requests of one class at the times of a Poisson process.
asio::awaitable<void> generate(Run& run, std::size_t classIndex)
{
    const auto& settings = run.settings_.classes_[classIndex];
    std::exponential_distribution<double> distance(settings.rate_);
    std::bernoulli_distribution isRead(settings.readShare_);
    asio::steady_timer timer(run.context_);
    auto planned = run.start_;
    for (;;) {
        planned += std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(distance(run.random_)));
        if (planned >= run.start_ + run.settings_.duration_)
            co_return;
        timer.expires_at(planned);
        co_await timer.async_wait(awaitTuple);
        asio::co_spawn(
            run.context_, runRequest(run, takeSession(run, classIndex), isRead(run.random_), planned), asio::detached);
    }
}

/// Reads keys of all sessions until none is left.
asio::awaitable<void> readBack(Run& run, std::deque<std::pair<Session*, std::size_t>>& keys, Clock::time_point end)
{
    while (!keys.empty()) {
        const auto [session, index] = keys.front();
        keys.pop_front();
        const auto& settings = run.settings_.classes_[session->class_];
        // The session as it is now: other readers must not change its token meanwhile.
        auto copy = *session;
        bool isRead = false;
        for (; !isRead && Clock::now() < end; copy.address_ = (copy.address_ + 1) % run.target_.addresses_.size()) {
            auto final = settings;
            final.maxAge_.reset();
            const std::chrono::milliseconds deadline { 2'000 };
            const auto reply = co_await post(run, copy.address_, settings.service_,
                requestBody(final, copy, true, copy.keys_[index].key_, {}, deadline), deadline + answerMargin);
            isRead = textOf(reply.json_, "outcome") == "done";
            if (isRead)
                checkContent(run, copy.keys_[index], contentOf(reply.json_));
            else {
                asio::steady_timer pause(run.context_, std::chrono::milliseconds(50));
                co_await pause.async_wait(awaitTuple);
            }
        }
        run.violations_.unreadKeys_ += isRead ? 0 : 1;
    }
}

void runTarget(Run& run)
{
    run.start_ = Clock::now();
    for (std::size_t i = 0; i < run.settings_.classes_.size(); ++i) {
        run.counts_[i].lastDone_ = run.start_;
        asio::co_spawn(run.context_, generate(run, i), asio::detached);
    }
    run.context_.run();
    for (auto& counts : run.counts_)
        counts.longestGap_ = std::max(counts.longestGap_, run.start_ + run.settings_.duration_ - counts.lastDone_);
    std::deque<std::pair<Session*, std::size_t>> keys;
    for (const auto& session : run.sessions_) {
        for (std::size_t i = 0; i < session->keys_.size(); ++i)
            keys.emplace_back(session.get(), i);
    }
    run.context_.restart();
    for (std::size_t i = 0; i < finalReaders; ++i)
        asio::co_spawn(
            run.context_, readBack(run, keys, Clock::now() + std::chrono::seconds(FLAGS_final_read_s)), asio::detached);
    run.context_.run();
}

double percentile(const std::vector<double>& sorted, double share)
{
    if (sorted.empty())
        return 0;
    return sorted[std::min(sorted.size() - 1, static_cast<std::size_t>(share * static_cast<double>(sorted.size())))];
}

void printTable(Run& run)
{
    std::cout << "\ntargets: " << run.target_.name_ << " (" << run.target_.addresses_.size() << " instances, "
              << run.sessions_.size() << " sessions)\n"
              << std::left << std::setw(20) << "class" << std::right << std::setw(9) << "sent" << std::setw(9) << "done"
              << std::setw(9) << "not_run" << std::setw(9) << "unknown" << std::setw(9) << "resent" << std::setw(10)
              << "p50 ms" << std::setw(10) << "p95 ms" << std::setw(10) << "p99 ms" << std::setw(10) << "max ms"
              << std::setw(10) << "gap ms" << std::setw(10) << "weighted" << '\n'
              << std::fixed << std::setprecision(1);
    double weighted = 0;
    double weightedSent = 0;
    for (std::size_t i = 0; i < run.counts_.size(); ++i) {
        auto& counts = run.counts_[i];
        const auto& settings = run.settings_.classes_[i];
        std::ranges::sort(counts.latencies_);
        std::size_t notRun = 0;
        for (const auto& [reason, count] : counts.notRun_)
            notRun += count;
        const auto service = settings.weight_ * static_cast<double>(counts.done_);
        weighted += service;
        weightedSent += settings.weight_ * static_cast<double>(counts.sent_);
        std::cout << std::left << std::setw(20) << settings.name_ << std::right << std::setw(9) << counts.sent_
                  << std::setw(9) << counts.done_ << std::setw(9) << notRun << std::setw(9) << counts.unknown_
                  << std::setw(9) << counts.resent_;
        for (const auto share : { 0.5, 0.95, 0.99, 1.0 })
            std::cout << std::setw(10) << percentile(counts.latencies_, share);
        std::cout << std::setw(10) << Milliseconds(counts.longestGap_).count() << std::setw(10) << service << '\n';
        for (const auto& [reason, count] : counts.notRun_)
            std::cout << "    not_run " << reason << ": " << count << '\n';
    }
    std::cout << "weighted service: " << weighted << " of " << weightedSent << " ("
              << (weightedSent > 0 ? 100 * weighted / weightedSent : 0) << " %)\n"
              << "violations: lost writes " << run.violations_.lostWrites_ << ", repeated writes "
              << run.violations_.repeatedWrites_ << ", false refusals " << run.violations_.falseRefusals_
              << "; keys without final read " << run.violations_.unreadKeys_ << std::endl;
}

/// Requests done per step and class, one panel per target set, on one scale.
std::string drawPlot(const std::vector<std::unique_ptr<Run>>& runs)
{
    constexpr int width = 900;
    constexpr int height = 220;
    constexpr int margin = 50;
    constexpr const char* colours[] = { "#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#8c564b" };
    std::size_t most = 1;
    std::size_t steps = 2;
    for (const auto& run : runs) {
        for (const auto& counts : run->counts_) {
            steps = std::max(steps, counts.doneByStep_.size());
            for (const auto done : counts.doneByStep_)
                most = std::max(most, done);
        }
    }
    std::ostringstream svg;
    svg << "<svg xmlns='http://www.w3.org/2000/svg' width='" << width + 2 * margin << "' height='"
        << (height + 2 * margin) * static_cast<int>(runs.size()) << "' font-family='sans-serif' font-size='12'>\n";
    for (std::size_t panel = 0; panel < runs.size(); ++panel) {
        const int top = static_cast<int>(panel) * (height + 2 * margin) + margin;
        svg << "<text x='" << margin << "' y='" << top - 24 << "'>" << runs[panel]->target_.name_
            << ": requests done per 100 ms (top: " << most << "), " << steps * 100 << " ms</text>\n<path d='M" << margin
            << ' ' << top << "V" << top + height << "H" << margin + width << "' fill='none' stroke='#333'/>\n";
        for (std::size_t i = 0; i < runs[panel]->counts_.size(); ++i) {
            const auto& done = runs[panel]->counts_[i].doneByStep_;
            const auto* colour = colours[i % std::size(colours)];
            svg << "<text x='" << margin + 150 * static_cast<int>(i) << "' y='" << top - 6 << "' fill='" << colour
                << "'>" << runs[panel]->settings_.classes_[i].name_ << "</text>\n<polyline fill='none' stroke='"
                << colour << "' points='";
            for (std::size_t step = 0; step < done.size(); ++step) {
                svg << margin + width * static_cast<double>(step) / static_cast<double>(steps - 1) << ','
                    << top + height * (1 - static_cast<double>(done[step]) / static_cast<double>(most)) << ' ';
            }
            svg << "'/>\n";
        }
    }
    svg << "</svg>\n";
    return svg.str();
}

int runAll(const LoadSettings& settings)
{
    std::vector<std::unique_ptr<asio::io_context>> contexts;
    std::vector<std::unique_ptr<Run>> runs;
    bool isViolated = false;
    bool isComplete = true;
    const auto stamp = std::chrono::system_clock::now().time_since_epoch() / std::chrono::milliseconds(1);
    for (const auto& target : settings.targets_) {
        contexts.push_back(std::make_unique<asio::io_context>(1));
        const auto classes = settings.classes_.size();
        runs.push_back(std::make_unique<Run>(Run { settings, target, *contexts.back(), std::mt19937_64(settings.seed_),
            {}, {}, {}, std::vector<std::vector<Session*>>(classes), std::vector<ClassCounts>(classes), {}, 0, 0,
            std::to_string(stamp) + '-' + std::to_string(runs.size()) + '-' }));
        auto& run = *runs.back();
        run.idle_.resize(target.addresses_.size());
        runTarget(run);
        printTable(run);
        const auto& violations = run.violations_;
        isViolated = isViolated || violations.lostWrites_ + violations.repeatedWrites_ + violations.falseRefusals_ > 0;
        isComplete = isComplete && violations.unreadKeys_ == 0;
    }
    std::ofstream(FLAGS_svg) << drawPlot(runs);
    if (isViolated)
        return 1;
    return isComplete ? 0 : 2;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    gflags::SetUsageMessage("open-loop load on caller listeners; status 1 after a violated guarantee, 2 if keys could "
                            "not be read back, 3 for bad settings");
    gflags::ParseCommandLineFlags(&argumentCount, &arguments, true);
    try {
        return runAll(readSettings(FLAGS_config));
    } catch (const YAML::Exception& error) {
        std::cerr << FLAGS_config << ": " << error.what() << "; correct the file\n";
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
    }
    return 3;
}
