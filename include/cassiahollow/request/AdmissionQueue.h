#pragma once

#include "cassiahollow/process/Reasons.h"
#include "cassiahollow/process/Types.h"

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <vector>

namespace cassiahollow {

/// One statement that waits for, or occupies, a slot of an endpoint. Owned by the request; it must stay at its
/// address from enqueue() until it is started and finished, refused or cancelled.
struct AdmissionItem {
    enum class State : std::uint8_t { Outside, Waiting, Running };

    ClassId class_;
    ServiceId service_;
    /// The latest useful start: the caller's deadline less the time that the answer needs after the start. With the
    /// caller's deadline itself, an overloaded queue starts most statements too late for their callers.
    TimePoint deadline_;
    /// A statement of a transaction that already has its connection. Such items need no free connection.
    bool ownsConnection_ { false };
    /// For the owner of the item.
    std::uint64_t id_ { 0 };

    State state_ { State::Outside };
    TimePoint startedAt_;
    bool startedUrgent_ { false }; ///< Its class was urgent when it started.
    boost::intrusive::list_member_hook<> queueHook_;
    boost::intrusive::set_member_hook<> deadlineHook_;
};

/// What the settings say about a class.
struct AdmissionClass {
    double weight_ { 1 }; ///< Share of the slot time while all classes have work. Must be above 0.
    bool urgent_ { false }; ///< May use the reserved slot.
};

/// Limits of one queue.
struct AdmissionSettings {
    std::size_t slots_ { 1 }; ///< Statements that may be in flight, from the endpoint's announcement.
    /// Waiting items. Half of them are for any class; the other half is divided among the classes by weight, so that
    /// a flood of one class does not shut out the others.
    std::size_t maximumLength_ { 1000 };
    /// Assumed service time of a class until the first statement has finished.
    Duration initialServiceTime_ { std::chrono::milliseconds(2) };
    std::map<ClassId, AdmissionClass> classes_; ///< Classes that are not listed have weight 1 and are not urgent.
};

namespace detail {

    using AdmissionItems = boost::intrusive::list<AdmissionItem,
        boost::intrusive::member_hook<AdmissionItem, boost::intrusive::list_member_hook<>, &AdmissionItem::queueHook_>>;

    struct EarlierDeadline {
        bool operator()(const AdmissionItem& a, const AdmissionItem& b) const { return a.deadline_ < b.deadline_; }
    };

    using AdmissionDeadlines = boost::intrusive::multiset<AdmissionItem,
        boost::intrusive::member_hook<AdmissionItem, boost::intrusive::set_member_hook<>,
            &AdmissionItem::deadlineHook_>,
        boost::intrusive::compare<EarlierDeadline>>;

    /// The waiting items of one service in one class.
    struct ServiceQueue {
        boost::intrusive::list_member_hook<> activeHook_;
        AdmissionItems items_;
    };

    using ActiveServices = boost::intrusive::list<ServiceQueue,
        boost::intrusive::member_hook<ServiceQueue, boost::intrusive::list_member_hook<>, &ServiceQueue::activeHook_>>;

    /// The waiting items of one class.
    struct ClassQueue {
        boost::intrusive::list_member_hook<> activeHook_;
        AdmissionClass settings_;
        double deficit_ { 0 }; ///< Slot time in seconds that the class has earned and not used.
        double serviceTime_ { 0 }; ///< Learned mean service time in seconds.
        std::size_t waiting_ { 0 };
        AdmissionItems transactionItems_; ///< Statements of transactions; served before the others of the class.
        std::map<ServiceId, ServiceQueue> services_;
        ActiveServices activeServices_; ///< Services with waiting items, in turn.
    };

    using ActiveClasses = boost::intrusive::list<ClassQueue,
        boost::intrusive::member_hook<ClassQueue, boost::intrusive::list_member_hook<>, &ClassQueue::activeHook_>>;

} // namespace detail

/// The queue in front of one endpoint, in the endpoint's holder. Neither copied nor moved, because items link to it.
/// Items that are still waiting when it is destroyed are unlinked, not refused: drain it with refuseAll() first.
struct AdmissionQueue {
    explicit AdmissionQueue(AdmissionSettings);
    AdmissionQueue(const AdmissionQueue&) = delete;
    AdmissionQueue& operator=(const AdmissionQueue&) = delete;
    ~AdmissionQueue();

    AdmissionSettings settings_;
    bool hasUrgent_ { false }; ///< One of the classes is urgent, so a slot is reserved if there is more than one.
    std::size_t waiting_ { 0 };
    std::size_t running_ { 0 };
    std::size_t runningNotUrgent_ { 0 };
    detail::AdmissionDeadlines deadlines_;
    std::map<ClassId, detail::ClassQueue> classes_;
    detail::ActiveClasses activeClasses_; ///< Classes with waiting items, in turn.
};

/// An item that has to be answered as not run.
struct RefusedItem {
    AdmissionItem* item_ { nullptr };
    Reason reason_ { Reason::DeadlinePassed };
};

/// What next() decided. Refused items are outside the queue; started ones occupy a slot until finished().
struct AdmissionDecision {
    std::vector<AdmissionItem*> start_;
    std::vector<RefusedItem> refuse_;
};

/// Puts an item into the queue, or returns why it is refused as not run: QueueFull, DeadlinePassed, or
/// DeadlineUnreachable if by the learned service times it cannot start before its deadline.
std::optional<Reason> enqueue(AdmissionQueue&, AdmissionItem&, TimePoint now);

/// Starts as many items as there are free slots and connections, and refuses those whose deadline has passed. Call it
/// after enqueue(), finished(), a change of connections, and at nextDeadline().
/// freeConnections: how many items without a connection of their own may start.
AdmissionDecision next(
    AdmissionQueue&, TimePoint now, std::size_t freeConnections = std::numeric_limits<std::size_t>::max());

/// Frees the slot of a started item and learns its service time.
void finished(AdmissionQueue&, AdmissionItem&, TimePoint now);

/// Takes a waiting item out of the queue, for example because its caller has gone, or frees the slot of a started one
/// without learning from it.
void cancel(AdmissionQueue&, AdmissionItem&);

/// Takes all waiting items out, for example because the endpoint is leaving.
std::vector<RefusedItem> refuseAll(AdmissionQueue&, Reason);

/// Applies changed settings. Learned service times and waiting items stay.
void configure(AdmissionQueue&, AdmissionSettings);

/// The earliest deadline of a waiting item.
std::optional<TimePoint> nextDeadline(const AdmissionQueue&);

/// How long an item of this class and service would wait for its start by the learned service times.
Duration expectedWait(AdmissionQueue&, const ClassId&, const ServiceId&, bool ownsConnection = false);

} // namespace cassiahollow
