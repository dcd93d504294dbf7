#include "version/DutyRunner.h"

#include "Documents.h"
#include "LineProtocol.h"
#include "process/EventLog.h"

namespace cassiahollow {

namespace {

    using namespace std::chrono_literals;

    // A machine that is alive accepts a session within a few round trips and a place in its queue. One that takes
    // longer and is in use by others is kept by their reports.
    constexpr auto probeTime = 250ms;
    // Connecting takes an endpoint 12 ms of a slot; a survey counts for PromotionOptions::surveyTimeout_.
    constexpr auto surveyTime = 500ms;
    // An endpoint that sheds the question is asked again after about the time in which it works off one statement.
    constexpr auto surveyRetry = 15ms;
    // A promotion takes up to a second at the authority.
    constexpr auto orderTime = 1500ms;

    // The start of a session at an endpoint, on a new connection, shows whether it works now.
    struct Probe : boost::intrusive_ref_counter<Probe, boost::thread_unsafe_counter> {
        EndpointLinkPtr link_;
        std::function<void(bool alive)> done_;

        void finish(bool alive)
        {
            const boost::intrusive_ptr<Probe> keepAlive(this);
            link_->abandon();
            if (const auto done = std::exchange(done_, nullptr))
                done(alive);
        }

        // An endpoint that is full is alive; another one at the address is not the one that was meant.
        void refused()
        {
            const auto refusal = link_->refusal();
            finish(refusal && *refusal != StatementError::WrongEndpoint);
        }
    };

    // One conversation with an endpoint: start, and the status question or an order, again after it was shed.
    struct Survey : boost::intrusive_ref_counter<Survey, boost::thread_unsafe_counter> {
        EndpointLinkPtr link_;
        std::string question_;
        std::function<void()> askLater_;
        std::function<void(const std::optional<platform::DatabaseStatus>&)> done_;

        void finish(const std::optional<platform::DatabaseStatus>& status)
        {
            const boost::intrusive_ptr<Survey> keepAlive(this);
            link_->abandon();
            if (const auto done = std::exchange(done_, nullptr))
                done(status);
        }

        // Only this question is asked on the connection, so a row that comes twice says the same.
        void ask()
        {
            if (!done_)
                return;
            link_->exchange(ownStatement(question_, { .hasRows_ = true, .acceptsRepeatedErrors_ = true }),
                [survey = boost::intrusive_ptr<Survey>(this)](const EndpointReply* reply) {
                    if (reply)
                        survey->handle(*reply);
                });
        }

        void handle(const EndpointReply& reply)
        {
            if (reply.error_ && reply.error_->error_ == StatementError::Overloaded)
                return askLater_();
            const bool isAnswered = !reply.error_ && reply.rows_.size() == 1;
            finish(isAnswered ? platform::decodeStatus(reply.rows_.front()) : std::nullopt);
        }
    };

} // namespace

DutyRunner::DutyRunner(EventLoop& loop, Metrics& metrics, DutyRunnerOptions options, const EndpointRegistry& registry,
    PrimaryLeases& leases, RequestGrant requestGrant)
    : loop_(loop)
    , metrics_(metrics)
    , options_(std::move(options))
    , registry_(registry)
    , leases_(leases)
    , requestGrant_(std::move(requestGrant))
    , sockets_(loop)
    , calls_(loop)
{
}

DutyRunner::~DutyRunner()
{
    *alive_ = false;
}

void DutyRunner::setLeading(bool leading)
{
    if (leading == leading_)
        return;
    leading_ = leading;
    ++reign_;
    beginDuty(duty_, Clock::now());
    loggedPhases_.clear();
}

void DutyRunner::setGrants(const PromotionGrants& grants)
{
    auto& granted = duty_.latestGrants_.emplace();
    for (const auto& [group, grant] : grants)
        granted.emplace(group, grant.endpoint_);
}

void DutyRunner::reported(const InstanceId& instance, const std::vector<EndpointObservation>& reports)
{
    handleReports(duty_, instance, reports, Clock::now());
    tick();
}

void DutyRunner::granted(const GroupId& group, std::optional<std::uint64_t> fence)
{
    finish(reign_, GrantResult { group, fence });
}

void DutyRunner::tick()
{
    if (!leading_ || !catalog_ || ticking_)
        return;
    ticking_ = true;
    std::optional<PromotionGate> gate;
    if (leases_.areUsed())
        gate = leases_.gate(*catalog_);
    const auto actions
        = tickDuty(duty_, registry_, *catalog_, options_.promotion_, Clock::now(), gate ? &*gate : nullptr);
    if (gate)
        leases_.set(duty_, registry_, *catalog_);
    logPhases();
    for (const auto& action : actions)
        std::visit([this](const auto& body) { carryOut(body); }, action);
    ticking_ = false;
    // An answer that came while the actions were carried out is taken up at once.
    if (!actions.empty())
        loop_.schedule(Clock::now(), [this] { tick(); });
}

void DutyRunner::logPhases()
{
    for (const auto& [id, group] : duty_.groups_) {
        auto& logged = loggedPhases_[id];
        if (logged == group.phase_)
            continue;
        logged = group.phase_;
        LogLine(LogKind::Promotion, phaseName(group.phase_))
            .with("group", id.value_)
            .with("primary", group.primary_.value_)
            .with("target", group.target_.value_)
            .with("cause", causeName(group.cause_))
            .with("fence", group.fence_)
            .with("failed_probes", static_cast<std::uint64_t>(group.failedProbes_));
    }
}

template <typename Result> void DutyRunner::finish(std::uint64_t reign, const Result& result)
{
    if (reign != reign_ || !leading_)
        return;
    handleResult(duty_, result);
    tick();
}

EndpointLink::Target DutyRunner::targetOf(const RegisteredEndpoint& record) const
{
    return { record.id_, record.group_, record.address_, options_.holder_ };
}

void DutyRunner::carryOut(const ProbeAction& action)
{
    const auto record = registry_.records_.find(action.endpoint_);
    if (record == registry_.records_.end())
        return;
    const boost::intrusive_ptr<Probe> probe(new Probe);
    probe->done_ = [this, owner = alive_, reign = reign_, id = action.endpoint_](bool alive) {
        if (*owner)
            finish(reign, ProbeResult { id, alive });
    };
    probe->link_ = new EndpointLink(sockets_, metrics_, targetOf(record->second), probeTime, probeTime,
        { .ready_ = [probe] { probe->finish(true); }, .closed_ = [probe] { probe->refused(); } });
    loop_.schedule(Clock::now() + probeTime, [probe] { probe->finish(false); });
}

void DutyRunner::carryOut(const SurveyAction& action)
{
    ask(action.endpoint_, action.request_,
        action.pauseTerm_ > 0 ? platform::pauseText(action.pauseTerm_) : std::string());
}

void DutyRunner::carryOut(const ResumeAction& action)
{
    ask(action.endpoint_, action.request_, std::string(platform::resumeText()));
}

void DutyRunner::carryOut(const StepDownAction& action)
{
    ask(action.endpoint_, action.request_, platform::stepDownText(action.term_));
}

void DutyRunner::ask(const EndpointId& endpoint, EndpointRequestNumber request, std::string order)
{
    const auto record = registry_.records_.find(endpoint);
    if (record == registry_.records_.end())
        return;
    const boost::intrusive_ptr<Survey> survey(new Survey);
    survey->question_ = order.empty() ? std::string(platform::statusText()) : order;
    survey->done_ = [this, owner = alive_, reign = reign_, endpoint, request, order](
                        const std::optional<platform::DatabaseStatus>& status) {
        if (!*owner)
            return;
        SurveyResult result { .endpoint_ = endpoint, .request_ = request };
        if (status) {
            result.lag_ = status->lag_;
            result.received_ = status->received_;
            result.highestTerm_ = std::max(status->held_, status->received_.term_);
            result.role_ = status->role_;
            result.term_ = status->term_;
        }
        LogLine(LogKind::Promotion, "surveyed")
            .with("endpoint", endpoint.value_)
            .with("order", order.empty() ? std::string_view("none") : std::string_view(order))
            .with("role", status && result.role_ == EndpointRole::Primary ? "primary" : "replica")
            .with("answered", static_cast<std::uint64_t>(status ? 1 : 0))
            .with("term", result.term_)
            .with("highest_term", result.highestTerm_)
            .with("position_term", result.received_ ? result.received_->term_ : 0)
            .with("position", result.received_ ? result.received_->index_ : 0)
            .with("lag", result.lag_);
        finish(reign, result);
    };
    survey->askLater_ = [this, survey = survey.get()] {
        loop_.schedule(Clock::now() + surveyRetry, [kept = boost::intrusive_ptr<Survey>(survey)] { kept->ask(); });
    };
    survey->link_ = new EndpointLink(sockets_, metrics_, targetOf(record->second), surveyTime, surveyTime,
        { .ready_ = [survey] { survey->ask(); }, .closed_ = [survey] { survey->finish(std::nullopt); } });
    loop_.schedule(Clock::now() + surveyTime, [survey] { survey->finish(std::nullopt); });
}

void DutyRunner::carryOut(const GrantAction& action)
{
    requestGrant_({ action.group_, action.endpoint_, options_.instance_ });
}

void DutyRunner::carryOut(const OrderAction& action)
{
    const auto order = platform::encodePromote(action.group_, action.endpoint_, options_.holder_, action.fence_);
    HttpCallRequest request { .method_ = "POST",
        .address_ = options_.authority_,
        .path_ = std::string(platform::promotePath),
        .headers_ = { { std::string(platform::holderHeaderName), order.holderHeader_ },
            { std::string(platform::fenceHeaderName), order.fenceHeader_ } },
        .body_ = order.body_ };
    calls_.call(std::move(request), orderTime, [this, reign = reign_, action](const HttpCallResult& result) {
        LogLine(LogKind::Promotion, "order_answered")
            .with("group", action.group_.value_)
            .with("target", action.endpoint_.value_)
            .with("fence", action.fence_)
            .with("status", static_cast<std::uint64_t>(result.status_));
        OrderOutcome outcome = OrderOutcome::Unknown;
        switch (platform::decodePromoteStatus(result.status_)) {
        case platform::PromoteAnswer::Accepted:
            outcome = OrderOutcome::Accepted;
            break;
        case platform::PromoteAnswer::Refused:
            outcome = OrderOutcome::Refused;
            break;
        case platform::PromoteAnswer::Limited:
            outcome = OrderOutcome::Limited;
            break;
        case platform::PromoteAnswer::Unknown:
            break;
        }
        finish(reign, OrderResult { action.group_, outcome });
    });
}

} // namespace cassiahollow
