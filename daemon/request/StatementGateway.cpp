#include "request/StatementGateway.h"

#include "process/EventLog.h"
#include "request/GatewayState.h"

#include <openssl/crypto.h>

// The sessions of the gateway: what clients send, and what is answered without an endpoint.
namespace cassiahollow {

namespace {

    using namespace std::chrono_literals;

    constexpr auto tickInterval = 50ms;
    // Resting sessions that are closed in one tick of a shutdown, so that they come back at other instances one after
    // the other and not all at once.
    constexpr std::size_t closedPerTick = 8;
    // Spare connections are looked at four times a second.
    constexpr std::uint64_t spareLinkTicks = 5;

} // namespace

StatementGateway::StatementGateway(EventLoop& loop, Metrics& metrics, Options options)
    : loop_(loop)
    , metrics_(metrics)
    , options_(std::move(options))
    , sockets_(loop)
{
    tick();
}

StatementGateway::~StatementGateway()
{
    // The loop may go on for a moment, and must not call into this object.
    for (const auto& session : sessions_) {
        if (session->channel_)
            session->channel_->close();
    }
    for (const auto& [id, holder] : holders_) {
        if (holder->channel_)
            holder->channel_->close();
    }
    for (const auto& peer : peers_)
        peer->channel_->close();
    for (const auto& [id, endpoint] : endpoints_) {
        for (const auto& link : std::exchange(endpoint->links_, {}))
            link->abandon();
    }
}

void StatementGateway::accept(const LineChannelPtr& channel)
{
    const SessionPtr session(new Session);
    session->channel_ = channel;
    session->used_ = suspendAwareNow();
    sessions_.insert(session);
    channel->setHandlers({ .opened_ = {},
        .received_ = [this, session](std::string_view bytes) { return receive(session, bytes); },
        .closed_ = [this, session] { channelClosed(session); } });
}

void StatementGateway::channelClosed(const SessionPtr& session)
{
    if (session->channel_->isClosing() && session->channel_->hasInput()) {
        metrics_.add(CounterId::ClosedWithInput);
        LogLine(LogKind::Uncertain, "closed_with_input").with("previous", session->lastRequest_);
    }
    sessionClosed(session);
}

std::size_t StatementGateway::receive(const SessionPtr& session, std::string_view bytes)
{
    std::size_t taken = 0;
    while (!session->busy_ && !session->closed_ && session->channel_->hasRoom()) {
        const auto line = session->reader_.take(bytes, taken);
        if (!line)
            break;
        session->used_ = suspendAwareNow();
        goOn(session);
        auto message = platform::decodeClientLine(*line);
        if (auto* start = std::get_if<platform::ClientStart>(&message)) {
            handle(session, std::move(*start));
        } else if (auto* query = std::get_if<platform::ClientQuery>(&message); query && session->started_) {
            handle(session, std::move(*query));
        } else if (std::holds_alternative<platform::ClientEnd>(message)) {
            session->channel_->close();
            sessionClosed(session);
        } else {
            metrics_.count(Reason::MalformedRequest);
            LogLine(LogKind::Refusal, "message_malformed")
                .with("bytes", static_cast<std::uint64_t>(line->size()))
                .with("previous", session->lastRequest_);
            session->channel_->send(platform::encodeError(StatementError::Malformed, "not understood"));
            session->channel_->closeWhenSent();
            sessionClosed(session);
        }
    }
    if (!session->closed_ && session->reader_.isTooLong()) {
        metrics_.count(Reason::RequestTooLarge);
        session->channel_->close();
        sessionClosed(session);
    }
    if (taken < bytes.size() && mayAwaitRest(*session))
        goOn(session);
    session->channel_->setTaking(!session->busy_ && session->channel_->hasRoom());
    return taken;
}

// Takes closeSession() back.
void StatementGateway::goOn(const SessionPtr& session)
{
    if (std::exchange(session->isClosing_, false))
        session->channel_->keepOpen();
}

// Whether there is time for the rest of a message that the client has begun to send.
bool StatementGateway::mayAwaitRest(const Session& session) const
{
    return !session.isRevoked_ && !(shuttingDown_ && suspendAwareNow() > answersEnd_);
}

void StatementGateway::handle(const SessionPtr& session, platform::ClientStart start)
{
    if (!session->started_) {
        session->key_ = digestOf(start.key_);
        OPENSSL_cleanse(start.key_.data(), start.key_.size());
    }
    if (catalog_ || session->started_)
        return begin(session, start.database_);
    // The session is not known to be wrong; it begins once the catalog has come.
    session->heldDatabase_ = std::move(start.database_);
    session->channel_->setStarted();
    session->busy_ = true;
}

void StatementGateway::begin(const SessionPtr& session, const std::string& database)
{
    const auto* route = session->started_ ? nullptr : findRoute(*catalog_, database);
    if (!route) {
        metrics_.count(Reason::UnknownService);
        LogLine(LogKind::Refusal, "session_refused").with("database", database).with("catalog", catalogVersion());
        session->channel_->send(platform::encodeError(StatementError::UnknownDatabase, database));
        session->channel_->closeWhenSent();
        sessionClosed(session);
        return;
    }
    const auto account = accountFor(*catalog_, *route, session->key_);
    if (!account)
        return refuseKey(session, database);
    session->account_ = *account;
    session->started_ = true;
    session->channel_->setStarted();
    session->sql_.database_ = database;
    session->channel_->send(platform::encodeReady(SessionMark::Idle, {}));
}

void StatementGateway::startHeld()
{
    std::vector<SessionPtr> held;
    std::copy_if(sessions_.begin(), sessions_.end(), std::back_inserter(held),
        [](const SessionPtr& session) { return session->heldDatabase_.has_value(); });
    for (const auto& session : held) {
        session->busy_ = false;
        begin(session, *std::exchange(session->heldDatabase_, std::nullopt));
        if (!session->closed_)
            session->channel_->offer();
    }
}

bool StatementGateway::isContactTooOld() const
{
    return options_.failClosed_ && suspendAwareNow() - confirmedContact_ > options_.revokeTime_;
}

// Refuses a key that the catalog does not have, and ends the session. The catalog may be out of date at an instance
// that has lost contact, so the client is told to try another one then.
void StatementGateway::refuseKey(const SessionPtr& session, std::string_view database)
{
    const bool mayBeKnown = isolated_ || isContactTooOld();
    const auto reason = mayBeKnown ? Reason::KeysUnconfirmed : Reason::UnknownKey;
    metrics_.count(reason);
    LogLine(LogKind::Refusal, "session_refused")
        .with("cause", reasonInfo(reason).name_)
        .with("database", database)
        .with("catalog", catalogVersion());
    session->channel_->send(mayBeKnown
            ? platform::encodeError(StatementError::Overloaded, "not run, the key may be newer than this instance")
            : platform::encodeError(StatementError::UnknownKey, "the key is unknown"));
    session->channel_->closeWhenSent();
    sessionClosed(session);
}

// Checks the key of a session whose next operation begins, and assigns the account. False if it was refused.
bool StatementGateway::identify(const SessionPtr& session)
{
    auto account = accountFor(*catalog_, *session->route_, session->key_);
    if (!account) {
        refuseKey(session, session->sql_.database_);
        return false;
    }
    session->account_ = std::move(*account);
    if (session->account_.empty() || !isContactTooOld())
        return true;
    metrics_.count(Reason::KeysUnconfirmed);
    refuse(session, StatementError::Overloaded, "not run, this instance has lost contact; use another one");
    return false;
}

// Ends the sessions whose key the catalog has lost, each at the end of its statement.
void StatementGateway::endRemovedKeys()
{
    std::vector<SessionPtr> revoked;
    for (const auto& session : sessions_) {
        // A session without an account is asked for its key when its next operation begins.
        if (!session->channel_ || session->account_.empty() || session->isRevoked_)
            continue;
        const auto* route = findRoute(*catalog_, session->sql_.database_);
        if (!accountFor(*catalog_, route ? *route : Route(), session->key_))
            revoked.push_back(session);
    }
    if (revoked.empty())
        return;
    LogLine(LogKind::Belief, "keys_removed")
        .with("catalog", catalogVersion())
        .with("sessions", static_cast<std::uint64_t>(revoked.size()));
    for (const auto& session : revoked) {
        metrics_.count(Reason::KeyRemoved);
        session->isRevoked_ = true;
        if (!session->busy_)
            endRevoked(session);
    }
}

// Closes a session with a removed key, or rolls its transaction back: the client learns that with its next statement.
void StatementGateway::endRevoked(const SessionPtr& session)
{
    auto& sql = session->sql_;
    if (sql.transaction_ == TransactionState::None)
        return closeSession(session);
    release(session, true);
    sql.transaction_ = TransactionState::Failed;
    session->aborted_ = true;
}

void StatementGateway::handle(const SessionPtr& session, platform::ClientQuery query)
{
    auto& sql = session->sql_;
    const auto& statement = query.statement_;
    session->lastRequest_ = query.id_;
    const bool ends = statement.kind_ == StatementKind::Commit || statement.kind_ == StatementKind::Rollback;
    if (statement.kind_ == StatementKind::Malformed
        || (sql.transaction_ == TransactionState::Failed && !ends && !session->aborted_)) {
        metrics_.count(Reason::MalformedRequest);
        return refuse(session, StatementError::Malformed, "not understood or not allowed now");
    }
    // The client takes its transaction for open; the promise that nothing is kept reaches it once.
    if (std::exchange(session->aborted_, false) && statement.kind_ != StatementKind::Rollback) {
        if (statement.kind_ == StatementKind::Commit || session->isRevoked_)
            sql.transaction_ = TransactionState::None;
        refuse(session, StatementError::Aborted, "the transaction was ended");
        return sql.transaction_ == TransactionState::None ? finishOperation(session) : void();
    }
    // A change of a route applies from the next operation on.
    if (sql.transaction_ == TransactionState::None) {
        session->catalog_ = catalog_;
        session->route_ = findRoute(*catalog_, sql.database_);
        if (!session->route_) {
            metrics_.count(Reason::UnknownService);
            return refuse(session, StatementError::UnknownDatabase, sql.database_);
        }
        if (!identify(session))
            return;
    }
    switch (statement.kind_) {
    case StatementKind::Begin:
    case StatementKind::BeginReadOnly:
        return beginTransaction(session, statement.kind_ == StatementKind::BeginReadOnly);
    case StatementKind::Commit:
    case StatementKind::Rollback:
        return endTransaction(session, query.id_, statement);
    case StatementKind::Set:
        return setValue(sql, statement.name_, statement.argument_)
            ? answerLocal(session)
            : refuse(session, StatementError::Failed, "too many values");
    case StatementKind::Prepare:
        return prepare(sql, statement.name_, { statement.argument_, statement.prepareWrites_ })
            ? answerLocal(session)
            : refuse(session, StatementError::Failed, "too many prepared names");
    case StatementKind::Deallocate:
        return sql.prepared_.erase(statement.name_) > 0 ? answerLocal(session)
                                                        : refuse(session, StatementError::UnknownName, statement.name_);
    default:
        return runStatement(session, std::move(query.id_), statement);
    }
}

void StatementGateway::beginTransaction(const SessionPtr& session, bool readOnly)
{
    auto& sql = session->sql_;
    if (sql.transaction_ != TransactionState::None)
        return refuse(session, StatementError::Malformed, "a transaction is open");
    if (isTooLateToBegin(*session->route_, true))
        return refuseForShutdown(session);
    sql.transaction_ = TransactionState::Deferred;
    sql.readOnly_ = readOnly;
    sql.startedAt_ = suspendAwareNow();
    session->wrote_ = false;
    answerLocal(session);
}

void StatementGateway::endTransaction(const SessionPtr& session, const std::string& id, const Statement& statement)
{
    auto& sql = session->sql_;
    if (sql.transaction_ == TransactionState::None)
        return refuse(session, StatementError::Malformed, "no transaction is open");
    const bool commits = statement.kind_ == StatementKind::Commit;
    if (commits && sql.transaction_ != TransactionState::Failed)
        return runStatement(session, id, statement);
    const bool failed = sql.transaction_ == TransactionState::Failed;
    release(session, true);
    sql.transaction_ = TransactionState::None;
    if (commits && failed)
        refuse(session, StatementError::Aborted, "the transaction had failed");
    else
        answerLocal(session);
    finishOperation(session);
}

void StatementGateway::runStatement(const SessionPtr& session, std::string id, const Statement& statement)
{
    auto& sql = session->sql_;
    const bool begins = sql.transaction_ != TransactionState::Open && statement.kind_ != StatementKind::Commit;
    if (begins && isTooLateToBegin(*session->route_, sql.transaction_ == TransactionState::Deferred))
        return refuseForShutdown(session);
    const JobPtr job(new Job);
    job->session_ = session;
    job->id_ = std::move(id);
    job->text_ = statement.text_;
    job->kind_ = statement.kind_;
    if (statement.kind_ == StatementKind::Execute) {
        job->shape_ = preparedShape(sql, statement.name_);
        if (!job->shape_)
            return refuse(session, StatementError::UnknownName, statement.name_);
        job->kind_ = job->shape_->writes_ ? StatementKind::Write : StatementKind::Read;
        job->text_ = platform::executeText(sharedStatementName(*job->shape_), statement.argument_);
    }
    job->catalog_ = session->catalog_;
    job->route_ = session->route_;
    job->group_ = session->route_->group_;
    job->arrived_ = suspendAwareNow();
    job->ageFrom_ = sql.transaction_ == TransactionState::None ? job->arrived_ : sql.startedAt_;
    job->opensTransaction_ = sql.transaction_ == TransactionState::Deferred;
    job->needsPrimary_ = needsPrimary(*job);
    session->busy_ = true;
    session->job_ = job;
    takeTokenFor(job);
}

void StatementGateway::answerLocal(const SessionPtr& session)
{
    const bool open = session->sql_.transaction_ != TransactionState::None;
    session->channel_->send(*platform::encodeResult({}, platform::unsignedAnswer)
        + platform::encodeReady(open ? SessionMark::InTransaction : SessionMark::Idle, session->position_));
}

void StatementGateway::answer(const SessionPtr& session, const EndpointReply& reply)
{
    if (session->peer_)
        return replyToPeer(
            session, { .rows_ = reply.rows_, .signature_ = reply.signature_, .position_ = reply.position_ });
    const auto result = platform::encodeResult(reply.rows_, reply.signature_);
    if (!result) {
        metrics_.count(Reason::MessageMalformed);
        return refuse(session, StatementError::InDoubt, "the answer does not fit into a message");
    }
    if (reply.position_.term_ > 0)
        session->position_ = reply.position_;
    const bool open = session->sql_.transaction_ != TransactionState::None;
    const auto mark = open ? SessionMark::InTransaction : SessionMark::Idle;
    session->channel_->send(*result + platform::encodeReady(mark, session->position_));
}

void StatementGateway::refuse(const SessionPtr& session, StatementError error, std::string_view text)
{
    auto& sql = session->sql_;
    if (sql.transaction_ == TransactionState::Deferred || sql.transaction_ == TransactionState::Open) {
        release(session, true);
        sql.transaction_ = TransactionState::Failed;
    }
    if (session->peer_)
        return replyToPeer(session, { .error_ = error, .errorText_ = std::string(text) });
    const auto mark = sql.transaction_ == TransactionState::Failed ? SessionMark::Failed : SessionMark::Idle;
    session->channel_->send(platform::encodeError(error, text) + platform::encodeReady(mark, session->position_));
}

void StatementGateway::release(const SessionPtr& session, bool rollback)
{
    endRemote(session);
    const auto link = std::exchange(session->link_, nullptr);
    if (!link || link->isClosed())
        return;
    if (!rollback)
        return freeLink(link, true);
    link->exchange(rollbackStatement(),
        [this, link](const EndpointReply* reply) { freeLink(link, reply && reply->mark_ == SessionMark::Idle); });
}

void StatementGateway::sessionClosed(const SessionPtr& session)
{
    if (std::exchange(session->closed_, true))
        return;
    sessions_.erase(session);
    if (const auto job = std::exchange(session->job_, nullptr); job && !job->isDone_) {
        endForwards(job);
        // What runs goes on to its end; its answer goes nowhere.
        if (job->item_.state_ != AdmissionItem::State::Running && !job->link_)
            jobDone(job);
        else if (session->link_)
            session->link_->close();
    }
    session->sql_.transaction_ = TransactionState::None;
    release(session, true);
}

void StatementGateway::finishOperation(const SessionPtr& session)
{
    session->used_ = suspendAwareNow();
    if (!session->channel_ || session->closed_ || session->busy_)
        return;
    if (session->isRevoked_)
        return endRevoked(session);
    if (shuttingDown_ && session->sql_.transaction_ == TransactionState::None)
        closeSession(session);
}

// Closes a session that waits for its client's next statement. One that arrives before the connection closes is still
// served.
void StatementGateway::closeSession(const SessionPtr& session)
{
    session->isClosing_ = true;
    session->channel_->closeWhenSent();
}

void StatementGateway::endIdleTransactions()
{
    const auto now = suspendAwareNow();
    std::vector<SessionPtr> endedPeers;
    std::vector<SessionPtr> endedRevoked;
    for (const auto& session : sessions_) {
        auto& sql = session->sql_;
        // A session that has sent no statement has no catalog of its own.
        const auto& catalog = session->catalog_ ? session->catalog_ : catalog_;
        if (session->isRevoked_ && !session->busy_ && !session->isClosing_
            && now - session->used_ > catalog->idleTransaction_)
            endedRevoked.push_back(session);
        if (sql.transaction_ != TransactionState::Open || session->busy_)
            continue;
        const bool isIdle = now - session->used_ > session->catalog_->idleTransaction_;
        const bool mustEnd = shuttingDown_ && now > transactionsEnd_;
        const bool isLost = (session->link_ && session->link_->isClosed())
            || (session->remote_ && !session->remote_->holder_->channel_);
        if (!isIdle && !mustEnd && !isLost)
            continue;
        metrics_.count(isLost ? Reason::TransactionAborted : mustEnd ? Reason::ShuttingDown : Reason::TransactionIdle);
        release(session, true);
        sql.transaction_ = TransactionState::Failed;
        session->aborted_ = true;
        if (session->peer_)
            endedPeers.push_back(session);
    }
    // Their transactions were rolled back, and no next statement came.
    for (const auto& session : endedRevoked)
        closeSession(session);
    // The peer learns it with its next statement, whose operation is not known then.
    for (const auto& session : endedPeers) {
        session->peer_->operations_.erase(session->operation_);
        sessionClosed(session);
    }
}

void StatementGateway::beginShutdown(std::chrono::milliseconds transactionTime, std::chrono::milliseconds answerTime)
{
    shuttingDown_ = true;
    const auto now = suspendAwareNow();
    transactionsEnd_ = now + transactionTime;
    answersEnd_ = now + answerTime;
    giveUpQuotas();
    for (const auto& peer : peers_)
        peer->channel_->send(encodeHolderMessage(HolderLeaving {}));
}

// Whether a shutdown leaves too little time for an operation that begins now.
bool StatementGateway::isTooLateToBegin(const Route& route, bool opensTransaction) const
{
    if (!shuttingDown_)
        return false;
    const auto now = suspendAwareNow();
    return now + route.objective_ > answersEnd_ || (opensTransaction && now > transactionsEnd_);
}

void StatementGateway::refuseForShutdown(const SessionPtr& session)
{
    metrics_.count(Reason::ShuttingDown);
    refuse(session, StatementError::Overloaded, stoppingText);
}

// Ends the statements without an answer: what was not sent is refused as not run, the rest is in doubt.
void StatementGateway::giveUpStatements()
{
    std::vector<JobPtr> open;
    std::vector<SessionPtr> held;
    for (const auto& session : sessions_) {
        if (session->job_)
            open.push_back(session->job_);
        else if (session->heldDatabase_)
            held.push_back(session);
    }
    if (!open.empty()) {
        LogLine(LogKind::Lifecycle, "statements_given_up")
            .with("role", "entry")
            .with("statements", static_cast<std::uint64_t>(open.size()));
    }
    for (const auto& job : open)
        timedOut(job);
    for (const auto& session : held) {
        metrics_.count(Reason::ShuttingDown);
        session->channel_->send(platform::encodeError(StatementError::Overloaded, stoppingText));
        session->channel_->closeWhenSent();
        sessionClosed(session);
    }
}

std::size_t StatementGateway::reportUnanswered() const
{
    std::size_t count = 0;
    for (const auto& session : sessions_) {
        const auto& job = session->job_;
        if (!job || job->isDone_)
            continue;
        ++count;
        LogLine(LogKind::Uncertain, "unanswered")
            .with("request", job->id_)
            .with("waited", suspendAwareNow() - job->arrived_)
            .with("attempt", static_cast<std::uint64_t>(job->attempts_));
    }
    return count;
}

void StatementGateway::closeResting()
{
    const auto now = suspendAwareNow();
    const bool isLate = shuttingDown_ && now > transactionsEnd_;
    const auto most = shuttingDown_ && now > answersEnd_ ? sessions_.size() : closedPerTick;
    std::vector<SessionPtr> resting;
    for (const auto& session : sessions_) {
        const bool ended = session->sql_.transaction_ == TransactionState::None || isLate;
        const bool isResting = session->channel_ && !session->busy_ && !session->isClosing_;
        const bool isAwaited = isResting && session->channel_->hasInput() && mayAwaitRest(*session);
        if (isResting && !isAwaited && ended && resting.size() < most)
            resting.push_back(session);
    }
    for (const auto& session : resting)
        closeSession(session);
}

void StatementGateway::tick()
{
    endIdleTransactions();
    if (shuttingDown_ && suspendAwareNow() > answersEnd_)
        giveUpStatements();
    if (shuttingDown_ || sendAway_)
        closeResting();
    if (options_.needsLeases_ || usesLeases_)
        watchLeases();
    watchSilence();
    watchHolders();
    wakeQuotaTimer();
    if (++ticks_ % spareLinkTicks == 0)
        closeSpareLinks();
    loop_.schedule(Clock::now() + tickInterval, [this] { tick(); });
}

} // namespace cassiahollow
