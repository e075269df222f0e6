#include "load_settings.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>

namespace po = boost::program_options;

namespace balsamport {

namespace {

constexpr std::int64_t millisPerSecond = 1'000;

std::vector<std::string> splitList(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    boost::split(parts, text, [separator](char c) { return c == separator; });
    std::erase(parts, std::string());
    return parts;
}

Error invalidSetting(const std::string &key, const std::string &expected)
{
    return Error{ErrorCode::SettingInvalid, "expected: " + expected, SourceLocation{"", 0, key}};
}

/// Parses "ALIAS=ADAPTER@VERSION|ADAPTER@VERSION,..."; a name without "=" is served by the adapter
/// version of that name.
std::vector<WorkloadModel> parseModels(const std::string &text)
{
    std::vector<WorkloadModel> models;
    for (const std::string &part : splitList(text, ',')) {
        const std::size_t equals = part.find('=');
        const std::string name = part.substr(0, equals);
        const std::string versions = equals == std::string::npos ? name : part.substr(equals + 1);
        models.push_back(WorkloadModel{name, splitList(versions, '|')});
    }
    return models;
}

void addNumberedModels(const po::variables_map &values, std::vector<WorkloadModel> &models)
{
    const auto prefix = values["load.adapter-prefix"].as<std::string>();
    const auto count = values["load.adapters"].as<std::uint32_t>();
    const auto version = values["load.adapter-version"].as<std::uint32_t>();
    for (std::uint32_t number = 1; number <= count; ++number) {
        const std::string name = prefix + std::to_string(number) + "@" + std::to_string(version);
        models.push_back(WorkloadModel{name, {name}});
    }
}

} // namespace

po::options_description loadOptions()
{
    po::options_description options;
    auto add = options.add_options();
    const auto text = [] { return po::value<std::string>()->default_value(""); };
    const auto number = [](double value) { return po::value<double>()->default_value(value); };
    const auto count
            = [](std::uint32_t value) { return po::value<std::uint32_t>()->default_value(value); };
    add("load.gateways", po::value<std::string>()->required(), "IP:PORT,... of the gateways");
    add("load.engines", text(), "IP:PORT,... of the engine stand-ins, for their batch fill");
    add("load.ledgers", text(), "IP:PORT,... of the booking stand-ins, for their ledgers");
    add("load.service", po::value<std::string>()->default_value("bookings"), "booking service");
    add("load.api-key", text(), "key that callers send");
    add("load.models", text(), "NAME=ADAPTER@VERSION|...,... most popular first");
    add("load.adapter-prefix", text(), "prefix of numbered adapters, after load.models");
    add("load.adapters", count(0), "how many numbered adapters");
    add("load.adapter-version", count(1), "version of the numbered adapters");
    add("load.rate", number(50), "requests a second outside the peak");
    add("load.seconds", count(10), "length of the run");
    add("load.peak-factor", number(1), "rate at the middle of the run, relative to its ends");
    add("load.zipf-exponent", number(1), "popularity of the n-th model is 1 / n^exponent");
    add("load.shift-seconds", count(0), "how often the popularity shifts; 0 for never");
    add("load.shift-step", count(1), "places by which it shifts");
    add("load.whole-share", number(0.3), "share of answers that are not streamed");
    add("load.booking-share", number(0.1), "share of bookings");
    add("load.repeat-share", number(0.2), "share of bookings that are sent twice");
    add("load.repeat-delay-ms", count(50), "time between a booking and its repeat");
    add("load.tokens", count(16), "tokens of an answer");
    add("load.timeout-seconds", count(60), "longest wait for an answer");
    add("load.seed", po::value<std::uint64_t>()->default_value(1), "seed of the random choices");
    add("load.output", text(), "folder for report.json, load.dat and load.gp");
    return options;
}

Result<LoadSettings> readLoadSettings(const po::variables_map &values)
{
    const auto number = [&values](const char *key) { return values[key].as<double>(); };
    const auto count = [&values](const char *key) { return values[key].as<std::uint32_t>(); };
    const auto text = [&values](const char *key) { return values[key].as<std::string>(); };
    LoadSettings settings;
    settings.gateways = splitList(text("load.gateways"), ',');
    settings.engines = splitList(text("load.engines"), ',');
    settings.ledgers = splitList(text("load.ledgers"), ',');
    settings.service = text("load.service");
    settings.apiKey = text("load.api-key");
    settings.output = text("load.output");
    settings.timeout = Millis(count("load.timeout-seconds") * millisPerSecond);
    WorkloadSettings &workload = settings.workload;
    workload.requestsPerSecond = number("load.rate");
    workload.duration = Millis(count("load.seconds") * millisPerSecond);
    workload.peakFactor = number("load.peak-factor");
    workload.models = parseModels(text("load.models"));
    addNumberedModels(values, workload.models);
    workload.zipfExponent = number("load.zipf-exponent");
    workload.shiftPeriod = Millis(count("load.shift-seconds") * millisPerSecond);
    workload.shiftStep = count("load.shift-step");
    workload.completeShare = number("load.whole-share");
    workload.bookingShare = number("load.booking-share");
    workload.repeatShare = number("load.repeat-share");
    workload.repeatDelay = Millis(count("load.repeat-delay-ms"));
    workload.tokens = count("load.tokens");
    workload.seed = values["load.seed"].as<std::uint64_t>();
    if (settings.gateways.empty()) {
        return invalidSetting("load.gateways", "at least one IP:PORT");
    }
    if (workload.models.empty() && workload.bookingShare < 1) {
        return invalidSetting("load.models", "at least one model, here or by load.adapters");
    }
    if (workload.requestsPerSecond <= 0 || workload.peakFactor <= 0) {
        return invalidSetting("load.rate", "a rate and a peak factor above 0");
    }
    return settings;
}

} // namespace balsamport
