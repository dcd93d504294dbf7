#pragma once

#include "cassiahollow/process/Reasons.h"
#include "cassiahollow/process/Types.h"

#include <array>
#include <atomic>
#include <boost/histogram.hpp>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cassiahollow {

/// Identifies a histogram of the process. Add new values before Count, with a row in Metrics.cpp.
enum class HistogramId : std::uint8_t {
    RequestTime, ///< From the arrival of a request to its response, in the entry instance.
    QueueTime, ///< In the admission queue of an endpoint.
    RunTime, ///< At the endpoint.
    ConfirmTime, ///< From the endpoint's response to the confirmation by a majority.
    FailoverDetect,
    FailoverDecide,
    FailoverFence,
    FailoverCatchUp,
    FailoverPromote,
    FailoverRoute,
    FailoverTotal,
    PlannedChangeTotal,
    SettingsInForce, ///< From the receipt of a settings revision to its application in this instance.
    Count
};

/// Identifies a monotonic counter; reasons have counters of their own. Add new values before Count, with a row in
/// Metrics.cpp.
enum class CounterId : std::uint8_t {
    ReadsAtReplica,
    ReadsAtPrimary,
    Writes,
    Forwarded,
    PeerBytesSent,
    PeerBytesReceived,
    Promotions,
    LeasesWithdrawn,
    LeasesExpired,
    ConnectionsOpened,
    ConnectionsEvicted,
    QuotaRequests,
    QuotaTokensGranted,
    QuotaTokensLent,
    ClosedWithInput,
    ReadsWithoutLeader,
    ReadsUnconfirmed,
    ReadsNotApplied,
    Count
};

struct MetricInfo {
    std::string_view name_;
    std::string_view help_;
};

const MetricInfo& histogramInfo(HistogramId);
const MetricInfo& counterInfo(CounterId);

/// Counters, gauges and histograms of one process. The methods that count, add, set or read a single counter are
/// thread-safe. All other methods may be called only from the serve task.
class Metrics {
public:
    Metrics();

    void count(Reason reason) { reasons_[static_cast<std::size_t>(reason)].fetch_add(1, std::memory_order_relaxed); }
    std::uint64_t value(Reason reason) const
    {
        return reasons_[static_cast<std::size_t>(reason)].load(std::memory_order_relaxed);
    }

    void add(CounterId id, std::uint64_t amount = 1)
    {
        counters_[static_cast<std::size_t>(id)].fetch_add(amount, std::memory_order_relaxed);
    }
    void set(CounterId id, std::uint64_t total)
    {
        counters_[static_cast<std::size_t>(id)].store(total, std::memory_order_relaxed);
    }

    void record(HistogramId, Duration);

    /// Counts one request of a class after its response. The weight is added to the weighted total if it is done.
    void countRequest(const ServiceId&, const ClassId&, Outcome, std::uint32_t weight);

    /// Sets a gauge, such as "applied_revision".
    void setGauge(const std::string& name, double value) { gauges_[name] = value; }

    /// Returns all metrics in the Prometheus text format; durations are in seconds.
    std::string render() const;

private:
    using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using DurationHistogram = decltype(boost::histogram::make_histogram(std::declval<LogAxis>()));

    struct HistogramData {
        DurationHistogram histogram_;
        double sum_ { 0 };
        double max_ { 0 };
        std::uint64_t count_ { 0 };
    };

    struct ClassCounts {
        std::array<std::uint64_t, 3> outcomes_ {};
        std::uint64_t weightedDone_ { 0 };
    };

    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(Reason::Count)> reasons_ {};
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(CounterId::Count)> counters_ {};
    std::vector<HistogramData> histograms_;
    std::map<std::pair<ServiceId, ClassId>, ClassCounts> classes_;
    std::map<std::string, double> gauges_;
};

} // namespace cassiahollow
