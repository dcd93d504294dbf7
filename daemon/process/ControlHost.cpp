#include "process/ControlHost.h"

#include "Documents.h"
#include "process/EventLog.h"

#include <algorithm>
#include <filesystem>
#include <set>
#include <xxhash.h>

namespace cassiahollow {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t mailboxCapacity = 20000;
    // The rate at which the duty and the members are looked after.
    constexpr auto tickInterval = 50ms;
    // Callers give a member one second; an answer within this time still reaches them.
    constexpr auto callTime = 850ms;
    // The time after a start within which members usually have a leader and have applied what was committed.
    constexpr auto startReportTime = 1s;
    // A member acknowledges only while it was in contact with the leader within this time: two elections.
    constexpr auto contactTime = 1200ms;
    // Records of all endpoints are sent to the other members at this interval, in case a message was lost.
    constexpr auto spreadInterval = 1s;
    // An entry instance that has not asked for this long gets no pushes and does not count.
    constexpr auto instanceLifetime = 3s;
    // Within this time after a start of this process, instances that were there before it are expected back.
    constexpr auto returnTime = 5s;
    // Changes in quick succession reach an instance together, because the links of small instances are slow.
    constexpr auto pushInterval = 150ms;
    // A member that is not heard for this long may have a connection that has gone silent.
    constexpr auto memberSilence = 1500ms;
    // The list of the other data centres has some 9 KB at 620 instances. It is sent to one instance no more often than
    // this while many of them start or end.
    constexpr auto othersInterval = 2s;
    constexpr auto storageRetry = 500ms;
    // A stopping member waits for its removal for this long: two elections, and far less than callers grant a stop.
    constexpr auto departureTime = 1s;
    // Within this time after that, callers have taken the last replies.
    constexpr auto lastRepliesTime = 500ms;
    constexpr auto stopCheck = 10ms;
    // Elections, restarts and the admission of a member are over within this time.
    constexpr auto impairmentReportTime = 2s;
    // Entries after which a snapshot is written, and entries kept behind it: a catalog of 350 routes has about 90 KB.
    constexpr std::uint64_t snapshotAfter = 100;
    constexpr std::uint64_t keptEntries = 20;
    // Three heartbeats fit into it; the callers' second holds an election and a change.
    constexpr auto electionTimeout = 400ms;
    constexpr auto heartbeatInterval = 120ms;

    HttpReply statusReply(int status, std::string body = "{}")
    {
        return { status, std::move(body) };
    }

    // The instances, separated by commas; a question mark follows a member without a vote.
    std::string memberList(const std::vector<ControlMember>& members)
    {
        std::string list;
        for (const auto& member : members)
            list.append(list.empty() ? "" : ",").append(member.instance_.value_).append(member.voter_ ? "" : "?");
        return list;
    }

    std::string instanceList(const std::vector<InstanceId>& instances)
    {
        std::string list;
        for (const auto& instance : instances)
            list.append(list.empty() ? "" : ",").append(instance.value_);
        return list;
    }

    std::string documentKey(std::uint64_t version, const std::string& document)
    {
        return "catalog-" + std::to_string(version) + "-"
            + std::to_string(XXH3_64bits(document.data(), document.size()));
    }

} // namespace

ControlHost::ControlHost(NodeSettings settings, Incarnation incarnation)
    : settings_(std::move(settings))
    , incarnation_(incarnation)
    , self_(settings_.peers_)
    , mailbox_(mailboxCapacity, [this] { loop_.wake(); })
    , peers_(
          { self_, incarnation, settings_.peers_, settings_.deploymentKey_ },
          [this](PeerMessage message) { mailbox_.post(std::move(message)); },
          [this](Reason reason) { metrics_.count(reason); })
    , store_(std::filesystem::path(settings_.dataFolder_) / "directory")
    , leases_(
          self_, settings_.authorityChecksFences_, metrics_,
          [this](const InstanceId& recipient, const DirectoryMessage& message) { sendDirectory(recipient, message); },
          [this] { loop_.schedule(Clock::now(), [this] { pushLeases(); }); },
          [this] { loop_.schedule(Clock::now(), [this] { duty_.tick(); }); })
    , duty_(loop_, metrics_,
          { settings_.name_, self_, settings_.authority_, { .heartbeatInterval_ = settings_.heartbeat_ } }, registry_,
          leases_,
          [this](const GrantChange& grant) {
              const auto key
                  = "grant-" + std::to_string(incarnation_) + "-" + self_.value_ + "-" + std::to_string(nextToken_);
              submit(ControlChange { key, grant }, { .grant_ = grant.group_ });
          })
    , sampler_(
          loop_, metrics_, registry_, settings_.name_, settings_.authorityChecksFences_ ? nullptr : &leases_.view())
{
    loop_.setWakeHandler([this] { receiveAll(); });
    loop_.memory().configure(settings_.memoryMb_ << 20,
        [this](const ClientMemory::Event& event) { reportClosedClient(metrics_, loop_.memory(), event); });
}

ControlHost::~ControlHost()
{
    if (control_)
        control_->stop();
}

boost::leaf::result<void> ControlHost::start()
{
    BOOST_LEAF_CHECK(peers_.start());
    auto copy = store_.load(Clock::now());
    for (auto& record : copy.records_)
        mergeRecord(registry_, std::move(record));
    instancesBefore_ = copy.instances_;
    neighboursBefore_ = std::move(copy.neighbours_);
    started_ = Clock::now();
    if (copy.catalog_) {
        storedVersion_ = copy.catalog_->version_;
        applyCatalog(std::make_shared<const CatalogDocument>(std::move(*copy.catalog_)), "directory_copy");
    }
    const auto listener = [this](std::string name, const std::string& address) {
        HttpHandlers handlers;
        handlers.request_ = [this](const HttpConnectionPtr& c, const HttpRequest& r) { handleCall(c, r); };
        handlers.count_ = [this](Reason reason) { metrics_.count(reason); };
        return std::make_unique<HttpListener>(
            loop_, HttpListenerOptions { .name_ = std::move(name), .address_ = address }, std::move(handlers));
    };
    operators_ = listener("operators", settings_.operators_);
    BOOST_LEAF_CHECK(operators_->start());
    if (!settings_.metrics_.empty()) {
        metricsListener_ = listener("metrics", settings_.metrics_);
        BOOST_LEAF_CHECK(metricsListener_->start());
    }
    startControl();
    announceStart();
    for (const auto& member : otherMembers())
        sendDirectory(member, RegistryUpdate { {}, true });
    tick();
    LogLine(LogKind::Lifecycle, "started").with("role", "control").with("peers", settings_.peers_);
    return {};
}

void ControlHost::run()
{
    loop_.run();
    LogLine(LogKind::Lifecycle, "stopped")
        .with("role", "control")
        .with("unsent_replies", static_cast<std::uint64_t>(operators_->hasUnsentReplies() ? 1 : 0));
}

void ControlHost::startControl()
{
    if (isStopped_)
        return;
    ControlTaskOptions options;
    options.instance_ = self_;
    options.listed_ = seedInstances(settings_);
    options.folder_ = std::filesystem::path(settings_.dataFolder_) / "control";
    options.log_.mayFound_ = settings_.mayFound_;
    options.log_.admitsUnlisted_ = true;
    options.log_.toleratedLosses_ = settings_.toleratedLosses_;
    // A member that was replaced is removed before its successor counts as available.
    options.log_.removeUnreachableAfter_ = settings_.catchUp_ * 3 / 4;
    options.log_.snapshotAfter_ = snapshotAfter;
    options.log_.keptEntries_ = keptEntries;
    options.log_.electionTimeout_ = electionTimeout;
    options.log_.heartbeatInterval_ = heartbeatInterval;
    options.log_.helloInterval_ = 250ms;
    ControlTaskCallbacks callbacks;
    callbacks.send_ = [this](const InstanceId& recipient, std::string body) {
        mailbox_.post(Send { recipient, std::move(body) });
    };
    callbacks.settingsApplied_ = [](const auto&) {};
    callbacks.groupApplied_ = [](const auto&, const auto&) {};
    callbacks.catalogApplied_ = [this](std::shared_ptr<const CatalogDocument> catalog) {
        mailbox_.post(CatalogApplied { std::move(catalog) });
    };
    callbacks.catalogCommitted_
        = [this](const CatalogCommittedAction& report) { mailbox_.post(CatalogCommitted { report }); };
    callbacks.answered_
        = [this](std::uint64_t token, const ChangeOutcome& outcome, const std::shared_ptr<const SettingsTree>&) {
              mailbox_.post(Answered { token, outcome });
          };
    callbacks.statusChanged_ = [this](const ControlStatus& status) { mailbox_.post(status); };
    callbacks.dropped_ = [this](Reason reason) { metrics_.count(reason); };
    callbacks.failed_ = [this](const Failure& failure) { mailbox_.post(StorageLost { failure }); };
    control_ = std::make_unique<ControlTask>(std::move(options), std::move(callbacks));
    const auto failed = [this](const Failure& failure) {
        LogLine(LogKind::Dependency, "storage_lost").with("detail", failureMessage(failure));
        control_.reset();
        loop_.schedule(Clock::now() + storageRetry, [this] { startControl(); });
    };
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_CHECK(control_->start());
            reportStart();
            return {};
        },
        failed,
        [&] {
            failed({ Reason::StorageFailed, "unknown error" });
        });
}

void ControlHost::reportStart()
{
    const auto& loaded = control_->loaded();
    LogLine(LogKind::Lifecycle, "control_loaded")
        .with("term", loaded.term_)
        .with("last", loaded.last_.index_)
        .with("last_term", loaded.last_.term_)
        .with("snapshot", loaded.snapshotIndex_)
        .with("snapshot_catalog", loaded.snapshotCatalog_)
        .with("log_catalog", loaded.lastCatalog_)
        .with("directory_catalog", storedVersion_)
        .with("members", memberList(loaded.members_));
    metrics_.setGauge("control_loaded_log_catalog", static_cast<double>(loaded.lastCatalog_));
    metrics_.setGauge("control_loaded_directory_catalog", static_cast<double>(storedVersion_));
    loop_.schedule(Clock::now() + startReportTime, [this] {
        LogLine(LogKind::Lifecycle, "catalog_after_start")
            .with("version", appliedVersion())
            .with("leader", status_.leader_.value_)
            .with("term", status_.term_)
            .with("members", memberList(status_.members_))
            .with("heard", instanceList(heardMembers()));
    });
}

void ControlHost::receiveAll()
{
    for (auto& message : mailbox_.take())
        std::visit([this](const auto& body) { receive(body); }, message);
}

void ControlHost::receive(const Shutdown&)
{
    if (departureEnd_ != TimePoint())
        return;
    LogLine(LogKind::Lifecycle, "stopping").with("role", "control");
    departureEnd_ = Clock::now() + departureTime;
    loop_.schedule(departureEnd_, [this] { stop(); });
    depart();
}

void ControlHost::depart()
{
    if (!status_.isVoter_)
        return stop();
    submit(ControlMemberChange { false, self_, true }, { .isDeparture_ = true });
}

void ControlHost::stop()
{
    if (std::exchange(isStopped_, true))
        return;
    duty_.setLeading(false);
    if (control_)
        control_->stop();
    receiveAll(); // The control task's last answers.
    for (const auto& [token, call] : std::exchange(calls_, {})) {
        if (!call.connection_)
            continue;
        if (call.isRead_)
            refuseRead(call, "this member stops");
        else
            refuseChange(call, Outcome::Unknown, "this member stops");
    }
    stopEnd_ = Clock::now() + lastRepliesTime;
    // Calls that were read in this turn of the loop are answered in it.
    loop_.schedule(Clock::now() + stopCheck, [this] { finishStop(); });
}

void ControlHost::finishStop()
{
    if (!operators_->hasUnsentReplies() || Clock::now() >= stopEnd_)
        return loop_.stop();
    loop_.schedule(Clock::now() + stopCheck, [this] { finishStop(); });
}

void ControlHost::receive(const Reload& reload)
{
    settings_.seeds_ = reload.settings_.seeds_;
    if (control_)
        control_->post(ControlSeeds { seedInstances(settings_) });
    LogLine(LogKind::Lifecycle, "reloaded").with("seeds", static_cast<std::uint64_t>(settings_.seeds_.size()));
}

void ControlHost::receive(const PeerMessage& message)
{
    const InstanceId sender(message.senderAddress_);
    if (message.kind_ == PeerMessageKind::Control) {
        members_[sender].heard_ = Clock::now();
        if (control_)
            control_->post(ControlTask::PeerMessage { message.sender_, message.body_ });
        return;
    }
    if (message.kind_ != PeerMessageKind::Directory)
        return;
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(decoded, decodeDirectoryMessage(message.body_, Clock::now()));
            std::visit([&](const auto& body) { receiveDirectory(sender, body); }, decoded);
            return {};
        },
        [this](const Failure& failure) { metrics_.count(failure.reason_); },
        [this] { metrics_.count(Reason::MessageMalformed); });
}

void ControlHost::receive(const Send& message)
{
    peers_.send(message.recipient_.value_, PeerMessageKind::Control, message.body_);
}

void ControlHost::receive(const CatalogApplied& message)
{
    if (document_ && document_->version_ >= message.catalog_->version_)
        return;
    applyCatalog(message.catalog_, "log");
    saveDirectory();
    answerReads();
    pushFeeds();
}

void ControlHost::receive(const CatalogCommitted& message)
{
    const auto& report = message.report_;
    LogLine(LogKind::Belief, "catalog_committed")
        .with("version", report.version_)
        .with("index", report.position_.index_)
        .with("term", report.position_.term_)
        .with("synced", memberList(report.synced_))
        .with("unsynced", memberList(report.unsynced_));
}

void ControlHost::applyCatalog(std::shared_ptr<const CatalogDocument> document, std::string_view source)
{
    document_ = std::move(document);
    packed_ = std::make_shared<const PackedCatalog>(packCatalog(*document_));
    LogLine(LogKind::Belief, "catalog_applied").with("version", document_->version_).with("source", source);
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(catalog, platform::decodeCatalog(document_->document_));
            catalog_ = std::make_shared<const RouteCatalog>(std::move(catalog));
            leases_.setCatalog(*catalog_);
            duty_.setCatalog(catalog_);
            return {};
        },
        [this](const Failure& failure) { metrics_.count(failure.reason_); },
        [this] { metrics_.count(Reason::SettingsInvalid); });
}

void ControlHost::saveDirectory()
{
    savedNeighbours_ = localInstances();
    store_.save(registry_, packed_, expectedInstances(entryInstances().size()), savedNeighbours_, Clock::now());
}

void ControlHost::receive(const Answered& message)
{
    const auto found = calls_.find(message.token_);
    if (found == calls_.end())
        return;
    auto& call = found->second;
    const bool done = message.outcome_.outcome_ == Outcome::Done;
    if (call.grant_) {
        const auto group = *call.grant_;
        calls_.erase(found);
        duty_.granted(group, done ? std::optional(message.outcome_.revision_) : std::nullopt);
        return;
    }
    if (call.isDeparture_) {
        calls_.erase(found);
        const bool isOver = done || message.outcome_.reason_ == Reason::NoControlMajority;
        LogLine(LogKind::Belief, "departure_answered")
            .with("outcome", outcomeName(message.outcome_.outcome_))
            .with("detail", message.outcome_.detail_);
        if (isOver)
            return stop();
        loop_.schedule(Clock::now() + tickInterval, [this] { depart(); });
        return;
    }
    if (done && call.isRead_) {
        call.wantedVersion_ = std::max<std::uint64_t>(message.outcome_.catalogVersion_, 1);
        answerReads();
        return;
    }
    if (!done && message.outcome_.reason_)
        metrics_.count(*message.outcome_.reason_);
    if (call.isRead_) {
        refuseRead(call, message.outcome_.detail_);
    } else if (!done) {
        refuseChange(call, message.outcome_.outcome_, message.outcome_.detail_);
    } else {
        LogLine(LogKind::Belief, "change_answered")
            .with("outcome", outcomeName(message.outcome_.outcome_))
            .with("version", message.outcome_.revision_)
            .with("detail", message.outcome_.detail_);
        call.connection_->reply(statusReply(200));
    }
    calls_.erase(found);
}

void ControlHost::receive(const ControlStatus& status)
{
    if (status.leader_ != status_.leader_ || status.members_ != status_.members_) {
        LogLine(LogKind::Belief, "control_status")
            .with("leader", status.leader_.value_)
            .with("term", status.term_)
            .with("members", memberList(status.members_));
    }
    status_ = status;
    for (const auto& member : status_.members_) {
        if (member.instance_ != self_)
            members_.try_emplace(member.instance_);
    }
    leases_.setStatus(status);
    duty_.setLeading(status.role_ == ControlRole::Leader && !isStopped_);
    if (status.hasAppliedEarlierTerms_)
        duty_.setGrants(*status.grants_);
}

void ControlHost::receive(const StorageLost& message)
{
    metrics_.count(message.failure_.reason_);
    LogLine(LogKind::Dependency, "storage_lost").with("detail", failureMessage(message.failure_));
    duty_.setLeading(false);
    status_ = {};
    leases_.setStatus({});
    control_->stop();
    control_.reset();
    loop_.schedule(Clock::now() + storageRetry, [this] { startControl(); });
}

void ControlHost::receiveDirectory(const InstanceId& sender, const FeedRequest& request)
{
    auto& instance = instances_[sender];
    instance.asked_ = Clock::now();
    instance.takesRequests_ = request.takesRequests_;
    instance.registryMark_ = request.registryVersion_;
    instance.catalogVersion_ = request.catalogVersion_;
    instance.dataCentre_ = request.dataCentre_;
    instance.neighboursMark_ = request.neighboursMark_;
    instance.othersMark_ = request.othersMark_;
    if (request.missesResponses_)
        peers_.reconnect(sender.value_);
    auto answer = feedFor(sender, instance);
    answer.number_ = request.number_;
    if (leases_.areUsed())
        answer.leases_ = leases_.grantTo(sender, request.leaseVersion_);
    sendDirectory(sender, answer);
    if (request.reports_.empty())
        return;
    if (status_.role_ == ControlRole::Leader)
        duty_.reported(sender, request.reports_);
    else if (!status_.leader_.empty())
        sendDirectory(status_.leader_, ReportRelay { sender, request.reports_ });
}

void ControlHost::receiveDirectory(const InstanceId&, const FeedResponse&)
{
    metrics_.count(Reason::MessageMalformed); // Only entry instances ask.
}

void ControlHost::receiveDirectory(const InstanceId& sender, const RegistryUpdate& update)
{
    const auto now = Clock::now();
    auto& member = members_[sender];
    member.heard_ = now;
    member.instances_ = update.instances_;
    member.dataCentres_ = update.dataCentres_;
    if (update.recipientSilent_ && now - member.reconnected_ > memberSilence) {
        member.reconnected_ = now;
        peers_.reconnect(sender.value_);
    }
    if (update.requestsAll_) {
        RegistryUpdate all;
        for (const auto& [id, record] : registry_.records_)
            all.records_.push_back(record);
        sendDirectory(sender, all);
    }
    bool changed = false;
    for (const auto& record : update.records_)
        changed |= mergeRecord(registry_, record) == RegistryMerge::Changed;
    if (changed)
        registryChanged();
}

void ControlHost::receiveDirectory(const InstanceId&, const ReportRelay& relay)
{
    if (status_.role_ == ControlRole::Leader)
        duty_.reported(relay.instance_, relay.reports_);
}

void ControlHost::receiveDirectory(const InstanceId& sender, const LeaseRequest& request)
{
    updateProven();
    leases_.receive(sender, request);
}

void ControlHost::receiveDirectory(const InstanceId& sender, const LeaseResponse& response)
{
    leases_.receive(sender, response);
}

void ControlHost::updateProven()
{
    leases_.setProven(control_ ? control_->majorityProvenAt() : TimePoint());
}

// Sends a changed table at once: the end of a lease may delay a promotion.
void ControlHost::pushLeases()
{
    FeedResponse push;
    push.confirmed_ = inContact();
    push.catalogVersion_ = document_ ? document_->version_ : 0;
    push.registryVersion_ = registryMark();
    push.leader_ = status_.leader_;
    for (const auto& member : status_.members_)
        push.members_.push_back(member.instance_);
    push.leases_ = leases_.pushed();
    const auto now = Clock::now();
    for (const auto& [id, instance] : instances_) {
        if (now - instance.asked_ < instanceLifetime)
            sendDirectory(id, push);
    }
}

void ControlHost::handleCall(const HttpConnectionPtr& connection, const HttpRequest& request)
{
    if (request.path_ == platform::configurationPath) {
        if (request.method_ == "PUT")
            return putCatalog(connection, request.body_);
        if (request.method_ == "GET")
            return getCatalog(connection);
    }
    if (request.path_.starts_with(platform::instancePathPrefix)) {
        const auto id = request.path_.substr(platform::instancePathPrefix.size());
        if (request.method_ == "PUT")
            return putHeartbeat(connection, id, request.body_);
        if (request.method_ == "DELETE")
            return deleteEndpoint(connection, id);
    }
    if (request.path_ == "/metrics" && request.method_ == "GET")
        return replyMetrics(connection);
    connection->reply(statusReply(404));
}

void ControlHost::replyMetrics(const HttpConnectionPtr& connection)
{
    metrics_.setGauge("log_lines_dropped", static_cast<double>(droppedLogLines()));
    setMemoryGauges(metrics_, loop_.memory());
    metrics_.setGauge("applied_catalog_version", document_ ? static_cast<double>(document_->version_) : 0);
    metrics_.setGauge("control_leads", status_.role_ == ControlRole::Leader ? 1 : 0);
    metrics_.setGauge("control_leader_known", status_.leader_.empty() ? 0 : 1);
    metrics_.setGauge("control_votes", status_.isVoter_ ? 1 : 0);
    metrics_.setGauge("control_voters", static_cast<double>(voterCount(status_.members_)));
    metrics_.setGauge("control_members_heard", static_cast<double>(heardMembers().size()));
    metrics_.setGauge("entry_instances", static_cast<double>(entryInstances().size()));
    metrics_.setGauge("known_endpoints", static_cast<double>(registry_.records_.size()));
    connection->reply({ 200, metrics_.render(), "text/plain" });
}

void ControlHost::putCatalog(const HttpConnectionPtr& connection, const std::string& document)
{
    std::uint64_t version = 0;
    const bool valid = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_AUTO(catalog, platform::decodeCatalog(document));
            BOOST_LEAF_CHECK(checkCatalog(catalog));
            version = catalog.version_;
            return true;
        },
        [&](const Failure& failure) {
            metrics_.count(failure.reason_);
            LogLine(LogKind::Refusal, "catalog_refused").with("detail", failureMessage(failure));
            return false;
        },
        [] { return false; });
    if (!valid)
        return connection->reply(statusReply(400, "{\"error\":\"invalid\"}"));
    // What is applied here is committed, and stays below every later version.
    if (document_ && version <= document_->version_) {
        LogLine(LogKind::Belief, "change_answered")
            .with("outcome", outcomeName(Outcome::Done))
            .with("version", document_->version_)
            .with("detail", "applied here before");
        return connection->reply(statusReply(200));
    }
    submit(ControlChange { documentKey(version, document), CatalogChange { { version, document } } },
        { .connection_ = connection });
}

void ControlHost::getCatalog(const HttpConnectionPtr& connection)
{
    submit(ControlRead {}, { .connection_ = connection, .isRead_ = true });
}

std::uint64_t ControlHost::submit(ControlRequest request, PendingCall call)
{
    const auto token = nextToken_++;
    call.arrived_ = Clock::now();
    call.deadline_ = call.arrived_ + callTime;
    calls_.emplace(token, std::move(call));
    if (!control_ || !control_->post(LocalRequest { token, std::move(request) }))
        receive(Answered { token, undecidedOutcome(Outcome::NotRun, Reason::NoControlMajority, "no control task") });
    return token;
}

void ControlHost::replyCatalog(const HttpConnectionPtr& connection)
{
    connection->reply(document_ ? statusReply(200, document_->document_) : statusReply(503));
}

void ControlHost::refuseRead(const PendingCall& call, std::string_view detail)
{
    std::string_view cause = "unconfirmed";
    auto counter = CounterId::ReadsUnconfirmed;
    if (call.wantedVersion_ > 0) {
        cause = "not_applied";
        counter = CounterId::ReadsNotApplied;
    } else if (status_.leader_.empty()) {
        cause = "no_leader";
        counter = CounterId::ReadsWithoutLeader;
    }
    metrics_.add(counter);
    LogLine(LogKind::Refusal, "catalog_read_refused")
        .with("cause", cause)
        .with("waited", Clock::now() - call.arrived_)
        .with("confirmed", call.wantedVersion_)
        .with("applied", appliedVersion())
        .with("leader", status_.leader_.value_)
        .with("detail", detail);
    call.connection_->reply(statusReply(503));
}

void ControlHost::refuseChange(const PendingCall& call, Outcome outcome, std::string_view detail)
{
    LogLine(LogKind::Belief, "change_answered")
        .with("outcome", outcomeName(outcome))
        .with("version", std::uint64_t(0))
        .with("waited", Clock::now() - call.arrived_)
        .with("detail", detail);
    call.connection_->reply(statusReply(503));
}

void ControlHost::answerReads()
{
    std::erase_if(calls_, [&](const auto& item) {
        const auto& call = item.second;
        if (!call.isRead_ || call.wantedVersion_ == 0 || !document_ || document_->version_ < call.wantedVersion_)
            return false;
        replyCatalog(call.connection_);
        return true;
    });
}

void ControlHost::putHeartbeat(const HttpConnectionPtr& connection, const std::string& id, const std::string& body)
{
    std::optional<RegisteredEndpoint> record;
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_ASSIGN(
                record, platform::decodeHeartbeat(id, body, Clock::now(), std::chrono::system_clock::now()));
            return {};
        },
        [this](const Failure& failure) {
            metrics_.count(failure.reason_);
            LogLine(LogKind::Refusal, "heartbeat_refused").with("detail", failureMessage(failure));
        },
        [this] { metrics_.count(Reason::MalformedRequest); });
    if (!record)
        return connection->reply(statusReply(400));
    const auto merged = mergeRecord(registry_, *record);
    if (merged != RegistryMerge::Stale)
        spread({ registry_.records_.at(record->id_) });
    if (merged == RegistryMerge::Changed)
        registryChanged();
    // Without a majority the report may not reach all instances; the endpoint tries another member.
    connection->reply(statusReply(inContact() ? 200 : 503, platform::heartbeatAnswer()));
}

void ControlHost::deleteEndpoint(const HttpConnectionPtr& connection, const std::string& id)
{
    if (removeRecord(registry_, EndpointId(id), Clock::now()) == RegistryMerge::Changed) {
        spread({ registry_.records_.at(EndpointId(id)) });
        registryChanged();
    }
    connection->reply(statusReply(200));
}

std::string_view ControlHost::controlImpairment() const
{
    if (!control_)
        return "no_storage";
    if (status_.leader_.empty())
        return "no_leader";
    const bool isSpare = voterCount(status_.members_) >= maximumControlVoters;
    return status_.isVoter_ || isSpare ? "" : "no_vote";
}

std::vector<InstanceId> ControlHost::heardMembers() const
{
    std::vector<InstanceId> heard;
    for (const auto& [id, member] : members_) {
        if (Clock::now() - member.heard_ < impairmentReportTime)
            heard.push_back(id);
    }
    return heard;
}

void ControlHost::reportImpairment(TimePoint now)
{
    const auto cause = controlImpairment();
    if (cause != impairment_) {
        if (isImpairmentReported_ && cause.empty())
            LogLine(LogKind::Dependency, "control_restored")
                .with("cause", impairment_)
                .with("after", now - impairedAt_);
        impairment_ = cause;
        impairedAt_ = now;
        isImpairmentReported_ = false;
    }
    if (cause.empty() || isImpairmentReported_ || now - impairedAt_ < impairmentReportTime)
        return;
    isImpairmentReported_ = true;
    LogLine(LogKind::Dependency, "control_impaired")
        .with("cause", cause)
        .with("members", memberList(status_.members_))
        .with("heard", instanceList(heardMembers()))
        .with("known", instanceList(otherMembers()));
}

bool ControlHost::inContact() const
{
    return control_ && Clock::now() - control_->lastContact() < contactTime;
}

std::vector<InstanceId> ControlHost::otherMembers() const
{
    const auto seeds = seedInstances(settings_);
    std::set<InstanceId> members(seeds.begin(), seeds.end());
    for (const auto& member : status_.members_)
        members.insert(member.instance_);
    members.erase(self_);
    return { members.begin(), members.end() };
}

ControlHost::EntryInstances ControlHost::findEntryInstances() const
{
    EntryInstances all;
    const auto now = Clock::now();
    std::set<InstanceId> stopping;
    for (const auto& [id, instance] : instances_) {
        if (now - instance.asked_ >= instanceLifetime)
            continue;
        if (instance.takesRequests_)
            all.emplace(id, instance.dataCentre_);
        else
            stopping.insert(id);
    }
    for (const auto& [id, member] : members_) {
        if (now - member.heard_ >= instanceLifetime)
            continue;
        for (std::size_t i = 0; i < member.instances_.size(); ++i) {
            const auto dataCentre = i < member.dataCentres_.size() ? member.dataCentres_[i] : DataCentre();
            if (!stopping.contains(member.instances_[i]))
                all.emplace(member.instances_[i], dataCentre);
        }
    }
    return all;
}

RegistryUpdate ControlHost::updateWith(std::vector<RegisteredEndpoint> records) const
{
    RegistryUpdate update { std::move(records), false, false, {}, {} };
    for (const auto& [id, dataCentre] : entryInstances()) {
        update.instances_.push_back(id);
        update.dataCentres_.push_back(dataCentre);
    }
    return update;
}

// Tells an instance who else serves its data centre, if that has changed.
void ControlHost::addNeighbours(FeedResponse& answer, const EntryInstances& all, const EntryInstance& instance)
{
    std::set<DataCentre> dataCentres;
    std::vector<InstanceId> neighbours;
    std::string key;
    for (const auto& [id, dataCentre] : all) {
        dataCentres.insert(dataCentre);
        if (dataCentre != instance.dataCentre_)
            continue;
        neighbours.push_back(id);
        key.append(id.value_).push_back('\n');
    }
    answer.dataCentres_ = dataCentres.size();
    answer.neighboursMark_ = XXH3_64bits(key.data(), key.size());
    if (answer.neighboursMark_ != instance.neighboursMark_)
        answer.neighbours_ = std::move(neighbours);
}

// Tells an instance who serves the other data centres, if it needs that and it has changed.
void ControlHost::addOthers(FeedResponse& answer, const EntryInstances& all, EntryInstance& instance)
{
    if (!instance.othersMark_)
        return;
    std::map<DataCentre, std::vector<InstanceId>> others;
    std::string key;
    for (const auto& [id, dataCentre] : all) {
        if (dataCentre == instance.dataCentre_)
            continue;
        others[dataCentre].push_back(id);
        key.append(dataCentre.value_).append(1, ' ').append(id.value_).push_back('\n');
    }
    answer.othersMark_ = XXH3_64bits(key.data(), key.size());
    const auto now = Clock::now();
    if (answer.othersMark_ == *instance.othersMark_ || now - instance.othersSent_ < othersInterval) {
        answer.othersMark_ = *instance.othersMark_;
        return;
    }
    instance.othersSent_ = now;
    answer.others_.emplace();
    for (auto& [dataCentre, instances] : others)
        answer.others_->push_back({ dataCentre, std::move(instances) });
}

// Answers the load pattern "all machines start at once": the first instances that ask must not take the connections of
// those that ask a moment later.
std::size_t ControlHost::expectedInstances(std::size_t asked) const
{
    return Clock::now() - started_ < returnTime ? std::max(asked, instancesBefore_) : asked;
}

std::vector<InstanceId> ControlHost::localInstances() const
{
    std::set<InstanceId> local;
    if (Clock::now() - started_ < returnTime)
        local.insert(neighboursBefore_.begin(), neighboursBefore_.end());
    for (const auto& [id, dataCentre] : entryInstances()) {
        if (dataCentre == settings_.dataCentre_)
            local.insert(id);
    }
    return { local.begin(), local.end() };
}

// Answers the load pattern "all machines start at once": entry instances know only the seeds, and other members may
// run a few hundred milliseconds earlier than these.
void ControlHost::announceStart()
{
    if (!document_)
        return;
    for (const auto& instance : neighboursBefore_)
        sendDirectory(instance, FeedResponse {});
}

void ControlHost::sendDirectory(const InstanceId& recipient, const DirectoryMessage& message)
{
    peers_.send(recipient.value_, PeerMessageKind::Directory, encodeDirectoryMessage(message, Clock::now()));
}

void ControlHost::spread(std::vector<RegisteredEndpoint> records)
{
    const auto update = updateWith(std::move(records));
    for (const auto& member : otherMembers())
        sendDirectory(member, update);
}

void ControlHost::registryChanged()
{
    saveDirectory();
    pushFeeds();
    duty_.tick();
}

std::string ControlHost::registryMark() const
{
    return self_.value_ + "/" + std::to_string(incarnation_) + "/" + std::to_string(registry_.revision_);
}

FeedResponse ControlHost::feedFor(const InstanceId& id, EntryInstance& instance) const
{
    FeedResponse answer;
    answer.confirmed_ = inContact();
    if (answer.confirmed_)
        answer.contactAge_ = std::max(Duration::zero(), Clock::now() - control_->lastContact());
    answer.catalogVersion_ = document_ ? document_->version_ : 0;
    if (document_ && document_->version_ > instance.catalogVersion_)
        answer.catalog_ = packed_;
    answer.registryVersion_ = registryMark();
    if (instance.registryMark_ != answer.registryVersion_) {
        answer.records_.emplace();
        for (const auto& [endpoint, record] : registry_.records_)
            answer.records_->push_back(record);
    }
    answer.leader_ = status_.leader_;
    for (const auto& member : status_.members_)
        answer.members_.push_back(member.instance_);
    const auto& all = entryInstances();
    answer.samples_ = sampler_.samples();
    answer.instances_ = expectedInstances(all.size());
    answer.rank_ = static_cast<std::size_t>(std::distance(all.begin(), all.lower_bound(id)));
    addNeighbours(answer, all, instance);
    addOthers(answer, all, instance);
    return answer;
}

void ControlHost::pushFeeds()
{
    for (auto& [id, instance] : instances_)
        instance.isPushDue_ = true;
    pushDueFeeds();
}

void ControlHost::pushDueFeeds()
{
    const auto now = Clock::now();
    for (auto& [id, instance] : instances_) {
        if (!instance.isPushDue_ || now - instance.pushed_ < pushInterval)
            continue;
        instance.isPushDue_ = false;
        if (now - instance.asked_ > instanceLifetime)
            continue;
        instance.pushed_ = now;
        const auto answer = feedFor(id, instance);
        sendDirectory(id, answer);
        instance.registryMark_ = answer.registryVersion_;
        instance.neighboursMark_ = answer.neighboursMark_;
        if (answer.others_)
            instance.othersMark_ = answer.othersMark_;
        instance.catalogVersion_ = std::max(instance.catalogVersion_, answer.catalogVersion_);
    }
}

void ControlHost::tick()
{
    const auto now = Clock::now();
    expireRecords(registry_, now);
    std::erase_if(calls_, [&](const auto& item) {
        if (!item.second.connection_ || now < item.second.deadline_)
            return false;
        if (item.second.isRead_)
            refuseRead(item.second, "no answer in time");
        else
            refuseChange(item.second, Outcome::Unknown, "no answer in time");
        return true;
    });
    std::erase_if(instances_, [&](const auto& item) { return now - item.second.asked_ > registryLifetime; });
    entryInstances_ = findEntryInstances();
    if (now >= nextSpread_) {
        nextSpread_ = now + spreadInterval;
        auto update = updateWith({});
        for (const auto& [id, record] : registry_.records_)
            update.records_.push_back(record);
        for (const auto& id : otherMembers()) {
            auto& member = members_[id];
            update.recipientSilent_ = now - member.heard_ > memberSilence;
            if (update.recipientSilent_ && now - member.reconnected_ > memberSilence) {
                member.reconnected_ = now;
                peers_.reconnect(id.value_);
            }
            sendDirectory(id, update);
        }
    }
    reportImpairment(now);
    pushDueFeeds();
    if (localInstances() != savedNeighbours_)
        saveDirectory();
    if (leases_.areUsed()) {
        updateProven();
        leases_.renew();
    }
    duty_.tick();
    if (catalog_)
        sampler_.tick(*catalog_, expectedInstances(entryInstances().size()));
    loop_.schedule(now + tickInterval, [this] { tick(); });
}

} // namespace cassiahollow
