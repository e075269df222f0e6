// All connections that are open between the daemons go silent at one moment; new ones work.
// Usage: silent_links RECORD. Exit: 1 if an engine had two holders (rule ONE), 0 if not.

#include "world.h"

using namespace world;

namespace {

constexpr long leaseMs = 3'000;
constexpr long thawMs = 300;
constexpr long silenceAt = 14'000;
constexpr long turnsAt = 46'000; ///< From then on clients ask two daemons by turns.
constexpr long endAt = 70'000;
constexpr long interval = 2'100;
constexpr long turnInterval = 1'000;

bool accepted(const Order &order) { return order.status == 200 || order.status == 202; }

/// Counts the accepted orders that break rule ONE: a lower fencing token than another holder's
/// before, or a holder that orders again, after another one did, within the lease of its last order.
int countBreaks(const std::vector<Order> &orders, const std::string &engine, Record &record)
{
    int breaks = 0;
    Order highest;
    Order last;
    std::map<std::string, long> lastAt; // By holder.
    for (const Order &order : orders) {
        const bool excused = order.at >= silenceAt && order.at < silenceAt + thawMs;
        if (!accepted(order) || excused) {
            continue;
        }
        if (!highest.holder.empty() && order.fence < highest.fence
            && order.holder != highest.holder) {
            ++breaks;
            record.line("BROKEN: %s accepted an order of %s with token %ld at %.3f s, and one of %s "
                        "with the lower token %ld at %.3f s",
                        engine.c_str(), highest.holder.c_str(), highest.fence,
                        static_cast<double>(highest.at) / 1000.0, order.holder.c_str(), order.fence,
                        static_cast<double>(order.at) / 1000.0);
        }
        const auto before = lastAt.find(order.holder);
        if (!last.holder.empty() && order.holder != last.holder && before != lastAt.end()
            && order.at - before->second < leaseMs) {
            ++breaks;
            record.line("BROKEN: %s accepted an order of %s at %.3f s, then one of %s, then one of %s "
                        "again at %.3f s",
                        engine.c_str(), order.holder.c_str(),
                        static_cast<double>(before->second) / 1000.0, last.holder.c_str(),
                        order.holder.c_str(), static_cast<double>(order.at) / 1000.0);
        }
        if (order.fence >= highest.fence) {
            highest = order;
        }
        last = order;
        lastAt[order.holder] = order.at;
    }
    return breaks;
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
    const std::vector<std::string> zones{"leic-a", "brum-a", "nott-b"};
    std::vector<std::unique_ptr<Engine>> engines;
    for (int i = 0; i < 1; ++i) {
        engines.push_back(std::make_unique<Engine>("i-" + std::to_string(i + 1),
                                                   zones[static_cast<std::size_t>(i)],
                                                   freeAddress(20 + i), record));
    }
    store.put("op/config",
              "{\"version\":7,\"routes\":[{\"name\":\"safety-sheet\",\"host\":\"hire.example\","
              "\"prefix\":\"/sheet/\",\"kind\":\"streaming\",\"resumable\":true,"
              "\"timeout_ms\":12000,\"target_latency_ms\":1000,\"target_gap_ms\":400,"
              "\"priority\":1,\"sticky\":true,\"service\":\"advice-llm\",\"max_attempts\":2}],"
              "\"services\":[{\"name\":\"advice-llm\",\"max_connections\":370,"
              "\"health_path\":\"/health\",\"engine\":{\"slots\":64,\"kv_capacity\":148252,"
              "\"models\":[{\"name\":\"m0\",\"weights_mb\":34300,\"load_s\":1.5,\"adapters\":3000,"
              "\"adapter_mb\":40}],\"adapter_slots\":6,\"weights_mb\":35200,\"loads_per_s\":2.4}}],"
              "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
              "\"header_timeout_ms\":2000,\"idle_timeout_ms\":10000}}");
    const long born = static_cast<long>(time(nullptr)) * 1000;
    std::thread([&] {
        while (true) {
            for (const auto &engine : engines) {
                store.put("servers/" + engine->id, engine->entry(born));
            }
            sleepMs(1'200);
        }
    }).detach();

    std::vector<std::unique_ptr<Daemon>> daemons;
    std::vector<std::pair<std::string, std::string>> addresses;
    for (int i = 0; i < 3; ++i) {
        daemons.push_back(std::make_unique<Daemon>(10 + i, zones[static_cast<std::size_t>(i)],
                                                   folder));
        const std::string &control = daemons.back()->control;
        addresses.emplace_back(control, ipOf(30 + i) + control.substr(control.find(':')));
    }
    PeerLinks links(addresses);
    for (std::size_t i = 0; i < daemons.size(); ++i) {
        std::vector<std::string> seeds;
        for (std::size_t other = 0; other < daemons.size(); ++other) {
            if (other != i) {
                seeds.push_back(addresses[other].second);
            }
        }
        daemons[i]->writeSettings(seeds, store.address);
        daemons[i]->start();
    }
    bool usable = true;
    for (const auto &daemon : daemons) {
        usable = usable && daemon->waitReady(8'000);
    }
    record.line("all daemons are ready");

    std::atomic<int> served{0};
    std::atomic<int> asked{0};
    const auto ask = [&](std::size_t daemon, int number) {
        std::thread([&, daemon, number] {
            const std::string id = "r" + std::to_string(1000 + number);
            Client client(daemons[daemon]->front);
            ++asked;
            record.line("client: sends %s for adapter a%d to %s", id.c_str(), number,
                        daemons[daemon]->name.c_str());
            const Message answer
                    = client.call("POST", "/sheet/x", id, 12'000,
                                  "X-Model: m0/a" + std::to_string(number)
                                          + "\r\nX-Token-Usage: 500,24\r\nX-Prompt-Prefix: a1:341,b"
                                          + std::to_string(number) + ":159\r\n",
                                  "sheet " + id);
            served += answer.status() == 200 && answer.complete ? 1 : 0;
            record.line("client: %s is answered %d%s", id.c_str(), answer.status(),
                        answer.complete ? "" : ", not complete");
        }).detach();
    };
    // Each request asks for another adapter.
    bool silenced = false;
    int number = 1;
    for (long at = 8'000; usable && at < endAt;
         at += at < turnsAt ? interval : turnInterval, ++number) {
        if (at >= silenceAt && !silenced) {
            sleepUntil(silenceAt);
            silenced = true;
            record.line("connections between the daemons: %d", links.openConnections());
            if (troubled()) {
                links.silenceOpenConnections();
                record.line("the open connections between the daemons go silent");
            }
        }
        sleepUntil(at);
        const std::size_t asked = at < turnsAt ? daemons.size() : 2;
        ask(static_cast<std::size_t>(number) % asked, number);
    }
    sleepMs(3'000);
    for (const auto &daemon : daemons) {
        daemon->end();
    }
    int breaks = 0;
    std::size_t orders = 0;
    for (const auto &engine : engines) {
        const std::vector<Order> received = engine->orders();
        orders += received.size();
        breaks += countBreaks(received, engine->id, record);
    }
    record.line("asked %d, served %d, orders %zu, ONE %d", asked.load(), served.load(), orders,
                breaks);
    std::printf("ONE %d, orders %zu, served %d of %d\n", breaks, orders, served.load(),
                asked.load());
    std::fflush(stdout);
    const std::string remove = "rm -rf '" + folder + "'";
    if (std::getenv("KEEP") == nullptr) {
        (void)!std::system(remove.c_str());
    } else {
        std::printf("%s\n", folder.c_str());
    }
    std::fflush(stdout);
    // The threads of the stand-ins still run.
    _exit(!usable || served < 3 || orders == 0 ? 2 : (breaks > 0 ? 1 : 0));
}
