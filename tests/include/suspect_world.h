#ifndef BALSAMPORT_TESTS_SUSPECT_WORLD_H
#define BALSAMPORT_TESTS_SUSPECT_WORLD_H

#include "history_oracle.h"
#include "world_random.h"

#include <balsamport/policy/suspects.h>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace balsamport::testing {

/// @brief Faults that occur in a history of crashers; each is counted.
enum class CrashFault : std::uint8_t {
    ServerCrashed,
    InnocentHit,
    CrasherSentAgain,
    ReportLate,
    Count,
};

constexpr std::array<const char *, static_cast<std::size_t>(CrashFault::Count)> crashFaultNames{
        "server-crashed", "innocent-hit", "crasher-sent-again", "news-late"};

/// @brief A seeded defect of the handling of crashers.
enum class CrashDefect : std::uint8_t {
    None,
    ReportsStayLocal, ///< Reports on a crasher are not sent to other VMs.
    NoWaitForReports, ///< The caller gets its response before the other VMs have the report.
    SuspectsTogether, ///< Suspects share backend servers with other requests.
};

/// @brief Simulates gateways, each with its controller's table of suspects, and backend servers
/// that some requests crash. Messages between the tables are delayed, in virtual time.
class SuspectWorld
{
public:
    SuspectWorld(CrashDefect defect, std::uint64_t seed)
        : random(seed)
        , defect(defect)
    { }

    const HistoryOracle &oracle() const { return this->history; }
    const std::array<std::uint64_t, static_cast<std::size_t>(CrashFault::Count)> &faults() const
    {
        return this->counts;
    }
    std::uint64_t finished() const { return this->finishedCount; }

    /// @brief Sends a request of an innocent caller, with a body of its own.
    void sendInnocent(std::uint64_t gateway)
    {
        Request request;
        request.name = "i" + std::to_string(++this->names);
        request.body = firstInnocentBody + this->names;
        this->send(request, gateway);
    }

    /// @brief Sends a crasher, unless its caller still waits for a response.
    void sendCrasher(std::uint64_t which, std::uint64_t gateway)
    {
        const std::uint64_t body = 1 + which % this->crasherWaits.size();
        bool &waits = this->crasherWaits[body - 1];
        if (waits) {
            return;
        }
        waits = true;
        Request request;
        request.name = "c" + std::to_string(++this->names);
        request.body = body;
        request.crasher = true;
        request.repeatable = body != 2; // One of the two is never retried.
        this->count(CrashFault::CrasherSentAgain, this->sentCrashers++ > 1);
        this->send(request, gateway);
    }

    void advance(Millis time)
    {
        const Millis end = this->now + time;
        while (!this->events.empty() && this->events.top().at <= end) {
            const Item item = this->events.top();
            this->events.pop();
            this->now = std::max(this->now, item.at);
            item.action();
        }
        this->now = end;
    }

    /// @brief Ends the history. Every innocent must have received its complete response.
    std::vector<Violation> finish()
    {
        this->advance(Millis(60'000));
        std::vector<Violation> broken = this->history.finish();
        for (const auto &[name, done] : this->innocents) {
            if (!done) {
                broken.push_back({Guarantee::CompleteResponse, this->history.size(), name});
            }
        }
        return broken;
    }

private:
    static constexpr std::uint64_t firstInnocentBody = 1'000;
    static constexpr std::size_t vmCount = 4;
    static constexpr std::size_t serverCount = 5;
    static constexpr Millis queryInterval{50};

    struct Request
    {
        std::string name;
        std::uint64_t body = 0;
        bool crasher = false;
        bool repeatable = true;
        std::size_t gateway = 0;
    };
    struct Server
    {
        std::uint64_t life = 0;
        Millis upAt;
        bool reserved = false; ///< For a request that runs alone.
        std::map<std::string, Request> running;
    };
    struct Item
    {
        Millis at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const Item &other) const
        {
            return this->at != other.at ? this->at > other.at : this->order > other.order;
        }
    };

    void count(CrashFault fault, bool happened = true)
    {
        this->counts[static_cast<std::size_t>(fault)] += happened ? 1 : 0;
    }

    void schedule(Millis delay, std::function<void()> action)
    {
        this->events.push({this->now + delay, ++this->sequence, std::move(action)});
    }

    Millis anyMillis(std::uint64_t from, std::uint64_t to)
    {
        return Millis(static_cast<std::int64_t>(from + this->random.below(to - from + 1)));
    }

    void send(Request request, std::uint64_t gateway)
    {
        request.gateway = gateway % vmCount;
        Event event = eventAt(EventKind::Offered, this->now);
        event.request = request.name;
        event.number = 1;
        this->history.add(event);
        if (!request.crasher) {
            this->innocents[request.name] = false;
        }
        this->requestRun(request);
    }

    /// Requests the verdict on the request, and runs the request where it may run.
    void requestRun(const Request &request)
    {
        const Fingerprint fingerprint(request.body);
        const SuspectVerdict here
                = this->tables[request.gateway].verdictFor(fingerprint, this->now, this->limits);
        if (here == SuspectVerdict::Clear) {
            this->runOn(this->anyServer(false), request, false);
            return;
        }
        if (here == SuspectVerdict::Quarantine) {
            this->fail(request);
            return;
        }
        // Queries the VM that grants the lease to run alone.
        this->schedule(this->anyMillis(1, 60), [this, request, fingerprint] {
            SuspectTable &coordinator = this->tables[request.body % vmCount];
            const SuspectVerdict verdict = coordinator.requestRun(
                    fingerprint, RequestId(request.name), this->now, this->limits);
            this->schedule(this->anyMillis(1, 60),
                           [this, request, verdict] { this->onVerdict(request, verdict); });
        });
    }

    void onVerdict(const Request &request, SuspectVerdict verdict)
    {
        if (verdict == SuspectVerdict::Quarantine) {
            this->fail(request);
        } else if (verdict == SuspectVerdict::Wait) {
            this->schedule(queryInterval, [this, request] { this->requestRun(request); });
        } else {
            const bool alone = this->defect != CrashDefect::SuspectsTogether;
            this->runOn(this->anyServer(alone && verdict == SuspectVerdict::RunAlone), request,
                        alone && verdict == SuspectVerdict::RunAlone);
        }
    }

    /// @return a server that is up, without requests where `empty` is set; serverCount where there
    /// is none
    std::size_t anyServer(bool empty)
    {
        const std::size_t start = this->random.below(serverCount);
        for (std::size_t i = 0; i < serverCount; ++i) {
            const std::size_t index = (start + i) % serverCount;
            const Server &server = this->servers[index];
            if (this->now >= server.upAt && !server.reserved
                && (!empty || server.running.empty())) {
                return index;
            }
        }
        return serverCount;
    }

    void runOn(std::size_t index, const Request &request, bool alone)
    {
        if (index == serverCount) {
            this->schedule(queryInterval, [this, request] { this->requestRun(request); });
            return;
        }
        Server &server = this->servers[index];
        server.reserved = alone;
        server.running[request.name] = request;
        const std::uint64_t life = server.life;
        const Millis time = request.crasher ? this->anyMillis(1, 200) : this->anyMillis(20, 400);
        this->schedule(time, [this, index, life, request] {
            if (this->servers[index].life != life) {
                return;
            }
            if (request.crasher) {
                this->crash(index, request);
            } else {
                this->complete(index, request);
            }
        });
    }

    void complete(std::size_t index, const Request &request)
    {
        Server &server = this->servers[index];
        server.running.erase(request.name);
        server.reserved = false;
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            this->schedule(this->anyMillis(1, 60), [this, vm, request] {
                this->tables[vm].recordFinish(Fingerprint(request.body));
            });
        }
        ++this->finishedCount;
        this->innocents[request.name] = true;
        Event chunk = eventAt(EventKind::Chunk, this->now);
        chunk.request = request.name;
        chunk.source = request.name;
        this->history.add(chunk);
        Event done = eventAt(EventKind::Completed, this->now);
        done.request = request.name;
        this->history.add(done);
    }

    void crash(std::size_t index, const Request &culprit)
    {
        Server &server = this->servers[index];
        ++server.life;
        server.upAt = this->now + this->anyMillis(300, 3'000);
        server.reserved = false;
        const std::map<std::string, Request> hit = std::move(server.running);
        server.running.clear();
        this->count(CrashFault::ServerCrashed);
        Event event = eventAt(EventKind::Crashed, this->now);
        event.request = culprit.name;
        event.body = culprit.body;
        event.server = "s" + std::to_string(index);
        this->history.add(event);
        for (const auto &[name, request] : hit) {
            this->count(CrashFault::InnocentHit, !request.crasher);
            this->report(request, event.server);
        }
    }

    /// Reports to every table; the gateway continues when all have the report.
    void report(const Request &request, const std::string &server)
    {
        Millis slowest(0);
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            if (this->defect == CrashDefect::ReportsStayLocal && request.crasher
                && vm != request.gateway) {
                continue;
            }
            const bool isDelayed = this->random.percent(20);
            this->count(CrashFault::ReportLate, isDelayed);
            const Millis delay = isDelayed ? this->anyMillis(60, 280) : this->anyMillis(1, 60);
            slowest = std::max(slowest, delay);
            this->schedule(delay, [this, vm, request, server] {
                this->tables[vm].recordCrash({Fingerprint(request.body), RequestId(request.name),
                                              BackendServerId(server), this->now},
                                             this->limits);
                this->spreadQuarantine(vm, request.body);
            });
        }
        const bool wait = this->defect != CrashDefect::NoWaitForReports;
        this->schedule(wait ? slowest + Millis(1) : Millis(0), [this, request] {
            if (request.repeatable) {
                this->requestRun(request);
            } else {
                this->fail(request);
            }
        });
    }

    /// Sends a quarantine from the controller that recorded it to the others.
    void spreadQuarantine(std::size_t from, std::uint64_t body)
    {
        const Fingerprint fingerprint(body);
        if (this->tables[from].verdictFor(fingerprint, this->now, this->limits)
                    != SuspectVerdict::Quarantine
            || this->defect == CrashDefect::ReportsStayLocal) {
            return;
        }
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            this->schedule(this->anyMillis(1, 60), [this, vm, fingerprint] {
                this->tables[vm].recordQuarantine(fingerprint, this->now, this->limits);
            });
        }
    }

    void fail(const Request &request)
    {
        Event event = eventAt(EventKind::Failed, this->now);
        event.request = request.name;
        this->history.add(event);
        if (request.crasher) {
            this->crasherWaits[request.body - 1] = false;
        }
    }

    WorldRandom random;
    CrashDefect defect;
    SuspectLimits limits;
    Millis now;
    std::uint64_t sequence = 0;
    std::uint64_t names = 0;
    std::uint64_t sentCrashers = 0;
    std::priority_queue<Item> events;
    std::array<SuspectTable, vmCount> tables;
    std::array<Server, serverCount> servers;
    std::array<bool, 2> crasherWaits{}; ///< By body, from 1.
    std::map<std::string, bool> innocents; ///< Whether the response arrived, by request name.
    HistoryOracle history;
    std::array<std::uint64_t, static_cast<std::size_t>(CrashFault::Count)> counts{};
    std::uint64_t finishedCount = 0;
};

/// @brief Applies one random step of a history of crashers.
inline void applyStep(SuspectWorld &world, std::uint64_t choice)
{
    WorldRandom random(choice);
    const std::uint64_t kind = random.below(12);
    const std::uint64_t what = random.next();
    if (kind < 6) {
        world.sendInnocent(what);
    } else if (kind < 9) {
        world.sendCrasher(what, random.next());
    } else {
        world.advance(Millis(static_cast<std::int64_t>(what % 400)));
    }
}

} // namespace balsamport::testing

#endif
