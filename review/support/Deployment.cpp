#include "Deployment.h"

#include <csignal>
#include <cstdlib>
#include <iomanip>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

    using namespace std::chrono_literals;

    constexpr auto heartbeatInterval = 1200ms;
    constexpr auto roleCheckInterval = 50ms;
    constexpr auto restartDelay = 300ms;
    constexpr auto watchInterval = 20ms;
    constexpr auto promotionTime = 300ms;
    constexpr auto callLimit = 1000ms;
    constexpr auto readyLimit = 15s;
    constexpr auto clientLimit = 3000ms;

    std::string inQuotes(const std::string& text)
    {
        return "\"" + text + "\"";
    }

    // Hosts differ between runs, so that two runs at the same time do not meet.
    std::string networkOfProcess()
    {
        const auto number = static_cast<unsigned>(getpid());
        return "127." + std::to_string(64 + (number >> 8) % 64) + "." + std::to_string(number % 250 + 1) + ".";
    }

} // namespace

Record::Record(const std::filesystem::path& file)
    : out_(file)
{
}

void Record::write(const std::string& text)
{
    const std::lock_guard lock(mutex_);
    const std::chrono::duration<double> time = Clock::now() - start_;
    out_ << std::fixed << std::setprecision(3) << std::setw(8) << time.count() << ' ' << text << std::endl;
}

Deployment::Deployment(Record& record, DeploymentOptions options)
    : record_(record)
    , options_(options)
{
    folder_ = std::filesystem::temp_directory_path() / ("cassiahollow-review-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder_);
    authority_ = "127.0.0.1:" + std::to_string(freePort());
    peerPort_ = std::to_string(freePort());
    forwardPort_ = std::to_string(freePort());
    const auto operatorPort = std::to_string(freePort());
    const auto clientPort = std::to_string(freePort());
    const auto readinessPort = std::to_string(freePort());
    const auto metricsPort = std::to_string(freePort());
    const auto network = networkOfProcess();
    const std::vector<std::string> ids { "i-1", "i-2", "i-3" };
    group_ = std::make_unique<Group>(service_, ids, options_.isSynchronous_);
    for (std::size_t i = 0; i < ids.size(); ++i) {
        databases_.push_back(std::make_unique<Database>(*group_, ids[i], "127.0.0.1:" + std::to_string(freePort()),
            std::string("zone-") + static_cast<char>('a' + i), options_.slots_));
    }
    for (std::size_t i = 0; i < options_.controls_; ++i) {
        Node node;
        node.name_ = "core-" + std::to_string(i + 1);
        node.host_ = network + std::to_string(10 + i);
        node.listener_ = node.host_ + ":" + operatorPort;
        node.metrics_ = node.host_ + ":" + metricsPort;
        seeds_ += (seeds_.empty() ? "" : ",") + inQuotes(node.listener_);
        controls_.push_back(std::move(node));
    }
    for (std::size_t i = 0; i < options_.entries_; ++i) {
        Node node;
        node.name_ = "front-" + std::to_string(i + 1);
        node.host_ = network + std::to_string(100 + i);
        node.listener_ = node.host_ + ":" + clientPort;
        node.metrics_ = node.host_ + ":" + metricsPort;
        node.readiness_ = node.host_ + ":" + readinessPort;
        entries_.push_back(std::move(node));
    }
}

Deployment::~Deployment()
{
    ending_ = true;
    for (auto& thread : threads_)
        thread.join();
    for (auto* nodes : { &entries_, &controls_ }) {
        for (auto& node : *nodes) {
            if (node.process_ > 0) {
                kill(node.process_, SIGCONT);
                kill(node.process_, SIGKILL);
                waitpid(node.process_, nullptr, 0);
            }
        }
    }
    if (!std::getenv("REVIEW_KEEP"))
        std::filesystem::remove_all(folder_);
}

// The template deploy/settings.yaml, filled in for one machine.
std::string Deployment::settingsOf(const Node& node, bool isControl, bool isFirstStart) const
{
    std::ostringstream out;
    const auto zone = static_cast<char>('a' + (node.name_.back() - '1') % 3);
    out << "instance: " << inQuotes(node.name_) << "\ndata_centre: \"zone-" << zone << "\"\nlisten:\n";
    if (isControl)
        out << "  operators: " << inQuotes(node.listener_) << '\n';
    else
        out << "  statements: " << inQuotes(node.listener_)
            << "\n  forward: " << inQuotes(node.host_ + ":" + forwardPort_)
            << "\n  readiness: " << inQuotes(node.readiness_) << '\n';
    out << "  peers: " << inQuotes(node.host_ + ":" + peerPort_) << "\n  metrics: " << inQuotes(node.metrics_)
        << "\nseeds: [" << seeds_ << "]\ndeployment_key: \"entry-instances-and-control-members\"\n";
    if (isControl)
        out << "data_folder: " << inQuotes((folder_ / node.name_).string()) << '\n';
    if (isFirstStart)
        out << "may_found: true\n";
    out << "tolerated_losses: 1\ncatch_up_s: 4\nauthority: " << inQuotes(authority_)
        << "\nheartbeat_ms: 1200\nshutdown_ms: 6000\nmaximum_files: " << (isControl ? 4096 : 2940) << '\n';
    return out.str();
}

void Deployment::spawn(Node& node)
{
    const auto program = std::getenv("REVIEW_PROGRAM") ? std::getenv("REVIEW_PROGRAM") : options_.program_.c_str();
    const auto setting = "CASSIAHOLLOW_CONFIG=" + node.settings_.string();
    const auto log = node.log_.string();
    node.process_ = fork();
    if (node.process_ != 0)
        return;
    prctl(PR_SET_PDEATHSIG, SIGKILL); // No process outlives the test.
    const auto* file = std::freopen(log.c_str(), "a", stdout);
    if (!file || dup2(STDOUT_FILENO, STDERR_FILENO) < 0)
        _exit(127);
    std::string command = program;
    std::string argument = "node";
    std::string variable = setting;
    char* arguments[] = { command.data(), argument.data(), nullptr };
    char* environment[] = { variable.data(), nullptr };
    execve(program, arguments, environment);
    _exit(127);
}

// A configuration as the operator sends it, with one route.
std::string Deployment::configuration(std::uint64_t version) const
{
    return R"({"Version":)" + std::to_string(version) + R"(,"Routes":[{"Name":"r-1","Host":")" + database_
        + R"(","PathPrefix":"/","Type":"read_your_writes","TimeoutMs":800,"TargetLatencyMs":200,"Priority":2,"Service":")"
        + service_ + R"(","MaxAttempts":2,"MaxStalenessMs":2500}],"Services":[{"Name":")" + service_
        + R"(","HealthCheck":"/healthz","MaxConns":)" + std::to_string(options_.connectionLimit_)
        + R"(,"Protocol":"h1","Tls":false,"SyncReplicas":)" + (options_.isSynchronous_ ? "1" : "0")
        + R"(}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000,"IdleTxMs":3000}})";
}

bool Deployment::start()
{
    threads_.emplace_back([this] { serveAuthority(); });
    for (auto* nodes : { &controls_, &entries_ }) {
        for (auto& node : *nodes) {
            node.settings_ = folder_ / (node.name_ + ".yaml");
            node.log_ = folder_ / (node.name_ + ".log");
            const bool isControl = nodes == &controls_;
            std::ofstream(node.settings_) << settingsOf(node, isControl, true);
            spawn(node);
            record_.write("start " + node.name_ + " at " + node.listener_);
        }
    }
    threads_.emplace_back([this] { watchProcesses(); });
    const auto end = Clock::now() + readyLimit;
    while (callControl("PUT", "/api/config", configuration(7)).status_ != 200) {
        if (Clock::now() > end)
            return false;
        std::this_thread::sleep_for(100ms);
    }
    record_.write("configuration 7 acknowledged");
    threads_.emplace_back([this] { reportAll(); });
    while (Clock::now() < end) {
        if (readyEntries() == entries_.size()) {
            record_.write("all entry instances are ready");
            return true;
        }
        std::this_thread::sleep_for(100ms);
    }
    return false;
}

// Notices processes that end by themselves, and starts them again after a short delay.
void Deployment::watchProcesses()
{
    for (; !ending_; std::this_thread::sleep_for(watchInterval)) {
        const std::lock_guard lock(mutex_);
        for (auto* nodes : { &controls_, &entries_ }) {
            for (auto& node : *nodes) {
                int status = 0;
                if (node.process_ > 0 && waitpid(node.process_, &status, WNOHANG) == node.process_) {
                    node.process_ = -1;
                    node.endedAt_ = Clock::now();
                    if (!node.isStopped_) {
                        ++node.ownEnds_;
                        record_.write(node.name_ + " ended by itself, "
                            + (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                                   : "status " + std::to_string(WEXITSTATUS(status))));
                    }
                }
                if (node.process_ < 0 && !node.isStopped_ && Clock::now() - node.endedAt_ > restartDelay) {
                    std::ofstream(node.settings_) << settingsOf(node, nodes == &controls_, false);
                    spawn(node);
                    record_.write("start " + node.name_ + " again");
                }
            }
        }
    }
}

Database& Deployment::database(const std::string& id)
{
    for (auto& database : databases_) {
        if (database->id() == id)
            return *database;
    }
    throw std::invalid_argument("no database " + id);
}

HttpAnswer Deployment::callControl(
    const std::string& method, const std::string& path, const std::string& body, const std::string& unreachable)
{
    for (const auto& node : controls_) {
        if (node.name_ == unreachable)
            continue;
        const auto answer = callHttp(node.listener_, method, path, body, callLimit);
        if (answer.status_ != 0 && answer.status_ < 500)
            return answer;
    }
    return {};
}

std::map<std::string, int> Deployment::ownEnds()
{
    const std::lock_guard lock(mutex_);
    std::map<std::string, int> ends;
    for (const auto* nodes : { &controls_, &entries_ }) {
        for (const auto& node : *nodes)
            ends[node.name_] = node.ownEnds_;
    }
    return ends;
}

std::size_t Deployment::readyEntries() const
{
    std::size_t ready = 0;
    for (const auto& node : entries_)
        ready += callHttp(node.readiness_, "GET", "/api/ready", {}, 500ms).status_ == 200 ? 1 : 0;
    return ready;
}

std::vector<std::string> Deployment::promotions()
{
    const std::lock_guard lock(mutex_);
    return promotions_;
}

void Deployment::cut(const std::string& id, const std::string& control)
{
    {
        const std::lock_guard lock(mutex_);
        cuts_[id] = control;
    }
    const std::lock_guard lock(databasesMutex_);
    database(id).setCutFrom(control);
}

std::string Deployment::leader() const
{
    for (const auto& node : controls_) {
        const auto answer = callHttp(node.metrics_, "GET", "/metrics", {}, callLimit);
        if (answer.body_.find("control_leads 1") != std::string::npos)
            return node.name_;
    }
    return {};
}

void Deployment::replaceDatabase(const std::string& id, const std::string& successor)
{
    std::string address;
    std::string dataCentre;
    {
        const std::lock_guard lock(databasesMutex_);
        address = database(id).address();
        dataCentre = database(id).dataCentre();
        std::erase_if(databases_, [&](const auto& known) { return known->id() == id; });
    }
    callControl("DELETE", "/api/instances/" + id, {});
    group_->replace(id, successor);
    const std::lock_guard lock(databasesMutex_);
    databases_.push_back(std::make_unique<Database>(*group_, successor, address, dataCentre, options_.slots_));
    record_.write(id + " has ended, " + successor + " starts at " + address);
}

void Deployment::report(Database& database, bool& wasPrimary)
{
    std::string unreachable;
    {
        const std::lock_guard lock(mutex_);
        if (const auto found = cuts_.find(database.id()); found != cuts_.end())
            unreachable = found->second;
    }
    wasPrimary = group_->primary() == database.id();
    std::ostringstream body;
    body << R"({"Service":")" << service_ << R"(","Address":")" << database.address() << R"(","Zone":")"
         << database.dataCentre() << R"(","Version":"v1","Slots":)" << options_.slots_ << R"(,"State":")"
         << (database.leaving() ? "draining" : "ready") << R"(","WarmupLeftMs":0,"DbRole":")"
         << (wasPrimary ? "primary" : "replica") << R"(","Seq":)" << database.nextSequence() << R"(,"born":)"
         << database.born() << "}";
    const auto answer = callControl("PUT", "/api/instances/" + database.id(), body.str(), unreachable);
    if (database.leaving())
        record_.write(database.id() + " reports draining -> " + std::to_string(answer.status_));
    if (answer.status_ != 200)
        record_.write("heartbeat of " + database.id() + " answered with " + std::to_string(answer.status_));
}

// Each database reports regularly, and at once when its role or state changes.
void Deployment::reportAll()
{
    struct State {
        TimePoint next_;
        bool wasPrimary_ { false };
        bool wasLeaving_ { false };
    };
    std::map<std::string, State> states;
    for (; !ending_; std::this_thread::sleep_for(roleCheckInterval)) {
        const std::lock_guard lock(databasesMutex_);
        for (auto& database : databases_) {
            auto& state = states[database->id()];
            if (database->faults().isDark_)
                continue;
            const bool isPrimary = group_->primary() == database->id();
            if (Clock::now() < state.next_ && isPrimary == state.wasPrimary_
                && database->leaving() == state.wasLeaving_)
                continue;
            state.next_ = Clock::now() + heartbeatInterval;
            state.wasLeaving_ = database->leaving();
            report(*database, state.wasPrimary_);
        }
    }
}

int Deployment::promote(const HttpRequest& request)
{
    const auto fence = std::stoull(request.headers_.at("x-fencing-token"));
    const auto holder = request.headers_.at("x-lease-holder");
    std::string target;
    {
        const std::lock_guard lock(databasesMutex_);
        for (const auto& database : databases_) {
            const bool isNamed = request.body_.find(inQuotes(database->id())) != std::string::npos;
            if (isNamed && !database->faults().isDark_)
                target = database->id();
        }
    }
    {
        const std::lock_guard lock(mutex_);
        record_.write("POST /promote " + target + " by " + holder + " with token " + std::to_string(fence));
        if (fence < highestFence_ || target.empty())
            return 409;
        highestFence_ = fence;
    }
    if (group_->primary() != target) {
        std::this_thread::sleep_for(promotionTime);
        group_->promote(target);
        const std::lock_guard lock(mutex_);
        promotions_.push_back(target);
        record_.write("promoted " + target + " at " + textOf(group_->position(target)) + ", rolled back "
            + std::to_string(group_->rolledBack().size()));
    }
    return 200;
}

void Deployment::serveAuthority()
{
    const auto listener = listenOn(authority_);
    while (!ending_) {
        auto stream = acceptFrom(listener, 50ms);
        if (!stream)
            continue;
        stream->setLimit(callLimit);
        serveHttp(*stream, [this](const HttpRequest& request) { return promote(request); });
    }
}

Client::Client(const std::string& address, const std::string& database)
    : stream_(connectTo(address, clientLimit))
{
    if (!stream_)
        return;
    const bool isSent = stream_->send("STARTUP " + database + " reviewer\r\n");
    const auto line = isSent ? stream_->readLine() : std::nullopt;
    if (!line || !line->starts_with("READY"))
        stream_.reset();
}

Client::Answer Client::query(const std::string& id, const std::string& text)
{
    Answer answer { false, "closed", {}, {} };
    if (!stream_ || !stream_->send("QUERY " + id + " " + text + "\r\n"))
        return answer;
    while (const auto line = stream_->readLine()) {
        if (line->starts_with("DATAROW ")) {
            answer.rows_.push_back(line->substr(8));
        } else if (line->starts_with("COMPLETE ")) {
            answer.isComplete_ = true;
            answer.signature_ = line->substr(9);
            answer.code_.clear();
        } else if (line->starts_with("ERROR ")) {
            answer.code_ = line->substr(6, line->find(' ', 6) - 6);
        } else if (line->starts_with("READY ")) {
            return answer;
        }
    }
    stream_.reset();
    return { false, "closed", {}, {} };
}

std::string newId()
{
    thread_local std::mt19937_64 random(std::random_device {}());
    std::ostringstream text;
    text << std::hex << std::setw(16) << std::setfill('0') << random();
    return text.str();
}

} // namespace review
