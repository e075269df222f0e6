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
/// Below this count the estimator has not settled, and quantiles are read from the values.
constexpr std::size_t exactCapacity = 256;
constexpr std::array markers{0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999};
/// Places of the probabilities that are shown in `markers`.
constexpr std::size_t medianMarker = 2;
constexpr std::size_t ninetiethMarker = 4;
constexpr std::size_t ninetyFifthMarker = 5;
constexpr std::size_t ninetyNinthMarker = 6;

using Quantiles = ba::accumulator_set<double, ba::stats<ba::tag::extended_p_square, ba::tag::max>>;

double exactQuantile(const std::vector<double> &sorted, double probability)
{
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(std::lround(last * probability))];
}

std::string labelText(std::string_view label, const std::string &value, std::string_view extra)
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
    if (!extra.empty()) {
        text += (text.empty() ? "" : ",") + std::string(extra);
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

std::string summaryText(const MetricInfo &info, const std::string &value, const SummaryValues &seen)
{
    const std::array<std::pair<std::string_view, double>, 4> quantiles{
            {{"0.5", seen.median}, {"0.9", seen.p90}, {"0.95", seen.p95}, {"0.99", seen.p99}}};
    std::string text;
    for (const auto &[probability, quantile] : quantiles) {
        const std::string extra = fmt::format("quantile=\"{}\"", probability);
        text += fmt::format("{}{} {}\n", info.name, labelText(info.label, value, extra), quantile);
    }
    const std::string labels = labelText(info.label, value, "");
    text += fmt::format("{}_sum{} {}\n", info.name, labels, seen.sum);
    text += fmt::format("{}_count{} {}\n", info.name, labels, seen.count);
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
        if (this->first.size() < exactCapacity) {
            this->first.push_back(value);
        }
    }

    [[nodiscard]] double quantile(std::size_t marker) const
    {
        if (this->count == 0) {
            return 0;
        }
        if (this->count > this->first.size()) {
            return ba::extended_p_square(this->quantiles)[static_cast<std::ptrdiff_t>(marker)];
        }
        std::vector<double> sorted = this->first;
        std::sort(sorted.begin(), sorted.end());
        return exactQuantile(sorted, markers.at(marker));
    }

    Millis start;
    std::uint64_t count = 0;
    std::vector<double> first;
    Quantiles quantiles{ba::extended_p_square_probabilities = markers};
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
    this->turnWindow(now);
    const Window &shown = this->previous->count > 0 ? *this->previous : *this->current;
    SummaryValues result;
    result.count = this->count;
    result.sum = this->sum;
    result.median = shown.quantile(medianMarker);
    result.p90 = shown.quantile(ninetiethMarker);
    result.p95 = shown.quantile(ninetyFifthMarker);
    result.p99 = shown.quantile(ninetyNinthMarker);
    result.maximum = shown.count > 0 ? ba::max(shown.quantiles) : 0;
    return result;
}

void Summary::moveToWindow(const std::vector<double> &values, Millis now)
{
    this->turnWindow(now);
    for (const double value : values) {
        this->current->add(value);
        this->sum += value;
    }
    this->count += values.size();
}

void Summary::turnWindow(Millis now)
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
