// A replica of the booking service is full, refuses a booking (503, X-Not-Executed), and later
// sends a copy of that refusal once more, where the next response is expected.
// Usage: late_copy RECORD. Exit: 1 if a booking ran twice (rule TWICE), 0 if not, 2 if the case
// couldn't run or went beyond the limits of the disruption.

#include "world.h"

using namespace world;

namespace {

constexpr int replicaCount = 3;
constexpr double maxSpoiledShare = 0.03;
constexpr long maxTroubleMs = 5'000;
constexpr int bookingsBefore = 60; ///< Within the trouble, before the service is full.
constexpr int bookingsAfter = 15;
constexpr long pauseMs = 35;
/// Requests that the service, which is full, still refuses before slots are free again.
std::atomic<int> refusalsLeft{0};
std::mutex runsMutex;
std::map<std::string, int> runs;

/// A replica of the service "hire-app".
struct Replica
{
    std::string id;
    std::string zone;
    std::string address;
    bool spoils = false; ///< Sends a late copy of a refusal.
    std::atomic<int> copies{0};
    std::atomic<int> answers{0};
    std::atomic<int> active{0};
    std::unique_ptr<Server> server;

    std::string entry(long sequence, long born) const
    {
        return "{\"service\":\"hire-app\",\"address\":\"" + this->address + "\",\"zone\":\""
                + this->zone + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
                  "\"cold_remaining_ms\":0,\"models\":[],\"sequence\":" + std::to_string(sequence)
                + ",\"born\":" + std::to_string(born) + "}";
    }
    void serve(const std::shared_ptr<Socket> &socket, Record &record)
    {
        std::string copy; // Of a response, still to be sent on this connection.
        while (true) {
            const Message request = socket->read(600'000);
            if (!request.complete) {
                return;
            }
            const std::string requestId = request.header("x-request-id");
            if (!copy.empty()) {
                ++this->copies;
                record.line("%s sends a late copy of its refusal; next on the connection is %s",
                            this->id.c_str(), requestId.c_str());
                socket->write(std::exchange(copy, ""));
            }
            const std::string echoed = "X-Request-Id: " + requestId + "\r\n";
            ++this->answers;
            if (request.header("x-expect-instance") != this->id) {
                socket->write(response(421, "X-Instance-Id: " + this->id + "\r\n", ""));
                continue;
            }
            if (refusalsLeft > 0) {
                --refusalsLeft;
                record.line("%s is full and refuses %s", this->id.c_str(), requestId.c_str());
                const std::string refusal = response(503, echoed + "X-Not-Executed: 1\r\n", "");
                copy = this->spoils ? refusal : std::string();
                socket->write(refusal);
                continue;
            }
            {
                const std::lock_guard lock(runsMutex);
                record.line("%s runs %s, run %d", this->id.c_str(), requestId.c_str(),
                            ++runs[requestId]);
            }
            sleepMs(15);
            socket->write(response(200, echoed + "X-Response-Seal: seal-" + requestId + "\r\n",
                                   "booked " + requestId));
        }
    }
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2) {
        return 2;
    }
    Record record(argv[1]);
    const std::string folder = makeFolder();
    Store store(freeAddress(1));
    const std::vector<std::string> zones{"leic-a", "brum-a", "nott-b"};
    std::vector<std::unique_ptr<Replica>> replicas;
    for (int i = 0; i < replicaCount; ++i) {
        auto replica = std::make_unique<Replica>();
        replica->id = "i-" + std::to_string(i + 1);
        replica->zone = zones[static_cast<std::size_t>(i)];
        replica->address = freeAddress(20 + i);
        replica->spoils = i == 0 && troubled();
        replica->server = std::make_unique<Server>(
                replica->address,
                [raw = replica.get(), &record](const auto &socket) { raw->serve(socket, record); });
        replicas.push_back(std::move(replica));
    }
    store.put("op/config",
              "{\"version\":7,\"routes\":[{\"name\":\"book-deposit\",\"host\":\"hire.example\","
              "\"prefix\":\"/book/\",\"kind\":\"unsafe\",\"timeout_ms\":1500,"
              "\"target_latency_ms\":300,\"priority\":2,\"service\":\"hire-app\","
              "\"max_attempts\":1}],\"services\":[{\"name\":\"hire-app\",\"max_connections\":110,"
              "\"health_path\":\"/health\"}],\"limits\":{\"max_header_bytes\":16384,"
              "\"max_body_bytes\":4194304,\"header_timeout_ms\":2000,\"idle_timeout_ms\":10000}}");
    const long born = static_cast<long>(time(nullptr)) * 1000;
    std::thread([&] {
        for (long sequence = 0;; ++sequence) {
            for (const auto &replica : replicas) {
                store.put("servers/" + replica->id, replica->entry(sequence, born));
            }
            sleepMs(1'200);
        }
    }).detach();

    std::vector<std::unique_ptr<Daemon>> daemons;
    std::vector<std::string> seeds;
    for (int i = 0; i < 3; ++i) {
        daemons.push_back(std::make_unique<Daemon>(10 + i, zones[static_cast<std::size_t>(i)],
                                                   folder));
        seeds.push_back(daemons.back()->control);
    }
    for (const auto &daemon : daemons) {
        daemon->writeSettings(seeds, store.address);
        daemon->start();
    }
    bool usable = true;
    for (const auto &daemon : daemons) {
        usable = usable && daemon->waitReady(10'000);
    }
    sleepMs(1'000);

    Client client(daemons[0]->front);
    std::map<std::string, int> statuses;
    int served = 0;
    const auto book = [&](int number) {
        const std::string id = "b" + std::to_string(1000 + number);
        const Message answer = client.call("POST", "/book/deposit", id, 3'000, "", "lot " + id);
        statuses[id] = answer.status();
        served += answer.status() == 200 ? 1 : 0;
        record.line("client: %s is answered %d", id.c_str(), answer.status());
    };
    int number = 0;
    for (; usable && number < 20; ++number) { // Before the trouble.
        book(number);
        sleepMs(pauseMs);
    }
    const long troubleFrom = nowMs();
    const int answersBefore = replicas[0]->answers;
    record.line("the trouble begins: %s may send late copies", replicas[0]->id.c_str());
    for (int i = 0; usable && i < bookingsBefore; ++i) {
        book(number++);
        sleepMs(pauseMs);
    }
    refusalsLeft = replicaCount;
    for (int i = 0; usable && i < bookingsAfter; ++i) {
        book(number++);
        sleepMs(pauseMs);
    }
    const long troubleMs = nowMs() - troubleFrom;
    const int troubleAnswers = replicas[0]->answers - answersBefore;
    const double spoiledShare = static_cast<double>(replicas[0]->copies) / std::max(troubleAnswers, 1);
    record.line("the trouble ends after %ld ms: %d late copies beside %d answers of %s", troubleMs,
                replicas[0]->copies.load(), troubleAnswers, replicas[0]->id.c_str());
    const bool inLimits = troubleMs <= maxTroubleMs && spoiledShare <= maxSpoiledShare;
    sleepMs(300);
    for (const auto &daemon : daemons) {
        daemon->end();
    }
    int twice = 0;
    int refusedButRan = 0;
    {
        const std::lock_guard lock(runsMutex);
        for (const auto &[id, status] : statuses) {
            const int count = runs.count(id) == 0 ? 0 : runs[id];
            const bool refused = status == 503 || status == 429 || status == 408 || status == 421;
            twice += count > 1 ? 1 : 0;
            refusedButRan += refused && count > 0 ? 1 : 0;
            if (count > 1 || (refused && count > 0)) {
                record.line("BROKEN: %s ran %d times, answered %d", id.c_str(), count, status);
            }
        }
    }
    record.line("bookings %zu, served %d, TWICE %d, refused though it ran %d", statuses.size(), served,
                twice, refusedButRan);
    std::printf("TWICE %d, served %d of %zu, late copies %d of %d answers in %ld ms\n", twice, served,
                statuses.size(), replicas[0]->copies.load(), troubleAnswers, troubleMs);
    const std::string remove = "rm -rf '" + folder + "'";
    if (std::getenv("KEEP") == nullptr) {
        (void)!std::system(remove.c_str());
    }
    std::fflush(stdout);
    // The threads of the stand-ins still run.
    _exit(!usable || !inLimits || served < 80 ? 2 : (twice > 0 ? 1 : 0));
}
