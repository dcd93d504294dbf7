#include "cassiahollow/request/AdmissionQueue.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace cassiahollow {

namespace {

    using detail::ClassQueue;
    using Seconds = std::chrono::duration<double>;
    using State = AdmissionItem::State;

    // Weight of a new service time sample: follows a change within about ten statements.
    constexpr double learningRate = 0.125;
    // Keeps the cost of a statement above zero on coarse clocks.
    constexpr double minimumServiceTime = 1e-6;

    ClassQueue& lineOf(AdmissionQueue& queue, const ClassId& name)
    {
        const auto [entry, isNew] = queue.classes_.try_emplace(name);
        auto& line = entry->second;
        if (isNew) {
            line.serviceTime_ = std::max(minimumServiceTime, Seconds(queue.settings_.initialServiceTime_).count());
            if (const auto known = queue.settings_.classes_.find(name); known != queue.settings_.classes_.end())
                line.settings_ = known->second;
        }
        return line;
    }

    // Takes a waiting item out of all lists.
    void unlink(AdmissionQueue& queue, AdmissionItem& item)
    {
        auto& line = queue.classes_.at(item.class_);
        queue.deadlines_.erase(queue.deadlines_.iterator_to(item));
        if (item.ownsConnection_) {
            line.transactionItems_.erase(line.transactionItems_.iterator_to(item));
        } else {
            auto& service = line.services_.at(item.service_);
            service.items_.erase(service.items_.iterator_to(item));
            if (service.items_.empty())
                line.activeServices_.erase(line.activeServices_.iterator_to(service));
        }
        --queue.waiting_;
        if (--line.waiting_ == 0) {
            line.deficit_ = 0; // A class saves up no slot time while it has no work.
            queue.activeClasses_.erase(queue.activeClasses_.iterator_to(line));
        }
        item.state_ = State::Outside;
    }

    // A slot is kept for urgent classes only if there are such classes.
    bool reservesSlot(const AdmissionQueue& queue)
    {
        return queue.settings_.slots_ > 1 && queue.hasUrgent_;
    }

    bool mayStartNotUrgent(const AdmissionQueue& queue)
    {
        return !reservesSlot(queue) || queue.runningNotUrgent_ + 1 < queue.settings_.slots_;
    }

    bool isEligible(const AdmissionQueue& queue, const ClassQueue& line, std::size_t connections)
    {
        return (line.settings_.urgent_ || mayStartNotUrgent(queue))
            && (!line.transactionItems_.empty() || (connections > 0 && !line.activeServices_.empty()));
    }

    // Deficit round robin whose quantum is always the smallest that lets one class start an item. Classes therefore
    // alternate as finely as their weights allow, instead of in bursts of a fixed quantum.
    ClassQueue* chooseClass(AdmissionQueue& queue, std::size_t connections)
    {
        double round = std::numeric_limits<double>::infinity();
        for (const auto& line : queue.activeClasses_) {
            if (isEligible(queue, line, connections))
                round = std::min(round, std::max(0.0, line.serviceTime_ - line.deficit_) / line.settings_.weight_);
        }
        if (round == std::numeric_limits<double>::infinity())
            return nullptr;
        ClassQueue* chosen = nullptr;
        for (auto& line : queue.activeClasses_) {
            if (!isEligible(queue, line, connections))
                continue;
            line.deficit_ += round * line.settings_.weight_;
            // The tolerance covers the rounding of the division above.
            if (!chosen && line.deficit_ >= line.serviceTime_ * (1 - 1e-9))
                chosen = &line;
        }
        if (chosen) {
            chosen->deficit_ = std::max(0.0, chosen->deficit_ - chosen->serviceTime_);
            queue.activeClasses_.splice(
                queue.activeClasses_.end(), queue.activeClasses_, queue.activeClasses_.iterator_to(*chosen));
        }
        return chosen;
    }

    // Takes the next item of the class: statements of transactions first, because they hold a connection; then the
    // services in turn.
    AdmissionItem& takeItem(AdmissionQueue& queue, ClassQueue& line)
    {
        if (!line.transactionItems_.empty()) {
            auto& item = line.transactionItems_.front();
            unlink(queue, item);
            return item;
        }
        auto& service = line.activeServices_.front();
        auto& item = service.items_.front();
        line.activeServices_.splice(
            line.activeServices_.end(), line.activeServices_, line.activeServices_.iterator_to(service));
        unlink(queue, item);
        return item;
    }

    // Statements of the line that start before a new item of the service: statements of transactions go first, then
    // services take turns.
    double aheadInLine(const ClassQueue& line, const ServiceId& name, bool ownsConnection)
    {
        std::size_t ahead = line.transactionItems_.size();
        if (!ownsConnection) {
            const auto own = line.services_.find(name);
            const auto ownCount = own == line.services_.end() ? 0 : own->second.items_.size();
            for (const auto& service : line.activeServices_)
                ahead += std::min(service.items_.size(), ownCount + 1);
        }
        return static_cast<double>(ahead);
    }

    // Slot time that classes accepted by the predicate use before a new item starts of which `ownWork` seconds are
    // ahead in its own class.
    template <typename Predicate>
    double workAhead(const AdmissionQueue& queue, const ClassQueue& own, double ownWork, Predicate predicate)
    {
        auto work = ownWork;
        for (const auto& line : queue.activeClasses_) {
            if (&line == &own || !predicate(line))
                continue;
            const auto backlog = static_cast<double>(line.waiting_) * line.serviceTime_;
            work += std::min(backlog, (ownWork + own.serviceTime_) * line.settings_.weight_ / own.settings_.weight_);
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
    auto& line = lineOf(queue, item.class_);
    const auto half = queue.settings_.maximumLength_ / 2;
    if (queue.waiting_ >= queue.settings_.maximumLength_ - half) {
        double weights = 0;
        for (const auto& [name, other] : queue.classes_)
            weights += other.settings_.weight_;
        const auto share = static_cast<double>(half) * line.settings_.weight_ / weights;
        if (queue.waiting_ >= queue.settings_.maximumLength_ || static_cast<double>(line.waiting_) + 1 > share)
            return Reason::QueueFull;
    }
    if (expectedWait(queue, item.class_, item.service_, item.ownsConnection_) > item.deadline_ - now)
        return Reason::DeadlineUnreachable;

    if (item.ownsConnection_) {
        line.transactionItems_.push_back(item);
    } else {
        auto& service = line.services_[item.service_];
        if (service.items_.empty())
            line.activeServices_.push_back(service);
        service.items_.push_back(item);
    }
    queue.deadlines_.insert(item);
    if (line.waiting_++ == 0)
        queue.activeClasses_.push_back(line);
    ++queue.waiting_;
    item.state_ = State::Waiting;
    return std::nullopt;
}

AdmissionDecision next(AdmissionQueue& queue, TimePoint now, std::size_t freeConnections)
{
    AdmissionDecision decision;
    while (!queue.deadlines_.empty() && queue.deadlines_.begin()->deadline_ <= now) {
        auto& item = *queue.deadlines_.begin();
        unlink(queue, item);
        decision.refuse_.push_back({ &item, Reason::DeadlinePassed });
    }
    while (queue.running_ < queue.settings_.slots_) {
        auto* line = chooseClass(queue, freeConnections);
        if (!line)
            break;
        // Read before the class can lose its last item.
        const auto urgent = line->settings_.urgent_;
        auto& item = takeItem(queue, *line);
        if (!item.ownsConnection_)
            --freeConnections;
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
    auto& line = lineOf(queue, item.class_);
    const auto sample = Seconds(now - item.startedAt_).count();
    line.serviceTime_ = std::max(minimumServiceTime, line.serviceTime_ + (sample - line.serviceTime_) * learningRate);
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
        lineOf(queue, name);
    for (auto& [name, line] : queue.classes_) {
        const auto known = queue.settings_.classes_.find(name);
        line.settings_ = known == queue.settings_.classes_.end() ? AdmissionClass() : known->second;
    }
}

std::optional<TimePoint> nextDeadline(const AdmissionQueue& queue)
{
    if (queue.deadlines_.empty())
        return std::nullopt;
    return queue.deadlines_.begin()->deadline_;
}

Duration expectedWait(AdmissionQueue& queue, const ClassId& name, const ServiceId& service, bool ownsConnection)
{
    const auto& own = lineOf(queue, name);
    const auto urgent = own.settings_.urgent_;
    const auto slots = queue.settings_.slots_;
    const auto usable = reservesSlot(queue) && !urgent ? slots - 1 : slots;
    const auto busy = usable == slots ? queue.running_ : queue.runningNotUrgent_;
    const auto any = [](const ClassQueue&) { return true; };
    const auto isUrgent = [](const ClassQueue& line) { return line.settings_.urgent_; };

    const auto ownWork = aheadInLine(own, service, ownsConnection) * own.serviceTime_;
    // With all usable slots busy, the first of them becomes free after about its share of a service time.
    const auto residual
        = busy >= usable || queue.running_ >= slots ? own.serviceTime_ / static_cast<double>(usable) : 0;
    auto wait = residual + workAhead(queue, own, ownWork, any) / static_cast<double>(usable);
    // The reserved slot serves the urgent classes alone, whatever the others have waiting.
    if (urgent && reservesSlot(queue)) {
        const auto residualReserved = queue.running_ >= slots ? own.serviceTime_ : 0;
        wait = std::min(wait, residualReserved + workAhead(queue, own, ownWork, isUrgent));
    }
    return std::chrono::duration_cast<Duration>(Seconds(wait));
}

} // namespace cassiahollow
