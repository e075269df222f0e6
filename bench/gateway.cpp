/// @file
/// Measures what the gateway adds to a request: processor time, and latency compared with direct
/// calls of the backend server in the same run; and its memory with many concurrent streams.
///
/// Example: `bench-gateway --requests 5000 --streams 1000`

#include "../tests/e2e/one_vm_fleet.h"

#include <boost/program_options.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <iostream>
#include <time.h>

namespace po = boost::program_options;
using namespace balsamport;
using namespace balsamport::testing;

namespace {

constexpr std::uint16_t firstPort = 21500;
constexpr double maxCpuMicros = 100;
constexpr double maxLatencyMicros = 1'000;
constexpr double maxMemoryMegabytes = 256;

using Clock = std::chrono::steady_clock;

double microsSince(Clock::time_point start)
{
    return std::chrono::duration<double, std::micro>(Clock::now() - start).count();
}

/// Processor time of a process, user and system, in microseconds.
double processorMicros(pid_t process)
{
    clockid_t clock = 0;
    timespec time{};
    if (clock_getcpuclockid(process, &clock) != 0 || clock_gettime(clock, &time) != 0) {
        return 0;
    }
    constexpr double microsPerSecond = 1e6;
    constexpr double nanosPerMicro = 1e3;
    return static_cast<double>(time.tv_sec) * microsPerSecond
            + static_cast<double>(time.tv_nsec) / nanosPerMicro;
}

double medianOf(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

struct Call
{
    std::string method;
    std::string url;
    std::string body;
};

/// Sends one request and measures its time in microseconds; ends the program where the request
/// fails, as the measurement would be meaningless.
double measureCall(HttpClient &client, const Call &call)
{
    OutgoingRequest request;
    request.method = call.method;
    request.url = call.url;
    request.body = call.body;
    const auto start = Clock::now();
    const auto response = client.fetch(std::move(request));
    const double micros = microsSince(start);
    constexpr int okStatus = 200;
    if (!response || response.value().status != okStatus) {
        std::cerr << "a request failed: " << call.url << "\n"
                  << (response ? response.value().body : describe(response.error())) << "\n";
        std::exit(EXIT_FAILURE);
    }
    return micros;
}

struct AddedCost
{
    double directMedian = 0;
    double gatewayMedian = 0;
    double gatewayCpu = 0; ///< Processor time of the gateway per request through it.
    double standinCpu = 0; ///< Processor time of the stand-in per request, direct or not.
};

/// Alternates direct calls and calls through the gateway, so that both meet the same load of the
/// machine.
AddedCost measure(OneVmFleet &vm, pid_t standin, const Call &direct, const Call &through,
                  int requests)
{
    HttpClient client;
    const pid_t gateway = vm.fleet.gateway("vm1").id();
    constexpr int warmUpRequests = 200;
    for (int i = 0; i < warmUpRequests; ++i) {
        measureCall(client, direct);
        measureCall(client, through);
    }
    std::vector<double> directTimes;
    std::vector<double> gatewayTimes;
    const double before = processorMicros(gateway);
    const double standinBefore = processorMicros(standin);
    const auto start = Clock::now();
    for (int i = 0; i < requests; ++i) {
        directTimes.push_back(measureCall(client, direct));
        gatewayTimes.push_back(measureCall(client, through));
    }
    const double wallMicros = microsSince(start);
    const double cpuMicros = processorMicros(gateway) - before;
    const double standinCpuMicros = processorMicros(standin) - standinBefore;
    // The processor time of the idle gateway is subtracted, as it is not caused by requests.
    const double idleBefore = processorMicros(gateway);
    const auto idleStart = Clock::now();
    sleepFor(Millis(2'000));
    const double idleRate = (processorMicros(gateway) - idleBefore) / microsSince(idleStart);
    return {medianOf(directTimes), medianOf(gatewayTimes),
            (cpuMicros - idleRate * wallMicros) / requests, standinCpuMicros / (2.0 * requests)};
}

/// State of one stream that is read to its end.
struct OpenStream
{
    std::atomic<bool> started{false};
    std::atomic<bool> ended{false};
    bool complete = false;
    std::string tail;
};

void openStream(HttpClient &client, const std::string &address, OpenStream &stream, int tokens)
{
    OutgoingRequest request;
    request.method = "POST";
    request.url = "http://" + address + "/v1/chat/completions";
    request.body = OneVmFleet::chat(tokens, true);
    ExchangeHandlers handlers;
    handlers.onBodyChunk = [&stream](std::string_view chunk) {
        constexpr std::size_t tailBytes = 32;
        stream.tail += chunk;
        stream.tail.erase(0, stream.tail.size() > tailBytes ? stream.tail.size() - tailBytes : 0);
        stream.started = true;
        return true;
    };
    handlers.onDone = [&stream](const Result<void> &result) {
        stream.complete = result.has_value() && stream.tail.find("[DONE]") != std::string::npos;
        stream.ended = true;
    };
    client.start(std::move(request), std::move(handlers));
}

struct StreamResult
{
    std::size_t concurrent = 0; ///< Most streams that had started and not ended at one time.
    std::size_t complete = 0;
    double peakMegabytes = 0;
};

StreamResult measureStreams(OneVmFleet &vm, int count)
{
    constexpr int tokens = 100;
    constexpr Millis limit{120'000};
    HttpClient client;
    std::deque<OpenStream> streams(static_cast<std::size_t>(count));
    for (OpenStream &stream : streams) {
        openStream(client, vm.gatewayAddress, stream, tokens);
    }
    StreamResult result;
    const auto countOf = [&streams](auto condition) {
        return static_cast<std::size_t>(std::count_if(streams.begin(), streams.end(), condition));
    };
    const bool ended = eventually(limit, [&] {
        result.concurrent = std::max(result.concurrent, countOf([](const OpenStream &one) {
                                         return one.started && !one.ended;
                                     }));
        return countOf([](const OpenStream &one) { return !one.ended; }) == 0;
    });
    result.complete = ended ? countOf([](const OpenStream &one) { return one.complete; }) : 0;
    constexpr double kilobytesPerMegabyte = 1'024;
    result.peakMegabytes
            = static_cast<double>(processKilobytes(vm.fleet.gateway("vm1").id(), "VmHWM"))
            / kilobytesPerMegabyte;
    return result;
}

bool report(const char *label, const AddedCost &added)
{
    const double latency = added.gatewayMedian - added.directMedian;
    const bool withinLimits = added.gatewayCpu <= maxCpuMicros && latency <= maxLatencyMicros;
    std::printf("%-28s direct p50 %7.0f us  gateway p50 %7.0f us  added %6.0f us (<= %.0f)  "
                "gateway CPU %6.1f us (<= %.0f), stand-in's own %6.1f us  %s\n",
                label, added.directMedian, added.gatewayMedian, latency, maxLatencyMicros,
                added.gatewayCpu, maxCpuMicros, added.standinCpu, withinLimits ? "ok" : "MISSED");
    return withinLimits;
}

bool benchRequests(int requests)
{
    OneVmFleet vm(firstPort, {"--batch", "2048", "--token-ms", "1"});
    if (!vm.waitUntilServing()) {
        std::cerr << "the fleet did not start\n" << vm.fleet.gateway("vm1").logText();
        return false;
    }
    const Call stockDirect{"GET", "http://" + vm.serviceAddress + "/stock/17", ""};
    const Call stockThrough{"GET", "http://" + vm.gatewayAddress + "/v1/services/lots/stock/17",
                            ""};
    const pid_t service = vm.fleet.backendServer("b1").id();
    const bool stockWithinLimits
            = report("stock look-up", measure(vm, service, stockDirect, stockThrough, requests));

    std::string directBody = OneVmFleet::chat(1, false);
    const std::string alias = "burn-plan";
    directBody.replace(directBody.find(alias), alias.size(), "citrus/burn-plan@1");
    const Call chatDirect{"POST", "http://" + vm.engineAddress + "/v1/chat/completions",
                          directBody};
    const Call chatThrough{"POST", "http://" + vm.gatewayAddress + "/v1/chat/completions",
                           OneVmFleet::chat(1, false)};
    constexpr int chatDivisor = 3; // Fewer requests, as a chat completion takes longer.
    const pid_t engine = vm.fleet.backendServer("e1").id();
    return report("chat completion, 1 token",
                  measure(vm, engine, chatDirect, chatThrough, requests / chatDivisor))
            && stockWithinLimits;
}

bool benchStreams(int count)
{
    OneVmFleet vm(firstPort + 10, {"--batch", "2048", "--token-ms", "100"});
    if (!vm.waitUntilServing()) {
        std::cerr << "the fleet did not start\n" << vm.fleet.gateway("vm1").logText();
        return false;
    }
    const StreamResult streams = measureStreams(vm, count);
    const bool withinLimits = streams.concurrent == static_cast<std::size_t>(count)
            && streams.complete == static_cast<std::size_t>(count)
            && streams.peakMegabytes < maxMemoryMegabytes;
    std::printf("%d streams: at once %zu, whole %zu, gateway peak memory %.1f MB (< %.0f)  %s\n",
                count, streams.concurrent, streams.complete, streams.peakMegabytes,
                maxMemoryMegabytes, withinLimits ? "ok" : "MISSED");
    return withinLimits;
}

} // namespace

int main(int argc, char **argv)
{
    po::options_description options("Options");
    options.add_options()("requests", po::value<int>()->default_value(3'000),
                          "requests of each kind")(
            "streams", po::value<int>()->default_value(1'000), "streams at once");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
    const bool requestsWithinLimits = benchRequests(values["requests"].as<int>());
    const bool streamsWithinLimits = benchStreams(values["streams"].as<int>());
    return requestsWithinLimits && streamsWithinLimits ? EXIT_SUCCESS : EXIT_FAILURE;
}
