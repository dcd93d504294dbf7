#pragma once

#include "cassiahollow/process/Reasons.h"
#include "cassiahollow/process/Types.h"

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <vector>

namespace cassiahollow {

/// A statement that waits for or occupies a slot of an endpoint. Owned by the request. Must not move in memory from
/// enqueue() until it is finished, refused or cancelled.
struct AdmissionItem {
    enum class State : std::uint8_t { Outside, Waiting, Running };

    ClassId class_;
    ServiceId service_;
    /// The latest useful start: the caller's deadline minus the time that the response takes after the start. If this
    /// were the caller's deadline itself, an overloaded queue would start most statements too late for their callers.
    TimePoint deadline_;
    /// Set for a statement of a transaction that already has a connection; it needs no free one.
    bool ownsConnection_ { false };
    /// Identifies the item to its owner. The queue does not use it.
    std::uint64_t id_ { 0 };

    State state_ { State::Outside };
    TimePoint startedAt_;
    bool startedUrgent_ { false }; ///< Whether its class was urgent when the item started.
    boost::intrusive::list_member_hook<> queueHook_;
    boost::intrusive::set_member_hook<> deadlineHook_;
};

/// Settings of one class.
struct AdmissionClass {
    double weight_ { 1 }; ///< Relative share of the slot time while all classes have waiting items. Must be above 0.
    bool urgent_ { false }; ///< May use the reserved slot.
    double value_ { 1 }; ///< Worth of one statement that starts in time, relative to the other classes.
};

/// How the classes of a queue share its slots.
enum class AdmissionOrder : std::uint8_t {
    Shares, ///< By weight: deficit round robin.
    /// By the value of one second of a slot, which is the value of a statement divided by the measured service time.
    /// Each class keeps guaranteedShare, and a statement whose deadline is near starts before more valuable ones that
    /// can all still wait. Covers overload by long statements of little value.
    Value,
};

/// Share of the slot time that each class with waiting items gets in AdmissionOrder::Value, so that none starves.
inline constexpr double guaranteedShare = 0.05;

/// Limits of one queue.
struct AdmissionSettings {
    std::size_t slots_ { 1 }; ///< Maximum number of statements in flight, from the endpoint's announcement.
    /// Maximum number of waiting items. Half of the places are open to any class. The other half is divided among the
    /// classes by weight, so that a burst of one class does not exclude the others.
    std::size_t maximumLength_ { 1000 };
    /// Assumed service time of a class until its first statement has finished.
    Duration initialServiceTime_ { std::chrono::milliseconds(2) };
    std::map<ClassId, AdmissionClass> classes_; ///< Classes that are not listed have weight 1 and are not urgent.
    AdmissionOrder order_ { AdmissionOrder::Shares };
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
        double deficit_ { 0 }; ///< Deficit round robin credit: unused slot time in seconds.
        double serviceTime_ { 0 }; ///< Measured mean service time in seconds.
        std::size_t waiting_ { 0 };
        AdmissionItems transactionItems_; ///< Statements of transactions; served before the others of the class.
        std::map<ServiceId, ServiceQueue> services_;
        ActiveServices activeServices_; ///< Services with waiting items, in round-robin order.
        ServiceQueue* startable_ { nullptr }; ///< The service whose item may start; valid within next().
    };

    using ActiveClasses = boost::intrusive::list<ClassQueue,
        boost::intrusive::member_hook<ClassQueue, boost::intrusive::list_member_hook<>, &ClassQueue::activeHook_>>;

} // namespace detail

/// The queue in front of one endpoint, kept by the instance that holds the endpoint. Neither copyable nor movable,
/// because items link to it. The destructor unlinks waiting items without refusing them: call refuseAll() first.
struct AdmissionQueue {
    explicit AdmissionQueue(AdmissionSettings);
    AdmissionQueue(const AdmissionQueue&) = delete;
    AdmissionQueue& operator=(const AdmissionQueue&) = delete;
    ~AdmissionQueue();

    AdmissionSettings settings_;
    /// settings_.slots_, smoothed over slotsTime: limits that are learned vary by one slot from moment to moment, and a
    /// wait that is expected from the lowest of them would refuse statements that can start in time.
    double expectedSlots_ { 0 };
    TimePoint slotsAt_; ///< Time of the last update of expectedSlots_; the epoch before the first one.
    bool hasUrgent_ { false }; ///< Some class is urgent; one slot is then reserved if there are several.
    std::size_t waiting_ { 0 };
    std::size_t running_ { 0 };
    std::size_t runningNotUrgent_ { 0 };
    detail::AdmissionDeadlines deadlines_;
    std::map<ClassId, detail::ClassQueue> classes_;
    detail::ActiveClasses activeClasses_; ///< Classes with waiting items, in round-robin order.
};

/// An item whose caller has to receive the outcome "not run".
struct RefusedItem {
    AdmissionItem* item_ { nullptr };
    Reason reason_ { Reason::DeadlinePassed };
};

/// The result of next(). Refused items have left the queue; started ones occupy a slot until finished().
struct AdmissionDecision {
    std::vector<AdmissionItem*> start_;
    std::vector<RefusedItem> refuse_;
};

/// Adds an item to the queue, or returns why it is refused as not run: QueueFull, DeadlinePassed, or
/// DeadlineUnreachable if by the measured service times it cannot start before its deadline.
std::optional<Reason> enqueue(AdmissionQueue&, AdmissionItem&, TimePoint now);

/// Starts as many items as there are free slots and connections, and refuses those whose deadline has passed. Must be
/// called after enqueue(), after finished(), after a change of connections, and at nextDeadline().
/// `freeConnections` limits how many items without a connection of their own may start. With `mayStart`, a service is
/// passed over while its first item may not start, for example because there is no connection of its account.
AdmissionDecision next(AdmissionQueue&, TimePoint now,
    std::size_t freeConnections = std::numeric_limits<std::size_t>::max(),
    const std::function<bool(const AdmissionItem&)>& mayStart = {});

/// Frees the slot of a started item and updates the mean service time of its class.
void finished(AdmissionQueue&, AdmissionItem&, TimePoint now);

/// Removes a waiting item from the queue, for example because its caller has disconnected, or frees the slot of a
/// started one without updating the mean service time.
void cancel(AdmissionQueue&, AdmissionItem&);

/// Removes all waiting items, for example because the endpoint is leaving, and returns them with the reason.
std::vector<RefusedItem> refuseAll(AdmissionQueue&, Reason);

/// Applies changed settings. Measured service times and waiting items are kept.
void configure(AdmissionQueue&, AdmissionSettings);

/// The earliest deadline of a waiting item, or nothing if none waits.
std::optional<TimePoint> nextDeadline(const AdmissionQueue&);

/// The waiting items of a class and service without a connection of their own.
std::size_t waitingOf(const AdmissionQueue&, const ClassId&, const ServiceId&);

/// How long a new item of this class and service would wait for its start, by the measured service times.
Duration expectedWait(AdmissionQueue&, const ClassId&, const ServiceId&, bool ownsConnection = false);

} // namespace cassiahollow
