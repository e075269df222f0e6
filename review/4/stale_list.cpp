// The daemon that reads the store for its zone is killed and restarted while a replica leaves.
// Usage: stale_list RECORD. Exit: 1 if requests reach the replica later than drain_ms after the store
// has accepted that it is gone (rule DRAIN), 0 if not.

#include "world.h"

#include <fstream>

using namespace world;

namespace {

constexpr long drainMs = 3'000;
constexpr long servesOnMs = 6'000; ///< After the entry was removed.
constexpr int replicaCount = 4; ///< Of which one leaves at a time: a share of 0.25.
constexpr int cycles = 8;
constexpr long cycleMs = 8'000;

struct Replica
{
    std::string id;
    std::string address;
    std::atomic<long> removedAt{-1};
    std::atomic<bool> ended{false};
    std::atomic<int> late{0}; ///< Requests that reached it later than drainMs after its removal.
    std::atomic<int> cut{0}; ///< Runs that its end cut off.
    std::mutex mutex;
    std::vector<std::weak_ptr<Socket>> sockets;
    std::unique_ptr<Server> server;

    std::string entry(long sequence, long born) const
    {
        return "{\"service\":\"hire-app\",\"address\":\"" + this->address
                + "\",\"zone\":\"leic-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
                  "\"cold_remaining_ms\":0,\"models\":[],\"sequence\":" + std::to_string(sequence)
                + ",\"born\":" + std::to_string(born) + "}";
    }
    void serve(const std::shared_ptr<Socket> &socket, Record &record)
    {
        {
            const std::lock_guard lock(this->mutex);
            this->sockets.push_back(socket);
        }
        while (true) {
            const Message request = socket->read(600'000);
            if (!request.complete || this->ended) {
                socket->reset();
                return;
            }
            const std::string requestId = request.header("x-request-id");
            const std::string echoed = "X-Request-Id: " + requestId + "\r\n";
            if (request.header("x-expect-instance") != this->id) {
                socket->write(response(421, "X-Instance-Id: " + this->id + "\r\n", ""));
                continue;
            }
            const long since = this->removedAt < 0 ? -1 : nowMs() - this->removedAt;
            if (since > drainMs) {
                ++this->late;
                record.line("BROKEN: %s reaches %s %ld ms after its removal", requestId.c_str(),
                            this->id.c_str(), since);
            }
            sleepMs(30);
            if (this->ended) {
                ++this->cut;
                record.line("%s ends while it runs %s", this->id.c_str(), requestId.c_str());
                socket->reset();
                return;
            }
            socket->write(response(200, echoed + "X-Response-Seal: seal-" + requestId + "\r\n",
                                   "done " + requestId));
        }
    }
    void end()
    {
        this->ended = true;
        this->server->stop();
        const std::lock_guard lock(this->mutex);
        for (const auto &weak : this->sockets) {
            if (const auto socket = weak.lock()) {
                socket->shutdown();
            }
        }
    }
};

/// Returns whether the daemon's log says that it reads the store for its zone.
bool isReader(const Daemon &daemon)
{
    std::ifstream file(daemon.logFile);
    int reads = 0;
    for (std::string line; std::getline(file, line);) {
        reads += line.find("\"event\":\"store_read\",\"reader\":true") != std::string::npos ? 1 : 0;
    }
    return reads > 2;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2) {
        return 2;
    }
    Record record(argv[1]);
    const std::string folder = makeFolder();
    Store store(freeAddress(1));
    const long born = static_cast<long>(time(nullptr)) * 1000;
    std::mutex replicasMutex;
    std::vector<std::unique_ptr<Replica>> replicas;
    const auto addReplica = [&] {
        auto replica = std::make_unique<Replica>();
        const std::lock_guard lock(replicasMutex);
        replica->id = "i-" + std::to_string(replicas.size() + 1);
        replica->address = freeAddress(20 + static_cast<int>(replicas.size()));
        replica->server = std::make_unique<Server>(
                replica->address,
                [raw = replica.get(), &record](const auto &socket) { raw->serve(socket, record); });
        store.put("servers/" + replica->id, replica->entry(0, born));
        replicas.push_back(std::move(replica));
        return replicas.back().get();
    };
    for (int i = 0; i < replicaCount; ++i) {
        addReplica();
    }
    store.put("op/config",
              "{\"version\":7,\"routes\":[{\"name\":\"book-deposit\",\"host\":\"hire.example\","
              "\"prefix\":\"/book/\",\"kind\":\"unsafe\",\"timeout_ms\":1500,"
              "\"target_latency_ms\":300,\"priority\":2,\"service\":\"hire-app\","
              "\"max_attempts\":1}],\"services\":[{\"name\":\"hire-app\",\"max_connections\":110,"
              "\"health_path\":\"/health\"}],\"limits\":{\"max_header_bytes\":16384,"
              "\"max_body_bytes\":4194304,\"header_timeout_ms\":2000,\"idle_timeout_ms\":10000}}");
    std::thread([&] {
        for (long sequence = 1;; ++sequence) {
            {
                const std::lock_guard lock(replicasMutex);
                for (const auto &replica : replicas) {
                    if (replica->removedAt < 0) {
                        store.put("servers/" + replica->id, replica->entry(sequence, born));
                    }
                }
            }
            sleepMs(1'200);
        }
    }).detach();

    // Three daemons of one zone. The first is the only seed that is up; the other seeds are stale.
    std::vector<std::unique_ptr<Daemon>> daemons;
    for (int i = 0; i < 3; ++i) {
        daemons.push_back(std::make_unique<Daemon>(10 + i, "leic-a", folder));
    }
    const std::vector<std::string> all{daemons[0]->control, daemons[1]->control,
                                       daemons[2]->control};
    bool usable = true;
    for (const auto &daemon : daemons) {
        daemon->writeSettings(all, store.address);
        daemon->start();
    }
    for (const auto &daemon : daemons) {
        usable = usable && daemon->waitReady(8'000);
    }
    sleepMs(4'000);
    std::size_t reader = daemons.size();
    for (std::size_t i = 0; i < daemons.size(); ++i) {
        if (isReader(*daemons[i])) {
            reader = i;
        }
    }
    usable = usable && reader < daemons.size();
    if (!usable) {
        record.line("the daemons aren't ready, or none reads the store");
    } else {
        record.line("%s reads the store", daemons[reader]->name.c_str());
        // From now on two of the three seeds in the settings of that machine are stale.
        daemons[reader]->writeSettings({daemons[reader]->control, freeAddress(40), freeAddress(41)},
                                       store.address);
    }

    std::atomic<bool> stop{false};
    std::atomic<int> asked{0};
    std::atomic<int> served{0};
    std::vector<std::thread> clients;
    for (std::size_t i = 0; usable && i < daemons.size(); ++i) {
        if (i == reader) {
            continue;
        }
        clients.emplace_back([&, i] {
            Client client(daemons[i]->front);
            for (int number = 0; !stop; ++number) {
                const std::string id = "d" + std::to_string(i) + "-" + std::to_string(number);
                ++asked;
                const Message answer = client.call("POST", "/book/deposit", id, 1'500, "", "lot");
                served += answer.status() == 200 ? 1 : 0;
                if (answer.status() != 200) {
                    record.line("client: %s at %s is answered %d", id.c_str(),
                                daemons[i]->name.c_str(), answer.status());
                }
                sleepMs(70);
            }
        });
    }
    const long from = nowMs();
    for (int cycle = 0; usable && cycle < cycles; ++cycle) {
        sleepUntil(from + cycle * cycleMs);
        Replica *leaving = replicas[static_cast<std::size_t>(cycle)].get();
        if (troubled()) {
            daemons[reader]->end();
            record.line("%s is killed", daemons[reader]->name.c_str());
        }
        sleepMs(100);
        store.erase("servers/" + leaving->id);
        leaving->removedAt = nowMs();
        record.line("the store has removed %s", leaving->id.c_str());
        sleepMs(150);
        if (troubled()) {
            daemons[reader]->start();
            record.line("%s starts again", daemons[reader]->name.c_str());
        }
        sleepMs(1'500);
        addReplica();
        sleepUntil(from + cycle * cycleMs + 100 + servesOnMs);
        leaving->end();
        record.line("%s has ended; %d requests reached it late", leaving->id.c_str(),
                    leaving->late.load());
    }
    stop = true;
    for (std::thread &client : clients) {
        client.join();
    }
    for (const auto &daemon : daemons) {
        daemon->end();
    }
    int late = 0;
    int cut = 0;
    int cyclesLate = 0;
    for (const auto &replica : replicas) {
        late += replica->late;
        cut += replica->cut;
        cyclesLate += replica->late > 0 ? 1 : 0;
    }
    record.line("asked %d, served %d; DRAIN %d requests at %d of %d replicas, %d cut off by their end",
                asked.load(), served.load(), late, cyclesLate, cycles, cut);
    std::printf("DRAIN %d requests at %d of %d replicas, %d cut off; served %d of %d\n", late,
                cyclesLate, cycles, cut, served.load(), asked.load());
    std::fflush(stdout);
    const std::string remove = "rm -rf '" + folder + "'";
    if (std::getenv("KEEP") == nullptr) {
        (void)!std::system(remove.c_str());
    } else {
        std::printf("%s\n", folder.c_str());
        std::fflush(stdout);
    }
    // The threads of the stand-ins still run.
    _exit(!usable || served < 50 ? 2 : (late > 0 ? 1 : 0));
}
