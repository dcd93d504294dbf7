#include "cassiahollow/request/AdmissionQueue.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace cassiahollow {

namespace {

    using detail::ClassQueue;
    using Seconds = std::chrono::duration<double>;
    using State = AdmissionItem::State;

    // Weight of a new service time sample. The mean follows a change within about ten statements.
    constexpr double learningRate = 0.125;
    // Keeps the measured service time above zero on coarse clocks.
    constexpr double minimumServiceTime = 1e-6;

    // Long enough for several statements of any class, and well below the shortest time that statements wait.
    constexpr Seconds slotsTime { 0.3 };
    // A class may save up this many statements of its guaranteed share.
    constexpr double guaranteedStatements = 2;

    ClassQueue& classQueueFor(AdmissionQueue& queue, const ClassId& name)
    {
        const auto [entry, isNew] = queue.classes_.try_emplace(name);
        auto& classQueue = entry->second;
        if (isNew) {
            classQueue.serviceTime_
                = std::max(minimumServiceTime, Seconds(queue.settings_.initialServiceTime_).count());
            if (const auto known = queue.settings_.classes_.find(name); known != queue.settings_.classes_.end())
                classQueue.settings_ = known->second;
        }
        return classQueue;
    }

    // Follows settings_.slots_.
    void updateExpectedSlots(AdmissionQueue& queue, TimePoint now)
    {
        const auto slots = static_cast<double>(queue.settings_.slots_);
        const bool isFirst = queue.slotsAt_ == TimePoint();
        const double kept = isFirst ? 0 : std::exp(-std::max(0.0, Seconds(now - queue.slotsAt_) / slotsTime));
        queue.expectedSlots_ = queue.expectedSlots_ * kept + slots * (1 - kept);
        queue.slotsAt_ = now;
    }

    // Removes a waiting item from all lists.
    void unlink(AdmissionQueue& queue, AdmissionItem& item)
    {
        auto& classQueue = queue.classes_.at(item.class_);
        queue.deadlines_.erase(queue.deadlines_.iterator_to(item));
        if (item.ownsConnection_) {
            classQueue.transactionItems_.erase(classQueue.transactionItems_.iterator_to(item));
        } else {
            auto& service = classQueue.services_.at(item.service_);
            service.items_.erase(service.items_.iterator_to(item));
            if (service.items_.empty())
                classQueue.activeServices_.erase(classQueue.activeServices_.iterator_to(service));
        }
        --queue.waiting_;
        if (--classQueue.waiting_ == 0) {
            classQueue.deficit_ = 0; // A class accumulates no slot time while it has no waiting items.
            queue.activeClasses_.erase(queue.activeClasses_.iterator_to(classQueue));
        }
        item.state_ = State::Outside;
    }

    // A slot is reserved only if there are urgent classes and more than one slot.
    bool reservesSlot(const AdmissionQueue& queue)
    {
        return queue.settings_.slots_ > 1 && queue.hasUrgent_;
    }

    bool mayStartNotUrgent(const AdmissionQueue& queue)
    {
        return !reservesSlot(queue) || queue.runningNotUrgent_ + 1 < queue.settings_.slots_;
    }

    // What limits the items without a connection of their own.
    struct FreeConnections {
        std::size_t count_;
        const std::function<bool(const AdmissionItem&)>& mayStart_;
    };

    // The first service in round-robin order whose first item may start.
    detail::ServiceQueue* chooseService(ClassQueue& classQueue, const FreeConnections& free)
    {
        if (free.count_ == 0)
            return nullptr;
        const auto found = std::find_if(classQueue.activeServices_.begin(), classQueue.activeServices_.end(),
            [&](const detail::ServiceQueue& service) {
                return !free.mayStart_ || free.mayStart_(service.items_.front());
            });
        return found == classQueue.activeServices_.end() ? nullptr : &*found;
    }

    // Asked once for each decision, because the answers may depend on the time.
    void chooseServices(AdmissionQueue& queue, const FreeConnections& free)
    {
        for (auto& classQueue : queue.activeClasses_)
            classQueue.startable_ = chooseService(classQueue, free);
    }

    bool isEligible(const AdmissionQueue& queue, const ClassQueue& classQueue)
    {
        return (classQueue.settings_.urgent_ || mayStartNotUrgent(queue))
            && (!classQueue.transactionItems_.empty() || classQueue.startable_);
    }

    // Deficit round robin. The quantum is always the smallest that lets one class start an item, so that classes
    // alternate as finely as their weights allow. A fixed quantum would serve them in bursts.
    ClassQueue* chooseClass(AdmissionQueue& queue, const FreeConnections& free)
    {
        chooseServices(queue, free);
        double round = std::numeric_limits<double>::infinity();
        for (auto& classQueue : queue.activeClasses_) {
            if (isEligible(queue, classQueue))
                round = std::min(
                    round, std::max(0.0, classQueue.serviceTime_ - classQueue.deficit_) / classQueue.settings_.weight_);
        }
        if (round == std::numeric_limits<double>::infinity())
            return nullptr;
        ClassQueue* chosen = nullptr;
        for (auto& classQueue : queue.activeClasses_) {
            if (!isEligible(queue, classQueue))
                continue;
            classQueue.deficit_ += round * classQueue.settings_.weight_;
            // The tolerance covers the rounding error of the division by the weight.
            if (!chosen && classQueue.deficit_ >= classQueue.serviceTime_ * (1 - 1e-9))
                chosen = &classQueue;
        }
        if (chosen) {
            chosen->deficit_ = std::max(0.0, chosen->deficit_ - chosen->serviceTime_);
            queue.activeClasses_.splice(
                queue.activeClasses_.end(), queue.activeClasses_, queue.activeClasses_.iterator_to(*chosen));
        }
        return chosen;
    }

    double valuePerSecond(const ClassQueue& classQueue)
    {
        return classQueue.settings_.value_ / classQueue.serviceTime_;
    }

    // The item of the class that starts next, which has the earliest deadline of its service.
    const AdmissionItem& firstItem(const ClassQueue& classQueue)
    {
        return classQueue.transactionItems_.empty() ? classQueue.startable_->items_.front()
                                                    : classQueue.transactionItems_.front();
    }

    // Whether the first item of the class has to start now, and all items of more valuable classes can still wait until
    // it has run.
    bool mustStartNow(const AdmissionQueue& queue, const ClassQueue& classQueue, TimePoint now)
    {
        const auto slots = static_cast<double>(queue.settings_.slots_);
        const double left = Seconds(firstItem(classQueue).deadline_ - now).count();
        double work = classQueue.serviceTime_;
        if (left > 2 * work)
            return false;
        double slack = std::numeric_limits<double>::infinity();
        for (const auto& other : queue.activeClasses_) {
            if (&other == &classQueue || !isEligible(queue, other)
                || valuePerSecond(other) < valuePerSecond(classQueue))
                continue;
            work += static_cast<double>(other.waiting_) * other.serviceTime_;
            slack = std::min(slack, Seconds(firstItem(other).deadline_ - now).count());
        }
        return work / slots < slack;
    }

    // The class with the most valuable second of a slot, after those that are below their guaranteed share and those
    // whose items have to start now.
    ClassQueue* chooseByValue(AdmissionQueue& queue, const FreeConnections& free, TimePoint now)
    {
        chooseServices(queue, free);
        ClassQueue* chosen = nullptr;
        int chosenRank = 0;
        for (auto& classQueue : queue.activeClasses_) {
            if (!isEligible(queue, classQueue))
                continue;
            const int rank = classQueue.deficit_ >= classQueue.serviceTime_ ? 2
                : mustStartNow(queue, classQueue, now)                      ? 1
                                                                            : 0;
            if (!chosen || rank > chosenRank
                || (rank == chosenRank && valuePerSecond(classQueue) > valuePerSecond(*chosen))) {
                chosen = &classQueue;
                chosenRank = rank;
            }
        }
        if (!chosen)
            return nullptr;
        const double served = chosen->serviceTime_;
        for (auto& classQueue : queue.activeClasses_)
            classQueue.deficit_ = std::min(
                classQueue.deficit_ + served * guaranteedShare, guaranteedStatements * classQueue.serviceTime_);
        chosen->deficit_ = std::max(0.0, chosen->deficit_ - served);
        return chosen;
    }

    // Removes and returns the next item of the class. Statements of transactions go first, because they hold a
    // connection; then the services in round-robin order.
    AdmissionItem& takeItem(AdmissionQueue& queue, ClassQueue& classQueue)
    {
        if (!classQueue.transactionItems_.empty()) {
            auto& item = classQueue.transactionItems_.front();
            unlink(queue, item);
            return item;
        }
        auto& service = *classQueue.startable_;
        auto& item = service.items_.front();
        classQueue.activeServices_.splice(classQueue.activeServices_.end(), classQueue.activeServices_,
            classQueue.activeServices_.iterator_to(service));
        unlink(queue, item);
        return item;
    }

    // Number of statements of the class that start before a new item of the service: statements of transactions go
    // first, then the services in round-robin order.
    double countAhead(const ClassQueue& classQueue, const ServiceId& name, bool ownsConnection)
    {
        std::size_t ahead = classQueue.transactionItems_.size();
        if (!ownsConnection) {
            const auto own = classQueue.services_.find(name);
            const auto ownCount = own == classQueue.services_.end() ? 0 : own->second.items_.size();
            for (const auto& service : classQueue.activeServices_)
                ahead += std::min(service.items_.size(), ownCount + 1);
        }
        return static_cast<double>(ahead);
    }

    // Seconds until a new item starts in AdmissionOrder::Value: the waiting items of more valuable classes go first,
    // except for the guaranteed share. Those that may arrive meanwhile do not count: with them, statements were refused
    // that could have started in time, and slots were idle.
    double waitByValue(const AdmissionQueue& queue, const ClassQueue& own, double ownWork, double slots)
    {
        double work = ownWork;
        for (const auto& other : queue.activeClasses_) {
            if (&other != &own && valuePerSecond(other) >= valuePerSecond(own))
                work += static_cast<double>(other.waiting_) * other.serviceTime_;
        }
        return std::min(work / slots, ownWork / (slots * guaranteedShare));
    }

    // Slot time in seconds that is used before a new item starts: `ownWork` by its own class, and the share of each
    // other class that the predicate accepts.
    template <typename Predicate>
    double workAhead(const AdmissionQueue& queue, const ClassQueue& own, double ownWork, Predicate predicate)
    {
        auto work = ownWork;
        for (const auto& classQueue : queue.activeClasses_) {
            if (&classQueue == &own || !predicate(classQueue))
                continue;
            const auto backlog = static_cast<double>(classQueue.waiting_) * classQueue.serviceTime_;
            work += std::min(
                backlog, (ownWork + own.serviceTime_) * classQueue.settings_.weight_ / own.settings_.weight_);
        }
        return work;
    }

} // namespace

AdmissionQueue::AdmissionQueue(AdmissionSettings settings)
{
    configure(*this, std::move(settings));
}

AdmissionQueue::~AdmissionQueue()
{
    refuseAll(*this, Reason::ShuttingDown);
}

std::optional<Reason> enqueue(AdmissionQueue& queue, AdmissionItem& item, TimePoint now)
{
    if (item.deadline_ <= now)
        return Reason::DeadlinePassed;
    auto& classQueue = classQueueFor(queue, item.class_);
    const auto half = queue.settings_.maximumLength_ / 2;
    if (queue.waiting_ >= queue.settings_.maximumLength_ - half) {
        double weights = 0;
        for (const auto& [name, other] : queue.classes_)
            weights += other.settings_.weight_;
        const auto share = static_cast<double>(half) * classQueue.settings_.weight_ / weights;
        if (queue.waiting_ >= queue.settings_.maximumLength_ || static_cast<double>(classQueue.waiting_) + 1 > share)
            return Reason::QueueFull;
    }
    if (expectedWait(queue, item.class_, item.service_, item.ownsConnection_) > item.deadline_ - now)
        return Reason::DeadlineUnreachable;

    if (item.ownsConnection_) {
        classQueue.transactionItems_.push_back(item);
    } else {
        auto& service = classQueue.services_[item.service_];
        if (service.items_.empty())
            classQueue.activeServices_.push_back(service);
        service.items_.push_back(item);
    }
    queue.deadlines_.insert(item);
    if (classQueue.waiting_++ == 0)
        queue.activeClasses_.push_back(classQueue);
    ++queue.waiting_;
    item.state_ = State::Waiting;
    return std::nullopt;
}

AdmissionDecision next(AdmissionQueue& queue, TimePoint now, std::size_t freeConnections,
    const std::function<bool(const AdmissionItem&)>& mayStart)
{
    AdmissionDecision decision;
    FreeConnections free { freeConnections, mayStart };
    updateExpectedSlots(queue, now);
    while (!queue.deadlines_.empty() && queue.deadlines_.begin()->deadline_ <= now) {
        auto& item = *queue.deadlines_.begin();
        unlink(queue, item);
        decision.refuse_.push_back({ &item, Reason::DeadlinePassed });
    }
    while (queue.running_ < queue.settings_.slots_) {
        auto* classQueue = queue.settings_.order_ == AdmissionOrder::Value ? chooseByValue(queue, free, now)
                                                                           : chooseClass(queue, free);
        if (!classQueue)
            break;
        // Read before takeItem() can remove the last item of the class.
        const auto urgent = classQueue->settings_.urgent_;
        auto& item = takeItem(queue, *classQueue);
        if (!item.ownsConnection_)
            --free.count_;
        item.state_ = State::Running;
        item.startedAt_ = now;
        item.startedUrgent_ = urgent;
        ++queue.running_;
        if (!urgent)
            ++queue.runningNotUrgent_;
        decision.start_.push_back(&item);
    }
    return decision;
}

void finished(AdmissionQueue& queue, AdmissionItem& item, TimePoint now)
{
    if (item.state_ != State::Running)
        return;
    auto& classQueue = classQueueFor(queue, item.class_);
    const auto sample = Seconds(now - item.startedAt_).count();
    classQueue.serviceTime_
        = std::max(minimumServiceTime, classQueue.serviceTime_ + (sample - classQueue.serviceTime_) * learningRate);
    cancel(queue, item);
}

void cancel(AdmissionQueue& queue, AdmissionItem& item)
{
    if (item.state_ == State::Waiting)
        unlink(queue, item);
    if (item.state_ != State::Running)
        return;
    --queue.running_;
    if (!item.startedUrgent_)
        --queue.runningNotUrgent_;
    item.state_ = State::Outside;
}

std::vector<RefusedItem> refuseAll(AdmissionQueue& queue, Reason reason)
{
    std::vector<RefusedItem> refused;
    while (!queue.deadlines_.empty()) {
        auto& item = *queue.deadlines_.begin();
        unlink(queue, item);
        refused.push_back({ &item, reason });
    }
    return refused;
}

void configure(AdmissionQueue& queue, AdmissionSettings settings)
{
    queue.settings_ = std::move(settings);
    queue.hasUrgent_ = std::any_of(queue.settings_.classes_.begin(), queue.settings_.classes_.end(),
        [](const auto& entry) { return entry.second.urgent_; });
    for (const auto& [name, known] : queue.settings_.classes_)
        classQueueFor(queue, name);
    for (auto& [name, classQueue] : queue.classes_) {
        const auto known = queue.settings_.classes_.find(name);
        classQueue.settings_ = known == queue.settings_.classes_.end() ? AdmissionClass() : known->second;
    }
}

std::optional<TimePoint> nextDeadline(const AdmissionQueue& queue)
{
    if (queue.deadlines_.empty())
        return std::nullopt;
    return queue.deadlines_.begin()->deadline_;
}

std::size_t waitingOf(const AdmissionQueue& queue, const ClassId& name, const ServiceId& service)
{
    const auto classQueue = queue.classes_.find(name);
    if (classQueue == queue.classes_.end())
        return 0;
    const auto found = classQueue->second.services_.find(service);
    return found == classQueue->second.services_.end() ? 0 : found->second.items_.size();
}

Duration expectedWait(AdmissionQueue& queue, const ClassId& name, const ServiceId& service, bool ownsConnection)
{
    const auto& own = classQueueFor(queue, name);
    const auto urgent = own.settings_.urgent_;
    const auto slots = queue.settings_.slots_;
    const auto usable = reservesSlot(queue) && !urgent ? slots - 1 : slots;
    const auto busy = usable == slots ? queue.running_ : queue.runningNotUrgent_;
    const auto any = [](const ClassQueue&) { return true; };
    const auto isUrgent = [](const ClassQueue& classQueue) { return classQueue.settings_.urgent_; };

    // Before the first call of next() there is no smoothed value.
    const double expected = queue.expectedSlots_ > 0 ? queue.expectedSlots_ : static_cast<double>(slots);
    const double drained = std::max(1.0, usable == slots ? expected : expected - 1);
    const auto ownWork = countAhead(own, service, ownsConnection) * own.serviceTime_;
    // If all usable slots are busy, the first becomes free after about one service time divided by their number.
    const auto residual = busy >= usable || queue.running_ >= slots ? own.serviceTime_ / drained : 0;
    if (queue.settings_.order_ == AdmissionOrder::Value)
        return std::chrono::duration_cast<Duration>(Seconds(residual + waitByValue(queue, own, ownWork, drained)));
    auto wait = residual + workAhead(queue, own, ownWork, any) / drained;
    // The reserved slot serves only urgent classes, so that items of other classes do not delay it.
    if (urgent && reservesSlot(queue)) {
        const auto residualReserved = queue.running_ >= slots ? own.serviceTime_ : 0;
        wait = std::min(wait, residualReserved + workAhead(queue, own, ownWork, isUrgent));
    }
    return std::chrono::duration_cast<Duration>(Seconds(wait));
}

} // namespace cassiahollow
