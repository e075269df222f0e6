#ifndef BALSAMPORT_CORE_METRICS_H
#define BALSAMPORT_CORE_METRICS_H

#include <balsamport/core/clock.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace balsamport {

/// @brief How a metric's values develop.
enum class MetricKind : std::uint8_t {
    Counter, ///< Only rises.
    Gauge, ///< Rises and falls.
    Summary, ///< Quantiles, sum and count of observed values.
};

/// @brief Describes a metric, with constant lifetime. See metric_names.h for all of them.
struct MetricInfo
{
    std::string_view name; ///< With its unit as the suffix, as Prometheus advises.
    MetricKind kind = MetricKind::Counter;
    std::string_view label; ///< Name of the one label; empty for none.
    std::string_view help;

    bool operator==(const MetricInfo &) const = default;
};

/// @brief A number that only rises. Lock-free.
class Counter
{
public:
    void add(std::uint64_t amount = 1) noexcept
    {
        this->total.fetch_add(amount, std::memory_order_relaxed);
    }
    [[nodiscard]] std::uint64_t value() const noexcept
    {
        return this->total.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> total{0};
};

/// @brief A number that is set. Lock-free.
class Gauge
{
public:
    void set(double number) noexcept { this->current.store(number, std::memory_order_relaxed); }
    [[nodiscard]] double value() const noexcept
    {
        return this->current.load(std::memory_order_relaxed);
    }

private:
    std::atomic<double> current{0};
};

/// @brief What a Summary has seen.
struct SummaryValues
{
    std::uint64_t count = 0; ///< Since the start.
    double sum = 0; ///< Since the start.
    double median = 0; ///< Of the last whole window, or of the first one while it lasts.
    double p90 = 0;
    double p95 = 0;
    double p99 = 0;
    double maximum = 0;

    bool operator==(const SummaryValues &) const = default;
};

/// @brief Quantiles of observed values over windows of one minute, by Boost.Accumulators.
///
/// Threads write into shards of their own, each under its own lock; a full shard is moved into the
/// window's accumulators at once, so that the lock that all threads share is rarely taken.
class Summary
{
public:
    Summary();
    ~Summary();
    Summary(const Summary &) = delete;
    Summary &operator=(const Summary &) = delete;

    /// @brief Takes one value.
    /// @param now the monotonic clock
    /// @complexity constant
    void observe(double value, Millis now);

    /// @brief Moves what the shards hold and reads the window.
    [[nodiscard]] SummaryValues values(Millis now);

private:
    struct Shard;
    struct Window;
    static constexpr std::size_t shardCount = 8;

    void moveToWindow(const std::vector<double> &values, Millis now);
    void turnWindow(Millis now);

    std::array<std::unique_ptr<Shard>, shardCount> shards;
    std::mutex windowMutex;
    std::unique_ptr<Window> current;
    std::unique_ptr<Window> previous;
    std::uint64_t count = 0;
    double sum = 0;
};

/// @brief All metrics of a process. Safe to use from several threads.
///
/// References stay valid as long as the registry; keep them where a value changes often.
/// Example: `metrics.counter(metric::refusals, "overloaded").add();`
class MetricsRegistry
{
public:
    /// @param labelValue value of the metric's label; empty where it has none
    /// @complexity logarithmic in the number of metrics, under a lock
    Counter &counter(const MetricInfo &info, std::string_view labelValue = {});
    Gauge &gauge(const MetricInfo &info, std::string_view labelValue = {});
    Summary &summary(const MetricInfo &info, std::string_view labelValue = {});

    /// @brief Writes all metrics in Prometheus' text format.
    [[nodiscard]] std::string prometheusText(Millis now);

private:
    struct Entry
    {
        MetricInfo info;
        std::map<std::string, std::unique_ptr<Counter>, std::less<>> counters;
        std::map<std::string, std::unique_ptr<Gauge>, std::less<>> gauges;
        std::map<std::string, std::unique_ptr<Summary>, std::less<>> summaries;
    };

    Entry &entry(const MetricInfo &info);

    std::mutex mutex;
    std::map<std::string_view, Entry> entries;
};

/// @return the registry that the process exposes at /metrics
[[nodiscard]] MetricsRegistry &processMetrics();

} // namespace balsamport

#endif
