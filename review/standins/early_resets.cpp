// Connections are reset over and over, some of them before the daemon has accepted them.
// Usage: early_resets RECORD. Exit: 1 if a daemon that says it is ready takes no new connection for
// contact_ms while clients try, 0 if it does.

#include "world.h"

using namespace world;

namespace {

constexpr int openedAtOnce = 200;
constexpr int resetAtOnce = 110; // 0.55 of them.
constexpr int rounds = 90;
constexpr long roundMs = 700;
constexpr int maxFailedRounds = 8;
constexpr long contactMs = 4'000;
constexpr int clientCount = 8;

/// Asks for a path that has no route. Any response shows that the connection was taken.
int ask(const Daemon &daemon, const std::string &id)
{
    const auto socket = connectTo(daemon.front);
    if (!socket) {
        return 0;
    }
    socket->write("GET /nowhere HTTP/1.1\r\nHost: hire.example\r\nX-Request-Id: " + id
                  + "\r\nX-Deadline-Ms: 1000\r\n\r\n");
    return socket->read(1'000).status();
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
    store.put("op/config",
              "{\"version\":7,\"routes\":[],\"services\":[],\"limits\":{\"max_header_bytes\":16384,"
              "\"max_body_bytes\":4194304,\"header_timeout_ms\":2000,\"idle_timeout_ms\":10000}}");
    const std::vector<std::string> zones{"leic-a", "brum-a", "nott-b"};
    std::vector<std::unique_ptr<Daemon>> daemons;
    std::vector<std::string> seeds;
    for (int i = 0; i < 3; ++i) {
        daemons.push_back(std::make_unique<Daemon>(10 + i, zones[static_cast<std::size_t>(i)],
                                                   folder));
        seeds.push_back(daemons.back()->control);
    }
    bool usable = true;
    for (const auto &daemon : daemons) {
        daemon->writeSettings(seeds, store.address);
        daemon->start();
    }
    for (const auto &daemon : daemons) {
        usable = usable && daemon->waitReady(8'000);
    }
    const Daemon &disturbed = *daemons[0];
    record.line("before: %s answers %d", disturbed.name.c_str(), ask(disturbed, "before"));

    int resets = 0;
    int failedRounds = 0;
    const long from = nowMs();
    for (int round = 0; usable && round < rounds; ++round) {
        sleepUntil(from + round * roundMs);
        std::vector<std::shared_ptr<Socket>> open;
        for (int i = 0; i < openedAtOnce; ++i) {
            const auto socket = connectTo(disturbed.front);
            if (!socket) {
                continue;
            }
            if (troubled() && i < resetAtOnce) {
                socket->reset();
                ++resets;
            } else {
                open.push_back(socket);
            }
        }
        // The others are used for one request and closed.
        if (!open.empty()) {
            open.back()->write("GET /nowhere HTTP/1.1\r\nHost: hire.example\r\nX-Request-Id: r"
                               + std::to_string(round) + "\r\nX-Deadline-Ms: 700\r\n\r\n");
            const int status = open.back()->read(700).status();
            if (round % 10 == 0 || status == 0) {
                record.line("round %d: %d resets so far, a request is answered %d", round, resets,
                            status);
            }
            failedRounds = status == 0 ? failedRounds + 1 : 0;
            if (failedRounds == maxFailedRounds) {
                break;
            }
        }
    }
    record.line("the resets are over: %d", resets);
    // The link is calm for longer than contact_ms; then clients try for more than contact_ms.
    sleepMs(contactMs + 500);
    std::atomic<int> answered{0};
    std::atomic<int> tried{0};
    std::vector<std::thread> clients;
    const long tryFrom = nowMs();
    for (int i = 0; i < clientCount; ++i) {
        clients.emplace_back([&, i] {
            for (int attempt = 0; nowMs() - tryFrom < contactMs + 1'000; ++attempt) {
                ++tried;
                const int status
                        = ask(disturbed, "c" + std::to_string(i) + "-" + std::to_string(attempt));
                answered += status != 0 ? 1 : 0;
                record.line("client %d: answered %d", i, status);
                sleepMs(200);
            }
        });
    }
    int readyCount = 0;
    for (int i = 0; i < 5; ++i) {
        readyCount += disturbed.isReady() ? 1 : 0;
        sleepMs(900);
    }
    for (std::thread &client : clients) {
        client.join();
    }
    const int other = ask(*daemons[1], "other");
    for (const auto &daemon : daemons) {
        daemon->end();
    }
    record.line("after %d resets: %d of %d connections answered within %ld ms, ready %d of 5 times; "
                "another daemon answers %d",
                resets, answered.load(), tried.load(), contactMs + 1'000, readyCount, other);
    std::printf("resets %d, answered %d of %d, ready %d of 5\n", resets, answered.load(),
                tried.load(), readyCount);
    std::fflush(stdout);
    const std::string remove = "rm -rf '" + folder + "'";
    if (std::getenv("KEEP") == nullptr) {
        (void)!std::system(remove.c_str());
    }
    const bool broken = answered == 0 && readyCount == 5;
    // The threads of the stand-ins still run.
    _exit(!usable || other == 0 ? 2 : (broken ? 1 : 0));
}
