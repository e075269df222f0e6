#include <balsamport/tools/load_report.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>
#include <fmt/format.h>
#include <rapidjson/prettywriter.h>
#include <rapidjson/stringbuffer.h>

#include <algorithm>

namespace balsamport {

namespace ba = boost::accumulators;

namespace {

constexpr std::int64_t millisPerSecond = 1'000;
constexpr std::array requestKinds{RequestKind::Stream, RequestKind::Complete, RequestKind::Booking};

using Tail = ba::accumulator_set<double, ba::stats<ba::tag::tail_quantile<ba::right>>>;
using Json = rapidjson::PrettyWriter<rapidjson::StringBuffer>;

std::string kindName(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Stream:
        return "stream";
    case RequestKind::Complete:
        return "whole";
    case RequestKind::Booking:
        break;
    }
    return "booking";
}

/// Returns the durations, in milliseconds, of the good responses of one kind.
std::vector<double> durations(const LoadReport &report, RequestKind kind,
                              Millis LoadSample::*duration)
{
    std::vector<double> values;
    for (const LoadSample &sample : report.samples) {
        if (sample.verdict == ResponseVerdict::Good && sample.planned.kind == kind) {
            values.push_back(static_cast<double>((sample.*duration).count()));
        }
    }
    return values;
}

std::map<std::string, std::uint64_t> countVerdicts(const LoadReport &report)
{
    std::map<std::string, std::uint64_t> counts;
    for (const LoadSample &sample : report.samples) {
        std::string name(verdictName(sample.verdict));
        name += sample.errorType.empty() ? "" : ":" + sample.errorType;
        ++counts[name];
    }
    return counts;
}

std::string tableRow(const std::string &name, const Distribution &distribution)
{
    return fmt::format("{:<22}{:>8}{:>9.0f}{:>9.0f}{:>9.0f}{:>9.0f}{:>9.0f}\n", name,
                       distribution.count, distribution.median, distribution.p90, distribution.p95,
                       distribution.p99, distribution.maximum);
}

void writeDistribution(Json &json, const std::string &name, const Distribution &distribution)
{
    json.Key(name.c_str());
    json.StartObject();
    json.Key("count");
    json.Uint64(distribution.count);
    const std::array<std::pair<const char *, double>, 5> numbers{
            {{"p50_ms", distribution.median},
             {"p90_ms", distribution.p90},
             {"p95_ms", distribution.p95},
             {"p99_ms", distribution.p99},
             {"max_ms", distribution.maximum}}};
    for (const auto &[key, number] : numbers) {
        json.Key(key);
        json.Double(number);
    }
    json.EndObject();
}

void writeLedger(Json &json, const LoadReport &report)
{
    json.Key("ledger");
    json.StartObject();
    json.Key("read");
    json.Bool(report.ledgerRead);
    const std::array<std::pair<const char *, std::uint64_t>, 4> numbers{
            {{"keys", report.keysUsed},
             {"ran_twice", report.ledger.ranTwice},
             {"ran_though_told_not", report.ledger.ranThoughReportedNotRun},
             {"missing_though_told_ran", report.ledger.missingThoughReportedRan}}};
    for (const auto &[key, number] : numbers) {
        json.Key(key);
        json.Uint64(number);
    }
    json.EndObject();
}

/// Results of the requests that were due to be sent within one second.
struct SecondStats
{
    std::uint64_t sent = 0;
    std::uint64_t good = 0;
    std::uint64_t refused = 0;
    std::vector<double> timesToFirstByte;
    FleetSample fleet;
};

std::vector<SecondStats> statsBySecond(const LoadReport &report)
{
    std::vector<SecondStats> seconds(
            static_cast<std::size_t>(report.settings.duration.count() / millisPerSecond) + 1);
    const auto secondAt = [&seconds](Millis at) -> SecondStats & {
        const auto index = static_cast<std::size_t>(at.count() / millisPerSecond);
        return seconds[std::min(index, seconds.size() - 1)];
    };
    for (const LoadSample &sample : report.samples) {
        SecondStats &second = secondAt(sample.planned.at);
        ++second.sent;
        second.good += sample.verdict == ResponseVerdict::Good ? 1 : 0;
        second.refused += sample.verdict == ResponseVerdict::Refused ? 1 : 0;
        if (sample.verdict == ResponseVerdict::Good && sample.planned.kind == RequestKind::Stream) {
            second.timesToFirstByte.push_back(static_cast<double>(sample.timeToFirstByte.count()));
        }
    }
    for (const FleetSample &sample : report.fleet) {
        secondAt(sample.at).fleet = sample;
    }
    return seconds;
}

} // namespace

Distribution distributionOf(const std::vector<double> &values)
{
    Distribution result;
    result.count = values.size();
    if (values.empty()) {
        return result;
    }
    Tail tail(ba::tag::tail<ba::right>::cache_size = values.size());
    for (const double value : values) {
        tail(value);
    }
    const auto at = [&tail](double probability) {
        return ba::quantile(tail, ba::quantile_probability = probability);
    };
    constexpr double p50 = 0.5;
    constexpr double p90 = 0.9;
    constexpr double p95 = 0.95;
    constexpr double p99 = 0.99;
    result.median = at(p50);
    result.p90 = at(p90);
    result.p95 = at(p95);
    result.p99 = at(p99);
    result.maximum = *std::max_element(values.begin(), values.end());
    return result;
}

std::uint64_t LoadReport::violations() const
{
    const auto violationCount
            = std::count_if(this->samples.begin(), this->samples.end(),
                            [](const LoadSample &sample) { return isViolation(sample.verdict); });
    return static_cast<std::uint64_t>(violationCount) + this->ledger.total();
}

std::string reportAsTable(const LoadReport &report)
{
    std::string text = fmt::format("{:<22}{:>8}{:>9}{:>9}{:>9}{:>9}{:>9}\n", "milliseconds",
                                   "count", "p50", "p90", "p95", "p99", "max");
    for (const RequestKind kind : requestKinds) {
        const auto firstByteTimes
                = distributionOf(durations(report, kind, &LoadSample::timeToFirstByte));
        const auto completionTimes
                = distributionOf(durations(report, kind, &LoadSample::timeToCompletion));
        text += tableRow(kindName(kind) + " first byte", firstByteTimes);
        text += tableRow(kindName(kind) + " whole", completionTimes);
    }
    text += "\nanswers\n";
    for (const auto &[name, count] : countVerdicts(report)) {
        text += fmt::format("{:<30}{:>8}\n", name, count);
    }
    text += fmt::format("\nledger: {} keys, {}, ran twice {}, ran though reported not run {}, "
                        "missing though reported run {}\n",
                        report.keysUsed, report.ledgerRead ? "read" : "not read",
                        report.ledger.ranTwice, report.ledger.ranThoughReportedNotRun,
                        report.ledger.missingThoughReportedRan);
    return text + fmt::format("violations: {}\n", report.violations());
}

std::string reportAsJson(const LoadReport &report)
{
    rapidjson::StringBuffer buffer;
    Json json(buffer);
    json.StartObject();
    json.Key("requests");
    json.Uint64(report.samples.size());
    json.Key("violations");
    json.Uint64(report.violations());
    for (const RequestKind kind : requestKinds) {
        writeDistribution(json, kindName(kind) + "_first_byte",
                          distributionOf(durations(report, kind, &LoadSample::timeToFirstByte)));
        writeDistribution(json, kindName(kind) + "_whole",
                          distributionOf(durations(report, kind, &LoadSample::timeToCompletion)));
    }
    json.Key("answers");
    json.StartObject();
    for (const auto &[name, count] : countVerdicts(report)) {
        json.Key(name.c_str());
        json.Uint64(count);
    }
    json.EndObject();
    writeLedger(json, report);
    json.EndObject();
    return std::string(buffer.GetString()) + "\n";
}

std::string reportAsPlotData(const LoadReport &report)
{
    std::string text
            = "# second sent first_p50_ms first_p95_ms load_stall_p95_ms batch_fill_percent "
              "good refused other\n";
    constexpr double percentAll = 100;
    const std::vector<SecondStats> seconds = statsBySecond(report);
    for (std::size_t i = 0; i < seconds.size(); ++i) {
        const SecondStats &second = seconds[i];
        const Distribution firstByteTimes = distributionOf(second.timesToFirstByte);
        text += fmt::format("{} {} {} {} {} {:.1f} {} {} {}\n", i, second.sent,
                            firstByteTimes.median, firstByteTimes.p95, second.fleet.loadStallMs,
                            second.fleet.batchFill * percentAll, second.good, second.refused,
                            second.sent - second.good - second.refused);
    }
    return text;
}

std::string plotScript(const std::string &dataFile, const std::string &svgFile)
{
    return fmt::format(R"(set terminal svg size 1000,900 background "white"
set output "{1}"
set multiplot layout 3,1
set xlabel "second of the run"
set key left top
set ylabel "milliseconds"
set title "First token and load stall"
plot "{0}" using 1:3 with lines title "first token, median", \
     "{0}" using 1:4 with lines title "first token, 95th percentile", \
     "{0}" using 1:5 with lines title "load stall, 95th percentile"
set ylabel "percent"
set yrange [0:100]
set title "Batch fill"
plot "{0}" using 1:6 with lines title "batch slots in use, all engines"
set ylabel "requests a second"
set yrange [0:*]
set title "Outcomes"
plot "{0}" using 1:2 with lines title "sent", \
     "{0}" using 1:7 with lines title "good", \
     "{0}" using 1:8 with lines title "refused", \
     "{0}" using 1:9 with lines title "other"
unset multiplot
)",
                       dataFile, svgFile);
}

} // namespace balsamport
