#include "cassiahollow/process/Metrics.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace cassiahollow {

namespace {

    // Histograms range from 10 us, because nothing crosses a socket faster, to 1000 s with ten buckets per decade.
    constexpr double lowestSeconds = 1e-5;
    constexpr double highestSeconds = 1e3;
    constexpr unsigned bucketCount = 80;

    constexpr std::array<MetricInfo, static_cast<std::size_t>(HistogramId::Count)> histogramInfos { {
        { "request_seconds", "Time from the arrival of a request to its answer, in the entry instance." },
        { "queue_seconds", "Time in the admission queue of an endpoint." },
        { "run_seconds", "Time at the endpoint." },
        { "confirm_seconds", "Time from the endpoint's answer to the confirmation by a majority." },
        { "failover_detect_seconds", "Time from the last report of the old primary to the suspicion." },
        { "failover_decide_seconds", "Time from the suspicion to the first fence." },
        { "failover_fence_seconds", "Time from the first fence to answers from a majority." },
        { "failover_catch_up_seconds",
            "Time until the chosen replica of a planned change holds the primary's position." },
        { "failover_promote_seconds", "Time from the promotion order to its answer." },
        { "failover_route_seconds", "Time from the answer until a majority holds an entry of the new term." },
        { "failover_total_seconds", "Time from the last report of the old primary to the end of the failover." },
        { "planned_change_total_seconds", "Time from the pause of writes to the end of a planned change of primary." },
        { "settings_in_force_seconds", "Time from learning of a settings revision to its application." },
    } };

    constexpr std::array<MetricInfo, static_cast<std::size_t>(CounterId::Count)> counterInfos { {
        { "reads_at_replica_total", "Reads answered by replicas." },
        { "reads_at_primary_total", "Reads answered by primaries." },
        { "writes_total", "Writes acknowledged." },
        { "forwarded_total", "Attempts sent to other instances." },
        { "peer_sent_bytes_total", "Bytes sent to other instances." },
        { "peer_received_bytes_total", "Bytes received from other instances." },
        { "promotions_total", "Promotions finished by this instance." },
        { "leases_withdrawn_total", "Leases on primaries that this control leader ended." },
        { "leases_expired_total", "Leases on primaries that were not renewed in time." },
        { "endpoint_connections_opened_total", "Connections to endpoints that this instance began to open." },
        { "endpoint_connections_evicted_total", "Idle connections that were closed for one of another account." },
        { "quota_requests_total", "Requests for tokens of quotas sent to other instances." },
        { "quota_tokens_granted_total", "Tokens of quotas granted to other instances." },
        { "quota_tokens_lent_total", "Tokens of quotas lent to other data centres." },
        { "closed_with_input_total",
            "Clients' connections that were closed with input that was read and not handled." },
        { "catalog_reads_without_leader_total",
            "Reads of the configuration refused because no control leader was known." },
        { "catalog_reads_unconfirmed_total",
            "Reads of the configuration refused because no majority confirmed them in time." },
        { "catalog_reads_not_applied_total",
            "Reads of the configuration refused because the confirmed version was not applied here in time." },
    } };

    double seconds(Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

} // namespace

const MetricInfo& histogramInfo(HistogramId id)
{
    return histogramInfos[static_cast<std::size_t>(id)];
}

const MetricInfo& counterInfo(CounterId id)
{
    return counterInfos[static_cast<std::size_t>(id)];
}

Metrics::Metrics()
    : histograms_(static_cast<std::size_t>(HistogramId::Count),
        HistogramData { boost::histogram::make_histogram(LogAxis(bucketCount, lowestSeconds, highestSeconds)) })
{
}

void Metrics::record(HistogramId id, Duration duration)
{
    HistogramData& data = histograms_[static_cast<std::size_t>(id)];
    const double value = std::max(seconds(duration), 0.0);
    data.histogram_(std::max(value, lowestSeconds));
    data.sum_ += value;
    data.max_ = std::max(data.max_, value);
    ++data.count_;
}

void Metrics::countRequest(const ServiceId& service, const ClassId& requestClass, Outcome outcome, std::uint32_t weight)
{
    ClassCounts& counts = classes_[{ service, requestClass }];
    ++counts.outcomes_[static_cast<std::size_t>(outcome)];
    if (outcome == Outcome::Done)
        counts.weightedDone_ += weight;
}

std::string Metrics::render() const
{
    std::ostringstream text;
    text << std::setprecision(6);
    text << "# HELP cassiahollow_reason_total Refusals, retries and dropped messages by reason.\n"
            "# TYPE cassiahollow_reason_total counter\n";
    for (const auto& info : allReasons())
        text << "cassiahollow_reason_total{reason=\"" << info.name_ << "\"} " << value(info.reason_) << '\n';
    for (std::size_t i = 0; i < counterInfos.size(); ++i) {
        text << "# HELP cassiahollow_" << counterInfos[i].name_ << ' ' << counterInfos[i].help_
             << "\n# TYPE cassiahollow_" << counterInfos[i].name_ << " counter\ncassiahollow_" << counterInfos[i].name_
             << ' ' << counters_[i].load(std::memory_order_relaxed) << '\n';
    }
    text << "# TYPE cassiahollow_requests_total counter\n";
    for (const auto& [key, counts] : classes_) {
        for (const Outcome outcome : { Outcome::Done, Outcome::NotRun, Outcome::Unknown }) {
            text << "cassiahollow_requests_total{service=\"" << key.first << "\",class=\"" << key.second
                 << "\",outcome=\"" << outcomeName(outcome) << "\"} "
                 << counts.outcomes_[static_cast<std::size_t>(outcome)] << '\n';
        }
    }
    text << "# TYPE cassiahollow_weighted_service_total counter\n";
    for (const auto& [key, counts] : classes_) {
        text << "cassiahollow_weighted_service_total{service=\"" << key.first << "\",class=\"" << key.second << "\"} "
             << counts.weightedDone_ << '\n';
    }
    for (std::size_t i = 0; i < histograms_.size(); ++i) {
        const HistogramData& data = histograms_[i];
        const std::string name = "cassiahollow_" + std::string(histogramInfos[i].name_);
        text << "# HELP " << name << ' ' << histogramInfos[i].help_ << "\n# TYPE " << name << " histogram\n";
        double cumulative = 0;
        for (auto&& bin : boost::histogram::indexed(data.histogram_)) {
            if (*bin == 0)
                continue;
            cumulative += *bin;
            text << name << "_bucket{le=\"" << bin.bin().upper() << "\"} " << cumulative << '\n';
        }
        text << name << "_bucket{le=\"+Inf\"} " << data.count_ << '\n'
             << name << "_sum " << data.sum_ << '\n'
             << name << "_count " << data.count_ << '\n'
             << name << "_max " << data.max_ << '\n';
    }
    for (const auto& [name, value] : gauges_)
        text << "# TYPE cassiahollow_" << name << " gauge\ncassiahollow_" << name << ' ' << value << '\n';
    return text.str();
}

} // namespace cassiahollow
