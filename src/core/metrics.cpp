#include <balsamport/core/metrics.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <thread>

namespace balsamport {

namespace ba = boost::accumulators;

namespace {

constexpr std::size_t shardCapacity = 128;
constexpr Millis windowLength{60'000};
/// Up to this number of values the estimator is inaccurate, and quantiles are computed exactly.
constexpr std::size_t maxExactValues = 256;
constexpr std::array probabilities{0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999};
/// Indices of the exported probabilities in `probabilities`.
constexpr std::size_t medianIndex = 2;
constexpr std::size_t ninetiethIndex = 4;
constexpr std::size_t ninetyFifthIndex = 5;
constexpr std::size_t ninetyNinthIndex = 6;

using Quantiles = ba::accumulator_set<double, ba::stats<ba::tag::extended_p_square, ba::tag::max>>;

double exactQuantile(const std::vector<double> &sorted, double probability)
{
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(std::lround(last * probability))];
}

std::string labelText(std::string_view label, const std::string &value,
                      std::string_view quantileLabel)
{
    std::string text;
    if (!label.empty()) {
        text = fmt::format("{}=\"", label);
        for (const char c : value) {
            if (c == '\n') {
                text += "\\n";
                continue;
            }
            if (c == '"' || c == '\\') {
                text += '\\';
            }
            text += c;
        }
        text += "\"";
    }
    if (!quantileLabel.empty()) {
        text += (text.empty() ? "" : ",") + std::string(quantileLabel);
    }
    return text.empty() ? text : "{" + text + "}";
}

std::string_view kindName(MetricKind kind)
{
    switch (kind) {
    case MetricKind::Counter:
        return "counter";
    case MetricKind::Gauge:
        return "gauge";
    case MetricKind::Summary:
        break;
    }
    return "summary";
}

std::string summaryText(const MetricInfo &info, const std::string &value,
                        const SummaryValues &statistics)
{
    const std::array<std::pair<std::string_view, double>, 4> quantiles{{{"0.5", statistics.median},
                                                                        {"0.9", statistics.p90},
                                                                        {"0.95", statistics.p95},
                                                                        {"0.99", statistics.p99}}};
    std::string text;
    for (const auto &[probability, quantile] : quantiles) {
        const std::string quantileLabel = fmt::format("quantile=\"{}\"", probability);
        text += fmt::format("{}{} {}\n", info.name, labelText(info.label, value, quantileLabel),
                            quantile);
    }
    const std::string labels = labelText(info.label, value, "");
    text += fmt::format("{}_sum{} {}\n", info.name, labels, statistics.sum);
    text += fmt::format("{}_count{} {}\n", info.name, labels, statistics.count);
    return text;
}

template<typename T>
T &findOrAdd(std::map<std::string, std::unique_ptr<T>, std::less<>> &values,
             std::string_view labelValue)
{
    auto found = values.find(labelValue);
    if (found == values.end()) {
        found = values.emplace(std::string(labelValue), std::make_unique<T>()).first;
    }
    return *found->second;
}

} // namespace

struct Summary::Shard
{
    std::mutex mutex;
    std::vector<double> values;
};

struct Summary::Window
{
    explicit Window(Millis now)
        : start(now)
    { }

    void add(double value)
    {
        this->quantiles(value);
        ++this->count;
        if (this->first.size() < maxExactValues) {
            this->first.push_back(value);
        }
    }

    [[nodiscard]] double quantile(std::size_t index) const
    {
        if (this->count == 0) {
            return 0;
        }
        if (this->count > this->first.size()) {
            return ba::extended_p_square(this->quantiles)[static_cast<std::ptrdiff_t>(index)];
        }
        std::vector<double> sorted = this->first;
        std::sort(sorted.begin(), sorted.end());
        return exactQuantile(sorted, probabilities.at(index));
    }

    Millis start;
    std::uint64_t count = 0;
    std::vector<double> first;
    Quantiles quantiles{ba::extended_p_square_probabilities = probabilities};
};

Summary::Summary()
    : current(std::make_unique<Window>(Millis(0)))
    , previous(std::make_unique<Window>(Millis(0)))
{
    for (auto &shard : this->shards) {
        shard = std::make_unique<Shard>();
        shard->values.reserve(shardCapacity);
    }
}

Summary::~Summary() = default;

void Summary::observe(double value, Millis now)
{
    const std::size_t thread = std::hash<std::thread::id>()(std::this_thread::get_id());
    Shard &shard = *this->shards[thread % shardCount];
    std::vector<double> full;
    {
        const std::lock_guard lock(shard.mutex);
        shard.values.push_back(value);
        if (shard.values.size() < shardCapacity) {
            return;
        }
        full.swap(shard.values);
        shard.values.reserve(shardCapacity);
    }
    const std::lock_guard lock(this->windowMutex);
    this->moveToWindow(full, now);
}

SummaryValues Summary::values(Millis now)
{
    const std::lock_guard lock(this->windowMutex);
    for (const auto &shard : this->shards) {
        const std::lock_guard shardLock(shard->mutex);
        this->moveToWindow(shard->values, now);
        shard->values.clear();
    }
    this->rotateWindow(now);
    const Window &reported = this->previous->count > 0 ? *this->previous : *this->current;
    SummaryValues result;
    result.count = this->count;
    result.sum = this->sum;
    result.median = reported.quantile(medianIndex);
    result.p90 = reported.quantile(ninetiethIndex);
    result.p95 = reported.quantile(ninetyFifthIndex);
    result.p99 = reported.quantile(ninetyNinthIndex);
    result.maximum = reported.count > 0 ? ba::max(reported.quantiles) : 0;
    return result;
}

void Summary::moveToWindow(const std::vector<double> &values, Millis now)
{
    this->rotateWindow(now);
    for (const double value : values) {
        this->current->add(value);
        this->sum += value;
    }
    this->count += values.size();
}

void Summary::rotateWindow(Millis now)
{
    if (this->current->count == 0) {
        this->current->start = now;
    }
    if (now - this->current->start < windowLength) {
        return;
    }
    this->previous = std::move(this->current);
    this->current = std::make_unique<Window>(now);
}

MetricsRegistry::Entry &MetricsRegistry::entry(const MetricInfo &info)
{
    Entry &found = this->entries[info.name];
    found.info = info;
    return found;
}

Counter &MetricsRegistry::counter(const MetricInfo &info, std::string_view labelValue)
{
    const std::lock_guard lock(this->mutex);
    return findOrAdd(this->entry(info).counters, labelValue);
}

Gauge &MetricsRegistry::gauge(const MetricInfo &info, std::string_view labelValue)
{
    const std::lock_guard lock(this->mutex);
    return findOrAdd(this->entry(info).gauges, labelValue);
}

Summary &MetricsRegistry::summary(const MetricInfo &info, std::string_view labelValue)
{
    const std::lock_guard lock(this->mutex);
    return findOrAdd(this->entry(info).summaries, labelValue);
}

std::string MetricsRegistry::prometheusText(Millis now)
{
    const std::lock_guard lock(this->mutex);
    std::string text;
    for (const auto &[name, entry] : this->entries) {
        text += fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, entry.info.help, name,
                            kindName(entry.info.kind));
        for (const auto &[value, counter] : entry.counters) {
            text += fmt::format("{}{} {}\n", name, labelText(entry.info.label, value, ""),
                                counter->value());
        }
        for (const auto &[value, gauge] : entry.gauges) {
            text += fmt::format("{}{} {}\n", name, labelText(entry.info.label, value, ""),
                                gauge->value());
        }
        for (const auto &[value, summary] : entry.summaries) {
            text += summaryText(entry.info, value, summary->values(now));
        }
    }
    return text;
}

MetricsRegistry &processMetrics()
{
    static MetricsRegistry registry;
    return registry;
}

} // namespace balsamport
