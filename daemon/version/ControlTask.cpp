#include "version/ControlTask.h"

#include "cassiahollow/version/ControlCodec.h"
#include "process/SuspendAwareClock.h"

#include <boost/leaf/handle_errors.hpp>

#include <iterator>
#include <optional>
#include <random>
#include <utility>

namespace cassiahollow {

namespace leaf = boost::leaf;

namespace {

    // A third of the heartbeat interval, so that heartbeats and elections are at most that much late.
    constexpr auto tickInterval = std::chrono::milliseconds(50);
    // Messages of several seconds from seven members; more than that means that the disk has stopped.
    constexpr std::size_t maximumEvents = 10000;
    // More rounds than an election timeout holds need no time of their own: an older one then counts for them.
    constexpr std::size_t maximumOpenRounds = 256;

    // Runs a function that returns leaf::result<void> and gives its failure, or nothing when it succeeds.
    template <typename F> std::optional<Failure> failureOf(F&& function)
    {
        return leaf::try_handle_all(
            [&]() -> leaf::result<std::optional<Failure>> {
                BOOST_LEAF_CHECK(function());
                return std::optional<Failure>();
            },
            [](const Failure& failure) { return std::optional(failure); },
            [] {
                return std::optional(Failure { Reason::StorageFailed, "unknown error" });
            });
    }

    ControlStatus statusOf(const ControlLogState& log, const std::shared_ptr<const PromotionGrants>& grants)
    {
        const bool isChanged = *grants != log.control_.grants_;
        return { log.role_, log.stored_.promise_.term_, log.leader_ ? log.leader_->instance_ : InstanceId(),
            log.configuration_ ? log.configuration_->members_ : std::vector<ControlMember>(),
            log.configuration_ && isVoter(*log.configuration_, log.identity_), hasAppliedEarlierTerms(log),
            isChanged ? std::make_shared<const PromotionGrants>(log.control_.grants_) : grants };
    }

} // namespace

ControlTask::ControlTask(ControlTaskOptions options, ControlTaskCallbacks callbacks)
    : options_(std::move(options))
    , callbacks_(std::move(callbacks))
{
}

ControlTask::~ControlTask()
{
    stop();
}

leaf::result<void> ControlTask::start()
{
    BOOST_LEAF_AUTO(storage, openControlStorage(options_.folder_, makeControlIdentity()));
    BOOST_LEAF_AUTO(applied, loadAppliedSettings(options_.folder_));
    if (applied)
        applied_ = std::make_shared<const SettingsTree>(std::move(*applied));
    storage_ = std::make_unique<ControlStorage>(std::move(storage));
    loaded_ = contentsOf(storage_->stored_);
    // A task that starts again in the same process needs other request numbers, or it would take a late response to an
    // earlier request for the response to a new one.
    std::random_device entropy;
    const auto seed = std::uint64_t(entropy()) << 32 | entropy();
    log_ = startControlLog(options_.instance_, storage_->identity_, options_.listed_, options_.start_,
        std::exchange(storage_->stored_, {}), options_.log_, seed, Clock::now());
    {
        const std::lock_guard lock(mutex_);
        isRunning_ = true;
    }
    thread_ = std::thread([this] { run(); });
    return {};
}

bool ControlTask::post(Event event)
{
    {
        const std::lock_guard lock(mutex_);
        if (!isRunning_ || isStopping_ || events_.size() >= maximumEvents)
            return false;
        events_.push_back(std::move(event));
    }
    arrived_.notify_one();
    return true;
}

void ControlTask::stop()
{
    {
        const std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    arrived_.notify_one();
    if (thread_.joinable())
        thread_.join();
}

void ControlTask::run()
{
    if (applied_)
        callbacks_.settingsApplied_(applied_);
    // The snapshot may be newer than the reported settings after a crash between the two writes.
    bool isWorking = log_.control_.settings_.revision_ == 0
        || reportSettings(std::make_shared<const SettingsTree>(log_.control_.settings_));
    for (const auto& [group, members] : log_.control_.groups_)
        reportGroup(group, members);
    if (callbacks_.catalogApplied_ && log_.control_.catalog_.version_ > 0)
        callbacks_.catalogApplied_(std::make_shared<const CatalogDocument>(log_.control_.catalog_));
    reportStatus();
    auto nextTick = Clock::now();
    while (isWorking) {
        std::deque<Event> events;
        {
            std::unique_lock lock(mutex_);
            arrived_.wait_until(lock, nextTick, [&] { return isStopping_ || !events_.empty(); });
            if (isStopping_)
                break;
            events.swap(events_);
        }
        while (isWorking && !events.empty()) {
            isWorking = receive(events.front());
            events.pop_front();
        }
        if (const auto now = Clock::now(); isWorking && now >= nextTick) {
            isWorking = handle(ControlTick {}, now);
            nextTick = now + tickInterval;
        }
        // Requests that were taken from the mailbox but not handled are answered with the others in finish().
        if (!isWorking) {
            const std::lock_guard lock(mutex_);
            std::move(events_.begin(), events_.end(), std::back_inserter(events));
            events_.swap(events);
        }
        reportStatus();
    }
    finish(isWorking ? nullptr : &failure_);
}

bool ControlTask::receive(Event& event)
{
    if (auto* request = std::get_if<LocalRequest>(&event)) {
        unanswered_.insert(request->token_);
        return handle(std::move(*request), Clock::now());
    }
    if (const auto* seeds = std::get_if<ControlSeeds>(&event))
        return handle(*seeds, Clock::now());
    const auto& peer = std::get<PeerMessage>(event);
    std::optional<ControlMessage> message;
    const auto failure = failureOf([&]() -> leaf::result<void> {
        BOOST_LEAF_ASSIGN(message, decodeControlMessage(peer.body_));
        return {};
    });
    if (failure) {
        callbacks_.dropped_(failure->reason_);
        return true;
    }
    // Votes count by identity, so an instance must not speak for another one.
    if (message->sender_ != peer.sender_) {
        callbacks_.dropped_(Reason::MessageUnauthentic);
        return true;
    }
    return handle(std::move(*message), Clock::now());
}

bool ControlTask::handle(const ControlEvent& event, TimePoint now)
{
    const auto sentAt = suspendAwareNow();
    const auto actions = step(log_, event, now);
    recordRounds(sentAt);
    if (log_.role_ == ControlRole::Leader)
        contact_.store(now.time_since_epoch().count(), std::memory_order_relaxed);
    else if (log_.hasLeaderContact_)
        contact_.store(log_.leaderReceivedAt_.time_since_epoch().count(), std::memory_order_relaxed);
    for (; dropped_ < log_.dropped_; ++dropped_)
        callbacks_.dropped_(Reason::MessageStaleIncarnation);
    return carryOut(actions);
}

void ControlTask::recordRounds(TimePoint sentAt)
{
    const auto term = log_.stored_.promise_.term_;
    if (log_.role_ != ControlRole::Leader || term != roundsTerm_) {
        rounds_.clear();
        roundsTerm_ = term;
        lastRound_ = 0;
        proven_.store(0, std::memory_order_relaxed);
    }
    if (log_.role_ != ControlRole::Leader)
        return;
    if (log_.round_ > lastRound_ && rounds_.size() < maximumOpenRounds)
        rounds_.push_back({ log_.round_, sentAt });
    lastRound_ = log_.round_;
    const auto confirmed = confirmedRound(log_);
    while (!rounds_.empty() && rounds_.front().number_ <= confirmed) {
        proven_.store(rounds_.front().sentAt_.time_since_epoch().count(), std::memory_order_relaxed);
        rounds_.pop_front();
    }
}

// Carries the actions out in order and stops at the first failure, because nothing may be sent or answered on the
// strength of contents that are not on disk.
bool ControlTask::carryOut(const std::vector<ControlAction>& actions)
{
    for (const auto& action : actions) {
        if (const auto* persist = std::get_if<PersistAction>(&action)) {
            const auto failure = failureOf([&] { return persistControl(*storage_, *persist, log_.stored_); });
            if (failure) {
                failure_ = *failure;
                return false;
            }
        } else if (const auto* send = std::get_if<SendAction>(&action)) {
            callbacks_.send_(send->recipient_, encodeControlMessage(send->message_));
        } else if (const auto* settings = std::get_if<ApplySettingsAction>(&action)) {
            if (!reportSettings(settings->settings_))
                return false;
        } else if (const auto* group = std::get_if<ApplyGroupAction>(&action)) {
            reportGroup(group->group_, group->members_);
        } else if (const auto* catalog = std::get_if<ApplyCatalogAction>(&action)) {
            if (callbacks_.catalogApplied_)
                callbacks_.catalogApplied_(catalog->catalog_);
        } else if (const auto* committed = std::get_if<CatalogCommittedAction>(&action)) {
            if (callbacks_.catalogCommitted_)
                callbacks_.catalogCommitted_(*committed);
        } else if (const auto* answer = std::get_if<ResponseAction>(&action)) {
            unanswered_.erase(answer->token_);
            callbacks_.answered_(answer->token_, answer->outcome_, answer->settings_);
        }
    }
    return true;
}

// A restarted member applies its log again from the snapshot on; what was reported before is not reported again.
bool ControlTask::reportSettings(const std::shared_ptr<const SettingsTree>& settings)
{
    if (applied_ && settings->revision_ <= applied_->revision_)
        return true;
    if (const auto failure = failureOf([&] { return storeAppliedSettings(options_.folder_, *settings); })) {
        failure_ = *failure;
        return false;
    }
    applied_ = settings;
    callbacks_.settingsApplied_(settings);
    return true;
}

void ControlTask::reportGroup(const GroupId& group, const GroupMembers& members)
{
    auto& version = groupVersions_[group];
    if (members.version_ <= version)
        return;
    version = members.version_;
    callbacks_.groupApplied_(group, members);
}

void ControlTask::reportStatus()
{
    auto status = statusOf(log_, status_.grants_);
    if (status == status_)
        return;
    status_ = std::move(status);
    callbacks_.statusChanged_(status_);
}

void ControlTask::finish(const Failure* failure)
{
    std::deque<Event> events;
    {
        const std::lock_guard lock(mutex_);
        isRunning_ = false;
        events.swap(events_);
    }
    const auto reason = failure ? Reason::StorageFailed : Reason::ResponseLost;
    for (const auto token : unanswered_)
        callbacks_.answered_(token, undecidedOutcome(Outcome::Unknown, reason, "the control task ends"), nullptr);
    for (const auto& event : events) {
        if (const auto* request = std::get_if<LocalRequest>(&event)) {
            callbacks_.answered_(request->token_,
                undecidedOutcome(Outcome::NotRun, Reason::ShuttingDown, "the control task ends"), nullptr);
        }
    }
    if (failure)
        callbacks_.failed_(*failure);
}

} // namespace cassiahollow
