#include "process/EventLog.h"
#include "request/GatewayState.h"

// Quotas of client accounts: each operation of this instance's clients takes a token before its first statement is sent
// anywhere.
namespace cassiahollow {

namespace {

    using namespace std::chrono_literals;

    // An instance that cannot be reached is left out for this long, unless its connection names a later time.
    constexpr auto lostPause = 250ms;

} // namespace

// Applies the quotas of a newer catalog.
void StatementGateway::updateQuotas()
{
    std::map<AccountId, QuotaLimit> limits;
    if (catalog_->accounts_) {
        for (const auto& account : catalog_->accounts_->accounts_) {
            if (account.quota_)
                limits.emplace(account.name_, *account.quota_);
        }
    }
    if (limits.empty() && !hasQuotas())
        return;
    setQuotaLimits(quotas_, std::move(limits), suspendAwareNow());
    updateQuotaView();
    // What waits for a token of an account without a quota runs now.
    std::vector<JobPtr> unlimited;
    for (const auto& [number, job] : awaitToken_) {
        if (!quotas_.limits_.contains(job->session_->account_))
            unlimited.push_back(job);
    }
    for (const auto& job : unlimited) {
        if (job->isDone_)
            continue;
        cancelToken(quotas_, job->session_->account_, job->quotaOperation_);
        awaitToken_.erase(job->quotaOperation_);
        submit(job);
    }
}

// The instances among which owners are chosen.
void StatementGateway::updateQuotaView()
{
    if (!hasQuotas())
        return;
    QuotaView view { options_.self_, options_.dataCentre_, {}, instances_ };
    auto settings = options_.quotas_;
    if (options_.self_.empty()) {
        // Instances that do not talk to each other each have an equal part.
        view.self_ = InstanceId(options_.instance_);
        view.instances_[view.dataCentre_] = { view.self_ };
        view.expected_ = 1;
        mostDataCentres_ = std::max(mostDataCentres_, instances_);
        settings.dataCentres_ = mostDataCentres_;
    } else {
        view.instances_[view.dataCentre_] = neighbours_;
        for (const auto& other : others_)
            view.instances_[other.dataCentre_] = other.instances_;
        // Without the setting, a data centre that is out of reach must not change the number.
        mostDataCentres_ = std::max(mostDataCentres_, dataCentres_);
        if (settings.dataCentres_ == 0)
            settings.dataCentres_ = mostDataCentres_;
    }
    quotas_.settings_ = settings;
    QuotaActions actions;
    setQuotaView(quotas_, std::move(view), suspendAwareNow(), actions);
    carryOut(std::move(actions));
}

void StatementGateway::setOtherInstances(std::vector<DataCentreInstances> others)
{
    others_ = std::move(others);
    updateQuotaView();
}

void StatementGateway::confirmInstances(TimePoint askedAt)
{
    confirmQuotaView(quotas_, askedAt, suspendAwareNow());
}

StatementGateway::QuotaCounts StatementGateway::quotaCounts() const
{
    QuotaCounts counts;
    for (const auto& [account, ledger] : quotas_.ledgers_)
        ++(ledger.isOwner_ ? counts.owned_ : counts.fallbacks_);
    counts.waiting_ = awaitToken_.size();
    return counts;
}

// Begins the operation of the statement, or goes on with it.
void StatementGateway::takeTokenFor(const JobPtr& job)
{
    const auto& session = job->session_;
    const bool begins = session->sql_.transaction_ != TransactionState::Open;
    if (!begins || session->peer_ || !quotas_.limits_.contains(session->account_))
        return submit(job);
    const auto now = suspendAwareNow();
    job->quotaOperation_ = ++lastQuotaOperation_;
    awaitToken_.emplace(job->quotaOperation_, job);
    QuotaActions actions;
    takeToken(
        quotas_, session->account_, job->quotaOperation_, job->arrived_ + job->route_->statementTimeout_, now, actions);
    carryOut(std::move(actions));
}

void StatementGateway::carryOut(QuotaActions actions)
{
    // Requests first, so that they do not wait for the statements that follow a decision.
    for (auto& send : actions.sends_)
        sendQuota(send);
    for (const auto& decision : actions.decisions_)
        decided(decision);
    scheduleQuotaWakeup();
}

void StatementGateway::sendQuota(const QuotaSend& send)
{
    const bool isReply
        = std::holds_alternative<QuotaGrant>(send.message_) || std::holds_alternative<QuotaLoan>(send.message_);
    const auto message = std::visit([](const auto& body) { return HolderMessage(body); }, send.message_);
    if (isReply) {
        if (const auto* grant = std::get_if<QuotaGrant>(&send.message_))
            metrics_.add(CounterId::QuotaTokensGranted, grant->tokens_);
        if (const auto* loan = std::get_if<QuotaLoan>(&send.message_))
            metrics_.add(CounterId::QuotaTokensLent, loan->tokens_);
        // Without the connection, the tokens are lost.
        if (const auto peer = quotaPeers_.find(send.to_); peer != quotaPeers_.end())
            peer->second->channel_->send(encodeHolderMessage(message));
        return;
    }
    metrics_.add(CounterId::QuotaRequests);
    const auto holder = holderOf(send.to_);
    openHolder(holder);
    if (holder->channel_)
        return holder->channel_->send(encodeHolderMessage(message));
    quotaInstanceLost(holder);
}

void StatementGateway::quotaInstanceLost(const HolderPtr& holder)
{
    if (!hasQuotas())
        return;
    const auto now = suspendAwareNow();
    QuotaActions actions;
    loseInstance(quotas_, holder->id_, std::max<TimePoint>(holder->avoidUntil_, now + lostPause), now, actions);
    carryOut(std::move(actions));
}

void StatementGateway::quotaInstanceLeft(const InstanceId& instance)
{
    if (!hasQuotas())
        return;
    QuotaActions actions;
    leaveInstance(quotas_, instance, suspendAwareNow(), actions);
    carryOut(std::move(actions));
}

void StatementGateway::giveUpQuotas()
{
    if (!hasQuotas())
        return;
    QuotaActions actions;
    giveUpLedgers(quotas_, suspendAwareNow(), actions);
    carryOut(std::move(actions));
}

void StatementGateway::receiveQuotaFrom(const InstanceId& instance, const QuotaMessage& message)
{
    QuotaActions actions;
    receiveQuota(quotas_, instance, message, suspendAwareNow(), actions);
    carryOut(std::move(actions));
}

void StatementGateway::receiveQuotaFrom(const PeerPtr& peer, const QuotaMessage& message)
{
    const InstanceId instance(peer->instance_);
    quotaPeers_[instance] = peer;
    receiveQuotaFrom(instance, message);
}

void StatementGateway::handle(const HolderPtr& holder, const QuotaGrant& message)
{
    receiveQuotaFrom(holder->id_, message);
}

void StatementGateway::handle(const HolderPtr& holder, const QuotaLoan& message)
{
    receiveQuotaFrom(holder->id_, message);
}

void StatementGateway::handle(const PeerPtr& peer, const QuotaRequest& message)
{
    receiveQuotaFrom(peer, message);
}

void StatementGateway::handle(const PeerPtr& peer, const LoanRequest& message)
{
    receiveQuotaFrom(peer, message);
}

void StatementGateway::handle(const PeerPtr& peer, const QuotaHandover& message)
{
    receiveQuotaFrom(peer, message);
}

void StatementGateway::decided(const QuotaDecision& decision)
{
    const auto found = awaitToken_.find(decision.operation_);
    if (found == awaitToken_.end())
        return returnUnused(decision);
    const auto job = found->second;
    awaitToken_.erase(found);
    if (job->isDone_ || job->session_->closed_)
        return returnUnused(decision);
    if (!decision.isAdmitted_)
        return refuseForQuota(job, decision);
    job->token_ = decision;
    submit(job);
}

void StatementGateway::returnUnused(const QuotaDecision& decision)
{
    if (decision.isAdmitted_)
        returnToken(quotas_, decision, suspendAwareNow());
}

// The statement has ended. If it was sent nowhere, another operation may use its token.
void StatementGateway::releaseToken(const JobPtr& job)
{
    if (job->quotaOperation_ == 0)
        return;
    if (awaitToken_.erase(job->quotaOperation_) > 0)
        cancelToken(quotas_, job->session_->account_, job->quotaOperation_);
    const auto token = std::exchange(job->token_, std::nullopt);
    if (token && job->attempts_ == 0)
        returnUnused(*token);
}

void StatementGateway::refuseForQuota(const JobPtr& job, const QuotaDecision& decision)
{
    const auto& session = job->session_;
    const auto reason = decision.isUnavailable_ ? Reason::QuotaUnavailable : Reason::QuotaExceeded;
    const auto comeBack = std::chrono::ceil<std::chrono::milliseconds>(decision.comeBack_);
    metrics_.count(reason);
    LogLine(LogKind::Refusal, reasonInfo(reason).name_)
        .with("request", job->id_)
        .with("account", session->account_.value_)
        .with("waited", suspendAwareNow() - job->arrived_)
        .with("come_back", comeBack);
    jobDone(job);
    if (session->closed_)
        return;
    if (job->kind_ == StatementKind::Commit) {
        release(session, true);
        session->sql_.transaction_ = TransactionState::None;
    }
    failStatement(session, StatementError::Overloaded,
        "not run, " + std::string(reasonInfo(reason).name_) + ", retry-after-ms=" + std::to_string(comeBack.count()));
}

void StatementGateway::wakeQuotaTimer()
{
    if (!hasQuotas())
        return;
    QuotaActions actions;
    wakeQuotas(quotas_, suspendAwareNow(), actions);
    carryOut(std::move(actions));
}

void StatementGateway::scheduleQuotaWakeup()
{
    const auto wake = nextQuotaWakeup(quotas_);
    if (wake == quotaWakeAt_)
        return;
    if (std::exchange(quotaWakeAt_, wake))
        loop_.cancel(quotaTimer_);
    if (!wake)
        return;
    quotaTimer_ = loop_.schedule(Clock::now() + std::max<Duration>(*wake - suspendAwareNow(), 1ms), [this] {
        quotaWakeAt_.reset();
        wakeQuotaTimer();
    });
}

} // namespace cassiahollow
