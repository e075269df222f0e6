// Guards against wrong quantiles and lost values, against metrics that docs, alerts and dashboard
// do not match, and against counters that fall after a restart of the controller.

#include <balsamport/controllers/status_metrics.h>
#include <balsamport/core/metric_names.h>
#include <balsamport/core/metrics.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <random>
#include <regex>
#include <sstream>
#include <thread>

using namespace balsamport;

namespace {

constexpr Millis start{1'000};

constexpr MetricInfo plain{"test_events_total", MetricKind::Counter, "", "Events"};
constexpr MetricInfo labelled{"test_faults_total", MetricKind::Counter, "type", "Faults"};
constexpr MetricInfo level{"test_level", MetricKind::Gauge, "", "A level"};
constexpr MetricInfo timing{"test_wait_seconds", MetricKind::Summary, "", "Waits"};

/// @return the value at a probability in a sorted list
double quantileOf(const std::vector<double> &sorted, double probability)
{
    return sorted[static_cast<std::size_t>(static_cast<double>(sorted.size() - 1) * probability)];
}

std::string readFile(const std::string &name)
{
    std::ifstream stream(std::string(BALSAMPORT_SOURCE_DIR) + "/" + name);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

bool isMetric(const std::string &name)
{
    return std::any_of(metric::all.begin(), metric::all.end(),
                       [&name](const MetricInfo &info) { return info.name == name; });
}

} // namespace

TEST_CASE("a summary")
{
    Summary summary;

    SECTION("without values reports zeros")
    {
        REQUIRE(summary.values(start) == SummaryValues{});
    }

    SECTION("of few values reports exact quantiles")
    {
        for (int i = 1; i <= 100; ++i) {
            summary.observe(i, start);
        }
        const SummaryValues values = summary.values(start);
        REQUIRE(values.count == 100);
        REQUIRE(values.sum == Approx(5050));
        REQUIRE(values.median == Approx(51));
        REQUIRE(values.p99 == Approx(99));
        REQUIRE(values.maximum == Approx(100));
    }

    SECTION("of many skewed values estimates quantiles within 5 % (p99: 10 %)")
    {
        std::mt19937 random(7);
        std::lognormal_distribution<double> waits(0, 1);
        std::vector<double> all;
        for (int i = 0; i < 50'000; ++i) {
            all.push_back(waits(random));
            summary.observe(all.back(), start);
        }
        std::sort(all.begin(), all.end());
        const SummaryValues values = summary.values(start);
        REQUIRE(values.median == Approx(quantileOf(all, 0.5)).epsilon(0.05));
        REQUIRE(values.p95 == Approx(quantileOf(all, 0.95)).epsilon(0.05));
        REQUIRE(values.p99 == Approx(quantileOf(all, 0.99)).epsilon(0.10));
    }

    SECTION("reports a minute's quantiles until the next minute has ended, and keeps the count")
    {
        summary.observe(50, start);
        REQUIRE(summary.values(start).median == Approx(50));
        summary.observe(1, start + Millis(61'000));
        REQUIRE(summary.values(start + Millis(61'000)).median == Approx(50));
        summary.observe(1, start + Millis(122'000));
        const SummaryValues values = summary.values(start + Millis(122'000));
        REQUIRE(values.median == Approx(1));
        REQUIRE(values.count == 3);
    }

    SECTION("loses no value with concurrent writers")
    {
        std::vector<std::thread> threads;
        for (int i = 0; i < 4; ++i) {
            threads.emplace_back([&summary] {
                for (int j = 0; j < 10'000; ++j) {
                    summary.observe(1, start);
                }
            });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        REQUIRE(summary.values(start).count == 40'000);
        REQUIRE(summary.values(start).sum == Approx(40'000));
    }
}

TEST_CASE("a registry of metrics")
{
    MetricsRegistry registry;

    SECTION("returns the same metric for the same name and label")
    {
        registry.counter(labelled, "a").add();
        registry.counter(labelled, "a").add(2);
        registry.counter(labelled, "b").add();
        REQUIRE(registry.counter(labelled, "a").value() == 3);
        REQUIRE(registry.counter(labelled, "b").value() == 1);
    }

    SECTION("writes the Prometheus text format")
    {
        registry.counter(plain).add(5);
        registry.counter(labelled, "odd \"name\"\n").add();
        registry.gauge(level).set(0.5);
        registry.summary(timing).observe(2, start);
        REQUIRE(registry.prometheusText(start)
                == "# HELP test_events_total Events\n"
                   "# TYPE test_events_total counter\n"
                   "test_events_total 5\n"
                   "# HELP test_faults_total Faults\n"
                   "# TYPE test_faults_total counter\n"
                   "test_faults_total{type=\"odd \\\"name\\\"\\n\"} 1\n"
                   "# HELP test_level A level\n"
                   "# TYPE test_level gauge\n"
                   "test_level 0.5\n"
                   "# HELP test_wait_seconds Waits\n"
                   "# TYPE test_wait_seconds summary\n"
                   "test_wait_seconds{quantile=\"0.5\"} 2\n"
                   "test_wait_seconds{quantile=\"0.9\"} 2\n"
                   "test_wait_seconds{quantile=\"0.95\"} 2\n"
                   "test_wait_seconds{quantile=\"0.99\"} 2\n"
                   "test_wait_seconds_sum 2\n"
                   "test_wait_seconds_count 1\n");
    }
}

TEST_CASE("the metrics of the system")
{
    SECTION("have unique names, and only those of counters end in _total")
    {
        std::vector<std::string_view> names;
        for (const MetricInfo &info : metric::all) {
            names.push_back(info.name);
            REQUIRE(info.name.ends_with("_total") == (info.kind == MetricKind::Counter));
        }
        std::sort(names.begin(), names.end());
        REQUIRE(std::adjacent_find(names.begin(), names.end()) == names.end());
    }

    SECTION("are exactly those of docs/METRICS.md")
    {
        std::size_t rows = 0;
        std::istringstream page(readFile("docs/METRICS.md"));
        for (std::string line; std::getline(page, line);) {
            rows += line.starts_with("| `balsamport_") ? 1 : 0;
        }
        REQUIRE(rows == metric::all.size());
        const std::string text = readFile("docs/METRICS.md");
        for (const MetricInfo &info : metric::all) {
            REQUIRE(text.find("| `" + std::string(info.name) + "` |") != std::string::npos);
        }
    }

    SECTION("include all that alerts and dashboard use")
    {
        const std::string text = readFile("docs/alerts.yml") + readFile("docs/dashboard.json");
        const std::regex pattern("balsamport_[a-z_]+");
        std::size_t found = 0;
        for (std::sregex_iterator it(text.begin(), text.end(), pattern), end; it != end; ++it) {
            REQUIRE(isMetric(it->str()));
            ++found;
        }
        REQUIRE(found > metric::all.size());
    }
}

TEST_CASE("metrics of a controller's status")
{
    Snapshot snapshot;
    BackendServerConfig engine;
    engine.id = BackendServerId("e1");
    engine.batchWidth = 8;
    snapshot.backendServers.emplace(engine.id, engine);
    engine.id = BackendServerId("e2");
    snapshot.backendServers.emplace(engine.id, engine);
    wire::StatusReply status;
    status.set_loads_started(5);
    for (const char *id : {"e1", "e2", "unknown"}) {
        wire::ServerStatus &server = *status.add_servers();
        server.set_backend_server(id);
        server.set_running(2);
        server.set_effective(std::string(id) != "e2");
    }
    MetricsRegistry metrics;
    StatusRecorder recorder(metrics);
    recorder.record(status, snapshot);

    SECTION("include only declared backend servers that the controller owns")
    {
        const std::string text = metrics.prometheusText(start);
        REQUIRE(text.find("balsamport_batch_fill_ratio{backend_server=\"e1\"} 0.25")
                != std::string::npos);
        REQUIRE(text.find("e2") == std::string::npos);
        REQUIRE(text.find("unknown") == std::string::npos);
    }

    SECTION("never decrease when the controller restarts")
    {
        status.set_loads_started(7);
        recorder.record(status, snapshot);
        REQUIRE(metrics.counter(metric::loads).value() == 7);
        status.set_loads_started(1);
        recorder.record(status, snapshot);
        REQUIRE(metrics.counter(metric::loads).value() == 8);
    }
}
