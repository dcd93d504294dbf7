#include "process/GatewayTask.h"

#include "Documents.h"
#include "process/EventLog.h"

#include <algorithm>

namespace cassiahollow {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t mailboxCapacity = 5000;
    // A change of the catalog is pushed; this is how long one takes whose push was lost.
    constexpr auto askInterval = 250ms;
    // Endpoints that begin to fail together are reported together.
    constexpr auto reportDelay = 20ms;
    // Without a catalog nothing can be served, so a new instance asks as often as a round trip with the opening of two
    // connections allows.
    constexpr auto firstAskInterval = 40ms;
    // The majority's last sign of life is usually younger than this: an interval of the feed, and a heartbeat. When it
    // is not, endpoints are asked whether the instance is cut off.
    constexpr auto contactDoubt = 450ms;
    constexpr auto readinessInterval = 50ms;
    // Responses to requests before these are too old to renew anything.
    constexpr std::size_t maximumOpenRequests = 16;
    // Files of listeners, the peer sockets and the loop itself, and connections to endpoints.
    constexpr std::size_t reservedFiles = 400;
    // The time before the forced end at which statements without an answer are given up.
    constexpr auto shutdownMargin = 700ms;
    // The time before the forced end that is left for the process to end by itself. Until then, answers are sent.
    constexpr auto exitMargin = 350ms;
    constexpr auto shutdownCheck = 50ms;
    // The platform notices after two questions; until then new sessions arrive and are served.
    constexpr auto shutdownLeast = 2500ms;
    // The time in which the platform takes an instance out of rotation that is not ready.
    constexpr auto rotationTime = 2s;

    // Forwards of other instances at once; each has one connection.
    constexpr std::size_t maximumPeers = 2000;

    StatementGateway::Options gatewayOptions(const NodeSettings& settings, Incarnation incarnation)
    {
        StatementGateway::Options options { settings.name_, settings.dataCentre_, !settings.authorityChecksFences_ };
        options.failClosed_ = settings.failClosed_;
        options.revokeTime_ = settings.revokeTime_;
        options.quotas_
            = { settings.quotaWindow_, settings.quotaOverage_, settings.quotaSlack_, settings.dataCentres_.size() };
        if (settings.forward_.empty())
            return options;
        options.self_ = InstanceId(settings.peers_);
        options.incarnation_ = incarnation;
        options.forwardPort_ = settings.forward_.substr(settings.forward_.rfind(':'));
        options.deploymentKey_ = settings.deploymentKey_;
        return options;
    }

} // namespace

GatewayTask::GatewayTask(NodeSettings settings, Incarnation incarnation)
    : settings_(std::move(settings))
    , mailbox_(mailboxCapacity, [this] { loop_.wake(); })
    , peers_(
          { InstanceId(settings_.peers_), incarnation, settings_.peers_, settings_.deploymentKey_ },
          [this](PeerMessage message) { mailbox_.post(std::move(message)); },
          [this](Reason reason) { metrics_.count(reason); })
    , gateway_(loop_, metrics_, gatewayOptions(settings_, incarnation))
    , clients_(loop_, settings_.statements_,
          settings_.maximumFiles_ > 2 * reservedFiles ? settings_.maximumFiles_ - reservedFiles
                                                      : settings_.maximumFiles_ / 2,
          [this](const LineChannelPtr& channel) { gateway_.accept(channel); })
{
    // Instances begin at different members, so that each member feeds its share.
    selection_.next_ = std::hash<std::string>()(settings_.peers_);
    selection_.seeds_ = seedInstances(settings_);
    loop_.setWakeHandler([this] {
        receiveAll();
        stopWhenAnswered();
    });
    loop_.memory().configure(settings_.memoryMb_ << 20,
        [this](const ClientMemory::Event& event) { reportClosedClient(metrics_, loop_.memory(), event); });
    gateway_.setReportHandler([this] { reportSoon(); });
}

boost::leaf::result<void> GatewayTask::start()
{
    BOOST_LEAF_CHECK(peers_.start());
    const auto listener = [this](std::string name, const std::string& address) {
        HttpHandlers handlers;
        handlers.request_ = [this](const HttpConnectionPtr& c, const HttpRequest& r) { handleCall(c, r); };
        handlers.count_ = [this](Reason reason) { metrics_.count(reason); };
        return std::make_unique<HttpListener>(
            loop_, HttpListenerOptions { .name_ = std::move(name), .address_ = address }, std::move(handlers));
    };
    if (!settings_.readiness_.empty()) {
        readinessListener_ = listener("readiness", settings_.readiness_);
        BOOST_LEAF_CHECK(readinessListener_->start());
    }
    if (!settings_.metrics_.empty()) {
        metricsListener_ = listener("metrics", settings_.metrics_);
        BOOST_LEAF_CHECK(metricsListener_->start());
    }
    BOOST_LEAF_CHECK(clients_.start());
    if (!settings_.forward_.empty()) {
        forwards_ = std::make_unique<LineListener>(
            loop_, settings_.forward_, maximumPeers,
            [this](const LineChannelPtr& channel) { gateway_.acceptPeer(channel); }, "forward");
        BOOST_LEAF_CHECK(forwards_->start());
    }
    ask();
    updateReadiness();
    LogLine(LogKind::Lifecycle, "started").with("role", "entry").with("peers", settings_.peers_);
    return {};
}

void GatewayTask::run()
{
    loop_.run();
    const auto unanswered = gateway_.reportUnanswered();
    LogLine(LogKind::Lifecycle, "stopped")
        .with("role", "entry")
        .with("after", shuttingDown_ ? Clock::now() - shutdownBegan_ : Duration::zero())
        .with("sessions", static_cast<std::uint64_t>(gateway_.sessions()))
        .with("unanswered", static_cast<std::uint64_t>(unanswered))
        .with("unsent_bytes", static_cast<std::uint64_t>(unsentBytes()));
}

std::size_t GatewayTask::unsentBytes() const
{
    return clients_.queuedBytes() + (forwards_ ? forwards_->queuedBytes() : 0);
}

void GatewayTask::receiveAll()
{
    for (auto& message : mailbox_.take())
        std::visit([this](const auto& body) { receive(body); }, message);
}

void GatewayTask::receive(const Shutdown&)
{
    if (std::exchange(shuttingDown_, true))
        return;
    LogLine(LogKind::Lifecycle, "stopping")
        .with("role", "entry")
        .with("sessions", static_cast<std::uint64_t>(gateway_.sessions()));
    shutdownBegan_ = Clock::now();
    shutdownEnd_ = shutdownBegan_ + settings_.shutdown_ - exitMargin;
    gateway_.beginShutdown(
        settings_.shutdown_ / 2, std::max(settings_.shutdown_ / 2, settings_.shutdown_ - shutdownMargin));
    askNow();
    loop_.schedule(Clock::now() + shutdownLeast, [this] { finishShutdown(); });
}

bool GatewayTask::isAnswered() const
{
    return gateway_.sessions() == 0 && clients_.openConnections() == 0 && unsentBytes() == 0;
}

void GatewayTask::finishShutdown()
{
    // Connections that opened meanwhile are seen in one more interval.
    const bool wasAnswered = std::exchange(wasAnswered_, isAnswered());
    mayStop_ = wasAnswered && wasAnswered_;
    loop_.schedule(Clock::now() + shutdownCheck, [this] { finishShutdown(); });
}

// Called after each turn of the loop: within a turn, more may be read after a timer has run.
void GatewayTask::stopWhenAnswered()
{
    if (shuttingDown_ && ((mayStop_ && isAnswered()) || Clock::now() >= shutdownEnd_))
        loop_.stop();
}

void GatewayTask::receive(const Reload& reload)
{
    settings_.seeds_ = reload.settings_.seeds_;
    selection_.seeds_ = seedInstances(settings_);
    LogLine(LogKind::Lifecycle, "reloaded").with("seeds", static_cast<std::uint64_t>(settings_.seeds_.size()));
}

void GatewayTask::receive(const PeerMessage& message)
{
    if (message.kind_ != PeerMessageKind::Directory)
        return;
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(decoded, decodeDirectoryMessage(message.body_, suspendAwareNow()));
            if (const auto* answer = std::get_if<FeedResponse>(&decoded))
                receiveFeed(InstanceId(message.senderAddress_), *answer);
            return {};
        },
        [this](const Failure& failure) { metrics_.count(failure.reason_); },
        [this] { metrics_.count(Reason::MessageMalformed); });
}

void GatewayTask::receiveFeed(const InstanceId& sender, const FeedResponse& answer)
{
    const bool isPush = answer.number_ == 0;
    if (isPush && !gateway_.hasCatalog() && sender != selection_.selected_) {
        selectMember(selection_, sender);
        askNow();
    }
    const bool wasConfirmed = selection_.isConfirmed_;
    // What a response says is dated by the time of its request.
    const auto asked = askedAt_.find(answer.number_);
    const auto requestedAt = asked == askedAt_.end() ? std::nullopt : std::optional(asked->second);
    if (answer.leases_)
        gateway_.receiveLeases(*answer.leases_, requestedAt);
    if (recordFeedResponse(selection_, sender, answer.members_, answer.confirmed_, answer.number_ > 0)) {
        if (requestedAt) {
            for (const auto& sample : answer.samples_)
                gateway_.addSample(sample.group_, { *requestedAt - sample.age_, sample.position_ });
        }
        if (selection_.isConfirmed_ && !wasConfirmed)
            LogLine(LogKind::Dependency, "control_reached").with("member", sender.value_);
        // The member may have lost its majority since; it says so only after a while.
        if (answer.confirmed_ && requestedAt)
            confirmed_ = std::max(confirmed_, *requestedAt - answer.contactAge_);
        gateway_.setConfirmedContact(confirmed_);
    }
    if (answer.catalog_ && answer.catalog_->version_ > gateway_.catalogVersion()) {
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_AUTO(document, unpackCatalog(*answer.catalog_));
                BOOST_LEAF_AUTO(catalog, platform::decodeCatalog(document.document_));
                gateway_.setCatalog(std::make_shared<const RouteCatalog>(std::move(catalog)));
                return {};
            },
            [this](const Failure& failure) { metrics_.count(failure.reason_); },
            [this] { metrics_.count(Reason::SettingsInvalid); });
    }
    if (requestedAt)
        gateway_.confirmInstances(*requestedAt);
    if (answer.others_) {
        gateway_.setOtherInstances(*answer.others_);
        othersMark_ = answer.othersMark_;
    }
    if (answer.instances_ > 0)
        gateway_.setShare(answer.instances_, answer.rank_);
    if (answer.neighbours_) {
        gateway_.setNeighbours(*answer.neighbours_, answer.dataCentres_);
        neighboursMark_ = answer.neighboursMark_;
    }
    if (answer.records_) {
        gateway_.setEndpoints(*answer.records_);
        registryMark_ = answer.registryVersion_;
    }
}

void GatewayTask::handleCall(const HttpConnectionPtr& connection, const HttpRequest& request)
{
    if (request.path_ == platform::readyPath)
        return connection->reply({ readiness() == Readiness::Ready ? 200 : 503, "{}" });
    if (request.path_ == "/metrics")
        return replyMetrics(connection);
    connection->reply({ 404, "{}" });
}

void GatewayTask::replyMetrics(const HttpConnectionPtr& connection)
{
    const auto sinceConfirmed = std::chrono::duration<double>(suspendAwareNow() - confirmed_).count();
    metrics_.setGauge("log_lines_dropped", static_cast<double>(droppedLogLines()));
    setMemoryGauges(metrics_, loop_.memory());
    metrics_.setGauge("applied_catalog_version", static_cast<double>(gateway_.catalogVersion()));
    metrics_.setGauge("control_confirmed_age_seconds", selection_.isConfirmed_ ? sinceConfirmed : -1);
    metrics_.setGauge("client_sessions", static_cast<double>(gateway_.sessions()));
    metrics_.setGauge("held_groups", static_cast<double>(gateway_.heldGroups()));
    metrics_.setGauge("forwarded_statements", static_cast<double>(gateway_.forwardedStatements()));
    const auto limits = gateway_.learnedLimits();
    metrics_.setGauge("endpoint_limit_min", limits.smallest_);
    metrics_.setGauge("endpoint_limit_mean", limits.mean_);
    metrics_.setGauge("endpoint_limit_max", limits.largest_);
    metrics_.setGauge("endpoint_slowdown_max", limits.largestSlowdown_);
    metrics_.setGauge("unreachable_groups", static_cast<double>(gateway_.unreachableGroups()));
    const auto quotas = gateway_.quotaCounts();
    metrics_.setGauge("quota_ledgers", static_cast<double>(quotas.owned_));
    metrics_.setGauge("quota_fallback_ledgers", static_cast<double>(quotas.fallbacks_));
    metrics_.setGauge("quota_waiting_operations", static_cast<double>(quotas.waiting_));
    connection->reply({ 200, metrics_.render(), "text/plain" });
}

Readiness GatewayTask::readiness() const
{
    ReadinessInputs view;
    view.hasCatalog_ = gateway_.hasCatalog();
    view.hasEndpoints_ = gateway_.hasEndpoints();
    view.isStopping_ = shuttingDown_;
    view.confirmedAge_ = suspendAwareNow() - confirmed_;
    view.groups_ = gateway_.groups();
    view.unreachableGroups_ = gateway_.unreachableGroups();
    return readinessOf(view);
}

void GatewayTask::updateReadiness()
{
    const auto now = suspendAwareNow();
    const auto readiness = this->readiness();
    if (readiness != readiness_) {
        LogLine(LogKind::Belief, "readiness")
            .with("from", readinessName(readiness_))
            .with("to", readinessName(readiness))
            .with("since_confirmed", now - confirmed_)
            .with("unreachable_groups", static_cast<std::uint64_t>(gateway_.unreachableGroups()));
        readiness_ = readiness;
        readinessSince_ = now;
    }
    if (selection_.isConfirmed_ && now - confirmed_ > contactDoubt)
        gateway_.probeEndpoints();
    const bool isolated = readiness == Readiness::Isolated;
    gateway_.setIsolated(isolated, isolated && now - readinessSince_ > rotationTime);
    loop_.schedule(Clock::now() + readinessInterval, [this] { updateReadiness(); });
}

void GatewayTask::askNow()
{
    if (needsSelection(selection_)) {
        if (!selection_.selected_.empty()) {
            LogLine(LogKind::Dependency, "control_member_silent").with("member", selection_.selected_.value_);
            peers_.reconnect(selection_.selected_.value_);
        }
        selectNextMember(selection_);
    }
    if (selection_.selected_.empty())
        return;
    FeedRequest request;
    request.number_ = ++number_;
    request.catalogVersion_ = gateway_.catalogVersion();
    request.registryVersion_ = registryMark_;
    request.takesRequests_ = !shuttingDown_;
    request.missesResponses_ = selection_.unanswered_ > 0;
    request.reports_ = gateway_.reports();
    request.leaseVersion_ = gateway_.leaseVersion();
    request.dataCentre_ = settings_.dataCentre_;
    request.neighboursMark_ = neighboursMark_;
    if (gateway_.hasQuotas())
        request.othersMark_ = othersMark_;
    const auto now = suspendAwareNow();
    askedAt_.emplace(number_, now);
    if (askedAt_.size() > maximumOpenRequests)
        askedAt_.erase(askedAt_.begin());
    recordFeedRequest(selection_);
    peers_.send(selection_.selected_.value_, PeerMessageKind::Directory, encodeDirectoryMessage(request, now));
}

// Tells the leader that an endpoint has begun to fail, before the next regular question.
void GatewayTask::reportSoon()
{
    if (std::exchange(reportDue_, true))
        return;
    loop_.schedule(Clock::now() + reportDelay, [this] {
        reportDue_ = false;
        askNow();
    });
}

void GatewayTask::ask()
{
    askNow();
    // What a member without a majority says may be old, so a new instance goes on asking after it has begun to serve.
    loop_.schedule(Clock::now() + (selection_.isConfirmed_ ? askInterval : firstAskInterval), [this] { ask(); });
}

} // namespace cassiahollow
