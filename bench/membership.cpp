/// @file
/// Measures the cost of the control plane for each controller (bytes, processor time, memory) and
/// the time until a revision is in force. All members run in one process and communicate over
/// loopback.

#include <balsamport/controllers/config_controller.h>
#include <balsamport/controllers/membership_controller.h>
#include <balsamport/controllers/ownership_controller.h>
#include <balsamport/core/log.h>

#include <boost/program_options.hpp>

#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace po = boost::program_options;

namespace balsamport {

namespace {

constexpr std::size_t dataCentres = 3;
constexpr int firstPort = 24500;
constexpr int portRange = 400;
constexpr double serversPerVm = 760.0 / 340.0;
/// Excludes the start from the measurement: a fleet that starts at once sends gossip about every
/// member.
constexpr Millis startupTime{12'000};
constexpr Millis startupTimePerMember{700};
constexpr Millis listInterval{500}; ///< Between two lists of VMs from the platform.
constexpr std::chrono::milliseconds tickInterval{20}; ///< Between two ticks of all members.
constexpr std::size_t targetFleet = 340;
constexpr double percentPerUnit = 100.0;

std::string endpointOf(std::size_t member)
{
    return "tcp://127.0.0.1:" + std::to_string(firstPort + static_cast<int>(member) % portRange);
}

Member memberOf(std::size_t index)
{
    Member member;
    member.instance
            = VmInstance{VmId("vm" + std::to_string(index)),
                         Incarnation(static_cast<std::uint64_t>(wallNow().count()) * 1024 + index)};
    member.dataCentre = DataCentreId("dc" + std::to_string(index % dataCentres));
    member.controllerEndpoint = endpointOf(index);
    member.gatewayAddress = "10.0.0.1:8080";
    return member;
}

std::vector<SourceFile> configOf(std::size_t members, std::uint64_t change)
{
    std::string text;
    for (std::size_t i = 0; i < dataCentres; ++i) {
        text += "[data-centre dc" + std::to_string(i) + "]\nregion = r1\n";
    }
    const auto servers = static_cast<std::size_t>(serversPerVm * static_cast<double>(members));
    for (std::size_t i = 0; i < servers; ++i) {
        text += "[backend-server e" + std::to_string(i) + "]\naddress = 10.1."
                + std::to_string(i / 250) + "." + std::to_string(i % 250)
                + ":8000\ndata-centre = dc" + std::to_string(i % dataCentres) + "\nbase = citrus\n";
    }
    return {{"10-base.ini", text},
            {"20-change.ini",
             "[limits]\nlink-bytes-per-second = " + std::to_string(1'000'000 + change) + "\n"}};
}

/// A controller without its grants: the parts whose cost may grow with the size of the fleet.
class Node
{
public:
    Node(std::size_t index, const std::vector<std::string> &seeds)
        : self(memberOf(index))
        , client(std::make_unique<MessageClient>(nameOf(this->self), CurveKeys{}))
        , membership(*this->client, MembershipSettings{this->self, seeds, {}})
        , ownership(*this->client, this->membership, this->self)
        , config(*this->client, [this](const SnapshotPtr &snapshot, bool fromPlatform) {
            this->inForceAt = monotonicNow().count();
            this->revision = snapshot->revision.number();
            this->ownership.update(snapshot);
            this->membership.announceConfig(snapshot->revision, snapshot->digest, fromPlatform);
        })
    {
        this->membership.onPeerConfig(
                [this](const PeerConfig &peer) { this->config.pullFromPeer(peer); });
        auto started = MessageServer::start(
                this->self.controllerEndpoint, nameOf(this->self), {},
                [this](const wire::Envelope &message, const ReplySender &reply) {
                    if (!this->membership.handle(message, reply)
                        && !this->ownership.handle(message, reply)) {
                        this->config.handle(message, reply);
                    }
                });
        this->server = std::move(started.value());
    }
    ~Node()
    {
        this->config.stop();
        this->server.reset();
        this->client.reset();
    }
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    void tick()
    {
        const Millis now = monotonicNow();
        this->membership.tick(now);
        this->ownership.tick(now);
    }
    [[nodiscard]] std::uint64_t bytes() const
    {
        return this->client->bytesSent() + this->client->bytesReceived() + this->server->bytesSent()
                + this->server->bytesReceived();
    }

    static MessageSender nameOf(const Member &member)
    {
        return {member.instance.vm.str(), member.instance.incarnation.number()};
    }

    const Member self;
    std::atomic<std::int64_t> inForceAt{0};
    std::atomic<std::uint64_t> revision{0};
    std::unique_ptr<MessageClient> client;
    MembershipController membership;
    OwnershipController ownership;
    ConfigController config;
    std::unique_ptr<MessageServer> server;
};

double cpuSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    constexpr double micro = 1e-6;
    return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec)
            + static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) * micro;
}

double residentMegabytes()
{
    std::ifstream statm("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    statm >> total >> resident;
    constexpr double pageMegabytes = 4096.0 / 1048576.0;
    return static_cast<double>(resident) * pageMegabytes;
}

/// A fleet that one thread ticks; its watchers receive the list of VMs in each listInterval, as
/// from the platform.
class Fleet
{
public:
    explicit Fleet(std::size_t members)
    {
        const std::vector<std::string> seeds = {endpointOf(0), endpointOf(1), endpointOf(2)};
        for (std::size_t i = 0; i < members; ++i) {
            this->nodes.push_back(std::make_unique<Node>(i, seeds));
            const Member &self = this->nodes.back()->self;
            this->list.push_back(ListedVm{self.instance.vm, self.dataCentre,
                                          self.controllerEndpoint, self.gatewayAddress, false});
        }
        for (const auto &node : this->nodes) {
            node->membership.applyPlatformList(this->list, monotonicNow());
        }
        this->publish(1);
        this->ticker = std::thread([this] { this->run(); });
    }
    ~Fleet()
    {
        this->stopping = true;
        this->ticker.join();
    }
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /// Submits a revision to the watchers, as their read of the platform does.
    void publish(std::uint64_t revision)
    {
        for (const auto &node : this->nodes) {
            if (node->membership.isWatcher()) {
                node->config.submit(
                        CandidateRevision{RevisionContent{ConfigRevision(revision), 0,
                                                          configOf(this->nodes.size(), revision)},
                                          true});
            }
        }
    }

    /// @return milliseconds until the revision was in force on the last member; -1 if never
    std::int64_t timeInForce(std::uint64_t revision)
    {
        constexpr Millis limit{10'000};
        const Millis start = monotonicNow();
        this->publish(revision);
        while (monotonicNow() < start + limit) {
            std::int64_t last = 0;
            const bool all
                    = std::all_of(this->nodes.begin(), this->nodes.end(), [&](const auto &n) {
                          last = std::max(last, n->inForceAt.load());
                          return n->revision == revision;
                      });
            if (all) {
                return last - start.count();
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return -1;
    }

    [[nodiscard]] double bytes() const
    {
        double sum = 0;
        for (const auto &node : this->nodes) {
            sum += static_cast<double>(node->bytes());
        }
        return sum;
    }
    [[nodiscard]] std::size_t size() const { return this->nodes.size(); }

private:
    void run()
    {
        Millis nextList;
        while (!this->stopping) {
            const Millis now = monotonicNow();
            for (const auto &node : this->nodes) {
                node->tick();
            }
            if (now >= nextList) {
                nextList = now + listInterval;
                for (const auto &node : this->nodes) {
                    if (node->membership.isWatcher()) {
                        node->membership.applyPlatformList(this->list, now);
                    }
                }
            }
            std::this_thread::sleep_for(tickInterval);
        }
    }

    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<ListedVm> list;
    std::atomic<bool> stopping{false};
    std::thread ticker;
};

struct MemberCosts
{
    double bytesPerSecond = 0;
    double cpuPercent = 0;
    double megabytes = 0;
};

void print(const std::string &name, double value, const std::string &unit)
{
    std::cout << "capacity: name=" << name << " value=" << value << " unit=" << unit << std::endl;
}

void waitForStartup(std::size_t members)
{
    const Millis time = startupTime + startupTimePerMember * static_cast<std::int64_t>(members);
    std::this_thread::sleep_for(std::chrono::milliseconds(time.count()));
}

MemberCosts measure(std::size_t members, Millis time)
{
    const double memoryBefore = residentMegabytes();
    Fleet fleet(members);
    waitForStartup(members);
    const double bytes = fleet.bytes();
    const double cpu = cpuSeconds();
    std::this_thread::sleep_for(std::chrono::milliseconds(time.count()));
    const auto seconds = static_cast<double>(time.count()) / 1000.0;
    const auto count = static_cast<double>(members);
    MemberCosts costs;
    costs.bytesPerSecond = (fleet.bytes() - bytes) / seconds / count;
    costs.cpuPercent = (cpuSeconds() - cpu) / seconds / count * percentPerUnit;
    costs.megabytes = (residentMegabytes() - memoryBefore) / count;
    const std::string suffix = "-" + std::to_string(members);
    print("control-bytes" + suffix, costs.bytesPerSecond, "bytes/s/daemon");
    print("control-cpu" + suffix, costs.cpuPercent, "percent-of-a-core/daemon");
    print("control-memory" + suffix, costs.megabytes, "MB/daemon");
    return costs;
}

void measureRevisions(std::size_t members, std::uint64_t rounds)
{
    Fleet fleet(members);
    waitForStartup(members);
    std::vector<std::int64_t> times;
    for (std::uint64_t i = 0; i < rounds; ++i) {
        times.push_back(fleet.timeInForce(i + 2));
        if (times.back() < 0) {
            std::cout << "a revision did not come in force everywhere" << std::endl;
            std::exit(1);
        }
    }
    std::sort(times.begin(), times.end());
    const auto at = [&times](double share) {
        return static_cast<double>(
                times[static_cast<std::size_t>(share * static_cast<double>(times.size() - 1))]);
    };
    constexpr double median = 0.5;
    constexpr double high = 0.99;
    const std::string suffix = "-" + std::to_string(members);
    print("revision-in-force-p50" + suffix, at(median), "ms");
    print("revision-in-force-p99" + suffix, at(high), "ms");
}

double atTarget(double smallCost, double largeCost, double smallSize, double largeSize)
{
    const double slope = (largeCost - smallCost) / (largeSize - smallSize);
    return largeCost + slope * (static_cast<double>(targetFleet) - largeSize);
}

} // namespace

} // namespace balsamport

int main(int argc, char **argv)
{
    using namespace balsamport;
    po::options_description options("bench-membership");
    options.add_options()("help", "print this help")("seconds", po::value<int>()->default_value(15),
                                                     "time of each measurement")(
            "revisions", po::value<std::uint64_t>()->default_value(100), "revisions published")(
            "members", po::value<std::vector<std::size_t>>()->multitoken(), "fleet sizes");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    if (values.count("help") != 0) {
        std::cout << options;
        return 0;
    }
    startLogging("bench-membership", 2);
    std::vector<std::size_t> sizes = {8, 40, 120};
    if (values.count("members") != 0) {
        sizes = values["members"].as<std::vector<std::size_t>>();
    }
    const Millis time(values["seconds"].as<int>() * std::int64_t{1000});
    std::vector<MemberCosts> costs;
    for (const std::size_t size : sizes) {
        costs.push_back(measure(size, time));
    }
    if (costs.size() > 1) {
        const auto smallSize = static_cast<double>(sizes.front());
        const auto largeSize = static_cast<double>(sizes.back());
        print("control-bytes-340-by-slope",
              atTarget(costs.front().bytesPerSecond, costs.back().bytesPerSecond, smallSize,
                       largeSize),
              "bytes/s/daemon");
        print("control-cpu-340-by-slope",
              atTarget(costs.front().cpuPercent, costs.back().cpuPercent, smallSize, largeSize),
              "percent-of-a-core/daemon");
        print("control-memory-340-by-slope",
              atTarget(costs.front().megabytes, costs.back().megabytes, smallSize, largeSize),
              "MB/daemon");
    }
    measureRevisions(sizes.front(), values["revisions"].as<std::uint64_t>());
    return 0;
}
