/// @file
/// What the gateway adds to a request: processor time and latency against the backend server
/// called directly, side by side in one run, and memory with many streams at once.
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
constexpr double cpuBoundMicros = 100;
constexpr double latencyBoundMicros = 1'000;
constexpr double memoryBoundMegabytes = 256;

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

/// Makes one request; ends the program where it fails, as its time would mean nothing.
double timeOf(HttpClient &client, const Call &call)
{
    OutgoingRequest request;
    request.method = call.method;
    request.url = call.url;
    request.body = call.body;
    const auto start = Clock::now();
    const auto answer = client.fetch(std::move(request));
    const double micros = microsSince(start);
    constexpr int okStatus = 200;
    if (!answer || answer.value().status != okStatus) {
        std::cerr << "a request failed: " << call.url << "\n"
                  << (answer ? answer.value().body : describe(answer.error())) << "\n";
        std::exit(EXIT_FAILURE);
    }
    return micros;
}

struct Added
{
    double directMedian = 0;
    double gatewayMedian = 0;
    double processor = 0; ///< Of the gateway, for each request.
    double directProcessor = 0; ///< Of the stand-in, for each request of either way.
};

/// Calls directly and through the gateway in turn, so that both meet the same machine.
Added measure(OneVmFleet &vm, pid_t standin, const Call &direct, const Call &through, int requests)
{
    HttpClient client;
    const pid_t gateway = vm.fleet.gateway("vm1").id();
    constexpr int warmUp = 200;
    for (int i = 0; i < warmUp; ++i) {
        timeOf(client, direct);
        timeOf(client, through);
    }
    std::vector<double> directTimes;
    std::vector<double> gatewayTimes;
    const double before = processorMicros(gateway);
    const double standinBefore = processorMicros(standin);
    const auto start = Clock::now();
    for (int i = 0; i < requests; ++i) {
        directTimes.push_back(timeOf(client, direct));
        gatewayTimes.push_back(timeOf(client, through));
    }
    const double wall = microsSince(start);
    const double used = processorMicros(gateway) - before;
    const double standinUsed = processorMicros(standin) - standinBefore;
    // What the gateway uses at rest is not the requests' doing.
    const double restBefore = processorMicros(gateway);
    const auto restStart = Clock::now();
    sleepFor(Millis(2'000));
    const double restRate = (processorMicros(gateway) - restBefore) / microsSince(restStart);
    return {medianOf(directTimes), medianOf(gatewayTimes), (used - restRate * wall) / requests,
            standinUsed / (2.0 * requests)};
}

/// One stream that is read to its end.
struct OpenStream
{
    std::atomic<bool> started{false};
    std::atomic<bool> ended{false};
    bool whole = false;
    std::string tail;
};

void openStream(HttpClient &client, const std::string &address, OpenStream &stream, int tokens)
{
    OutgoingRequest request;
    request.method = "POST";
    request.url = "http://" + address + "/v1/chat/completions";
    request.body = OneVmFleet::chat(tokens, true);
    ExchangeHandlers handlers;
    handlers.onPiece = [&stream](std::string_view piece) {
        constexpr std::size_t kept = 32;
        stream.tail += piece;
        stream.tail.erase(0, stream.tail.size() > kept ? stream.tail.size() - kept : 0);
        stream.started = true;
        return true;
    };
    handlers.onDone = [&stream](const Result<void> &result) {
        stream.whole = result.has_value() && stream.tail.find("[DONE]") != std::string::npos;
        stream.ended = true;
    };
    client.start(std::move(request), std::move(handlers));
}

struct StreamResult
{
    std::size_t atOnce = 0; ///< Streams that had started and not ended at one moment.
    std::size_t whole = 0;
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
        result.atOnce = std::max(result.atOnce, countOf([](const OpenStream &one) {
                                     return one.started && !one.ended;
                                 }));
        return countOf([](const OpenStream &one) { return !one.ended; }) == 0;
    });
    result.whole = ended ? countOf([](const OpenStream &one) { return one.whole; }) : 0;
    constexpr double kilobytesPerMegabyte = 1'024;
    result.peakMegabytes
            = static_cast<double>(processKilobytes(vm.fleet.gateway("vm1").id(), "VmHWM"))
            / kilobytesPerMegabyte;
    return result;
}

bool report(const char *what, const Added &added)
{
    const double latency = added.gatewayMedian - added.directMedian;
    const bool good = added.processor <= cpuBoundMicros && latency <= latencyBoundMicros;
    std::printf("%-28s direct p50 %7.0f us  gateway p50 %7.0f us  added %6.0f us (<= %.0f)  "
                "gateway CPU %6.1f us (<= %.0f), stand-in's own %6.1f us  %s\n",
                what, added.directMedian, added.gatewayMedian, latency, latencyBoundMicros,
                added.processor, cpuBoundMicros, added.directProcessor, good ? "ok" : "MISSED");
    return good;
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
    const bool stockGood
            = report("stock look-up", measure(vm, service, stockDirect, stockThrough, requests));

    std::string directBody = OneVmFleet::chat(1, false);
    const std::string alias = "burn-plan";
    directBody.replace(directBody.find(alias), alias.size(), "citrus/burn-plan@1");
    const Call chatDirect{"POST", "http://" + vm.engineAddress + "/v1/chat/completions",
                          directBody};
    const Call chatThrough{"POST", "http://" + vm.gatewayAddress + "/v1/chat/completions",
                           OneVmFleet::chat(1, false)};
    constexpr int chatPart = 3; // A chat completion takes longer.
    const pid_t engine = vm.fleet.backendServer("e1").id();
    return report("chat completion, 1 token",
                  measure(vm, engine, chatDirect, chatThrough, requests / chatPart))
            && stockGood;
}

bool benchStreams(int count)
{
    OneVmFleet vm(firstPort + 10, {"--batch", "2048", "--token-ms", "100"});
    if (!vm.waitUntilServing()) {
        std::cerr << "the fleet did not start\n" << vm.fleet.gateway("vm1").logText();
        return false;
    }
    const StreamResult streams = measureStreams(vm, count);
    const bool good = streams.atOnce == static_cast<std::size_t>(count)
            && streams.whole == static_cast<std::size_t>(count)
            && streams.peakMegabytes < memoryBoundMegabytes;
    std::printf("%d streams: at once %zu, whole %zu, gateway peak memory %.1f MB (< %.0f)  %s\n",
                count, streams.atOnce, streams.whole, streams.peakMegabytes, memoryBoundMegabytes,
                good ? "ok" : "MISSED");
    return good;
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
    const bool requestsGood = benchRequests(values["requests"].as<int>());
    const bool streamsGood = benchStreams(values["streams"].as<int>());
    return requestsGood && streamsGood ? EXIT_SUCCESS : EXIT_FAILURE;
}
