#ifndef BALSAMPORT_TESTS_EDGE_WORLD_H
#define BALSAMPORT_TESTS_EDGE_WORLD_H

#include "link_proxy.h"
#include "process_fixture.h"

#include <replica_standin.h>
#include <store_standin.h>

#include <fmt/format.h>

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace balsamport::testing {

/// @brief Returns a free loopback port below the ephemeral port range. No port is returned twice.
inline std::uint16_t freePort()
{
    constexpr std::uint16_t firstPort = 24'000;
    static std::uint16_t next = firstPort;
    asio::io_context context;
    while (true) {
        asio::ip::tcp::acceptor acceptor(context);
        asio::error_code failure;
        const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(), next++);
        acceptor.open(endpoint.protocol());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind(endpoint, failure);
        if (!failure) {
            return endpoint.port();
        }
    }
}

inline std::string freeAddress()
{
    return "127.0.0.1:" + std::to_string(freePort());
}

/// @brief The response to one request, as its caller received it.
struct CallerResponse
{
    int status = 0; ///< 0 if the connection ended before a complete response.
    std::string body;
    bool connected = true; ///< A byte of the request may have been sent.
};

/// @brief A store, engines, plain replicas and edge daemons on loopback, connected by proxies that
/// the test can disturb.
class EdgeWorld
{
public:
    struct Edge
    {
        std::string name;
        std::string dataCentre;
        std::string front = freeAddress();
        std::string ready = freeAddress();
        std::string control = freeAddress();
        std::unique_ptr<LinkProxy> peerLink; ///< Between it and all other daemons; none by default.
        std::unique_ptr<LinkProxy> storeLink; ///< Its own to the store; none by default.
        std::unique_ptr<Process> process;

        [[nodiscard]] std::string peerAddress() const
        {
            return this->peerLink ? this->peerLink->address() : this->control;
        }
    };
    struct Replica
    {
        std::unique_ptr<standins::ReplicaStandin> standin;
        std::unique_ptr<LinkProxy> link;
    };

    /// @param engineModel options of all engines, but for their names and addresses
    explicit EdgeWorld(std::size_t edgeCount, standins::ReplicaOptions engineModel = {})
        : engineOptions(std::move(engineModel))
    {
        this->store = standins::StoreStandin::start(this->storeAddress).value();
        this->storeLink = std::make_unique<LinkProxy>(this->storeAddress);
        for (std::size_t i = 0; i < edgeCount; ++i) {
            Edge edge;
            edge.name = "edge-" + std::to_string(i + 1);
            edge.dataCentre = i % 2 == 0 ? "a" : "b";
            this->edges.push_back(std::move(edge));
        }
        this->addReplica("e1", "llm", "a", true);
        this->addReplica("e2", "llm", "b", true);
        this->addReplica("s1", "app", "a", false);
        this->addReplica("s2", "app", "b", false);
    }

    ~EdgeWorld()
    {
        const std::lock_guard lock(this->crashMutex);
        this->ending = true;
    }
    EdgeWorld(const EdgeWorld &) = delete;
    EdgeWorld &operator=(const EdgeWorld &) = delete;

    void addReplica(const std::string &id, const std::string &service,
                    const std::string &dataCentre, bool engine)
    {
        standins::ReplicaOptions options
                = engine ? this->engineOptions : standins::ReplicaOptions();
        options.id = id;
        options.service = service;
        options.dataCentre = dataCentre;
        options.address = freeAddress();
        options.engine = engine;
        Replica replica;
        replica.link = std::make_unique<LinkProxy>(options.address, freePort());
        options.onCrash = [this, id] { this->crash(id); };
        options.advertisedAddress = replica.link->address();
        replica.standin = standins::ReplicaStandin::start(options).value();
        this->replicas.emplace(id, std::move(replica));
        this->publishServer(id, false);
    }

    /// @brief Puts a link before each daemon, which can be cut for some of the others, and one
    /// between it and the store.
    void linkPeers()
    {
        for (Edge &edge : this->edges) {
            edge.peerLink = std::make_unique<LinkProxy>(edge.control);
            edge.storeLink = std::make_unique<LinkProxy>(this->storeAddress);
        }
    }

    /// @brief What a cut separates from the rest of the system.
    struct Cut
    {
        std::set<std::string> names; ///< Daemons that are cut off from all others.
        bool keepsGroup = false; ///< They still reach each other.
        bool fromStore = false; ///< They don't reach the store, either.
    };

    /// @brief Cuts daemons off; heals all other links.
    void cutOff(const Cut &cut)
    {
        std::set<std::string> others;
        for (const Edge &edge : this->edges) {
            if (!cut.keepsGroup || cut.names.count(edge.name) == 0) {
                others.insert(edge.name);
            }
        }
        for (Edge &edge : this->edges) {
            const bool isCut = cut.names.count(edge.name) != 0;
            edge.peerLink->cutOff(isCut ? others : cut.names);
            edge.storeLink->setMode(isCut && cut.fromStore ? LinkMode::Silent : LinkMode::Normal);
        }
    }

    /// @brief Publishes the entry of a replica.
    void publishServer(const std::string &id, bool draining)
    {
        const standins::ReplicaStandin &standin = *this->replicas.at(id).standin;
        this->store->put(standin.key(), standin.description(draining));
    }

    /// @brief Ends a replica without notice; it is back after crashTime, as a new incarnation. A
    /// replica that is down already stays so.
    void crash(const std::string &id)
    {
        const std::lock_guard lock(this->crashMutex);
        if (this->ending || this->stoppedReplicas.count(id) != 0) {
            return;
        }
        this->stoppedReplicas.insert(id);
        this->crashTimes.push_back(monotonicNow());
        this->replicas.at(id).link->stopListening();
        this->tasks.after(crashTime, [this, id] {
            Replica &replica = this->replicas.at(id);
            replica.standin->restart();
            replica.link->startListening();
            this->publishServer(id, false);
            const std::lock_guard backLock(this->crashMutex);
            this->stoppedReplicas.erase(id);
        });
    }

    /// @return the times at which replicas crashed, in order
    [[nodiscard]] std::vector<Millis> crashes() const
    {
        const std::lock_guard lock(this->crashMutex);
        return this->crashTimes;
    }

    static constexpr Millis crashTime{3'000};

    /// @brief Publishes the next version of the configuration.
    void publishConfig(int timeoutMs = 4'000)
    {
        ++this->configVersion;
        this->republishConfig(timeoutMs);
    }

    /// @brief Publishes the configuration with the version that it has.
    void republishConfig(int timeoutMs = 4'000)
    {
        std::string added;
        for (const std::string &prefix : this->addedRoutes) {
            added += fmt::format(
                    R"(,{{"name":"{}","host":"h","prefix":"{}","kind":"unsafe","timeout_ms":1000,
   "target_latency_ms":200,"priority":2,"service":"app","max_attempts":1}})",
                    prefix, prefix);
        }
        this->store->put("op/config",
                         fmt::format(R"({{"version":{},"routes":[
 {{"name":"chat","host":"h","prefix":"/chat/","kind":"streaming","timeout_ms":{},
   "target_latency_ms":1000,"priority":1,"service":"llm","max_attempts":2,"resumable":true}},
 {{"name":"once","host":"h","prefix":"/once/","kind":"streaming","timeout_ms":{},
   "target_latency_ms":1000,"priority":0,"service":"llm","max_attempts":1}},
 {{"name":"book","host":"h","prefix":"/book/","kind":"unsafe","timeout_ms":1000,
   "target_latency_ms":200,"priority":2,"service":"app","max_attempts":1}},
 {{"name":"look","host":"h","prefix":"/look/","kind":"safe","timeout_ms":1000,
   "target_latency_ms":200,"priority":2,"service":"app","max_attempts":2}}{}],
 "services":[{{"name":"llm","max_connections":370,"engine":{{"slots":64,"kv_capacity":148252,
  "models":[{{"name":"m","weights_mb":65500}}],"adapter_slots":6,"hold_ms":2000,"loads_per_s":2.4}}}},
  {{"name":"app","max_connections":110}}]}})",
                                     this->configVersion, timeoutMs, timeoutMs, added));
    }

    void startEdge(std::size_t index)
    {
        Edge &edge = this->edges[index];
        const std::string file = edge.name + ".yaml";
        std::string seeds;
        for (const Edge &other : this->edges) {
            seeds += (seeds.empty() ? "\"" : ", \"") + other.peerAddress() + "\"";
        }
        this->folder.write(
                file,
                fmt::format("node: \"{}\"\nip: \"127.0.0.1\"\nzone: \"{}\"\n"
                            "zones: {{a: \"east\", b: \"west\"}}\n"
                            "listen: {{front: \"{}\", ready: \"{}\", control: \"{}\"}}\n"
                            "seeds: [{}]\nbounds: {{lease_ms: 3000, grace_s: {}{}}}\n"
                            "platform: {{address: \"{}\"}}\n{}",
                            edge.name, edge.dataCentre, edge.front, edge.ready, edge.control, seeds,
                            this->graceSeconds, this->furtherBounds,
                            edge.storeLink ? edge.storeLink->address() : this->storeLink->address(),
                            this->furtherSettings));
        edge.process = std::make_unique<Process>(
                "balsamport-edge",
                std::vector<std::string>{"--settings", (this->folder.path() / file).string(),
                                         "--advertise-peers", edge.peerAddress()},
                (this->folder.path() / (edge.name + ".log")).string());
    }

    void startAll()
    {
        for (std::size_t i = 0; i < this->edges.size(); ++i) {
            this->startEdge(i);
        }
    }

    [[nodiscard]] bool isReady(std::size_t index)
    {
        OutgoingRequest request;
        request.url = "http://" + this->edges[index].ready + "/v1/ready";
        request.timeout = Millis(1'000);
        request.freshConnection = true;
        constexpr int okStatus = 200;
        const auto response = this->http.fetch(request);
        return response.has_value() && response.value().status == okStatus;
    }

    [[nodiscard]] bool allReady()
    {
        for (std::size_t i = 0; i < this->edges.size(); ++i) {
            if (!this->isReady(i)) {
                return false;
            }
        }
        return true;
    }

    /// @brief Builds a caller's request.
    [[nodiscard]] OutgoingRequest request(std::size_t edge, const std::string &path,
                                          const std::string &id, const std::string &adapter) const
    {
        OutgoingRequest request;
        request.url = "http://" + this->edges[edge].front + path;
        request.method = path.rfind("/look", 0) == 0 ? "GET" : "POST";
        request.headers = {{"Host", "h"}, {"X-Request-Id", id}, {"X-Deadline-Ms", "4000"}};
        if (path.rfind("/chat", 0) == 0 || path.rfind("/once", 0) == 0) {
            request.headers.push_back({"X-Model", adapter.empty() ? "m" : "m/" + adapter});
            request.headers.push_back({"X-Token-Usage", "400,24"});
            request.headers.push_back({"X-Prompt-Prefix", "a1:150,b2:250"});
        }
        request.body = request.method == "POST" ? "body of " + id : std::string();
        request.connectTimeout = Millis(1'000);
        request.timeout = Millis(6'000);
        return request;
    }

    [[nodiscard]] CallerResponse call(std::size_t edge, const std::string &path,
                                      const std::string &id, const std::string &adapter = {})
    {
        const auto response = this->http.fetch(this->request(edge, path, id, adapter));
        if (response.has_value()) {
            return CallerResponse{response.value().status, response.value().body, true};
        }
        return CallerResponse{0, {}, response.error().code != ErrorCode::ConnectFailed};
    }

    /// @return the number of runs of each request over all replicas
    [[nodiscard]] std::map<std::string, std::uint32_t> runs() const
    {
        std::map<std::string, std::uint32_t> total;
        for (const auto &[id, replica] : this->replicas) {
            for (const auto &[request, count] : replica.standin->runs()) {
                total[request] += count;
            }
        }
        return total;
    }

    /// @return the complete body of the stream for a request
    [[nodiscard]] static std::string completeStream(const std::string &id,
                                                    std::size_t fillBytes = 0)
    {
        constexpr std::uint32_t events = 8;
        std::string text;
        for (std::uint32_t i = 1; i <= events; ++i) {
            text += standins::eventText(id, i, fillBytes);
        }
        return text;
    }

    /// @return the output of `balsamportctl explain` for a request, from the logs of all daemons
    [[nodiscard]] std::string explain(const std::string &id) const
    {
        // The daemons write log lines asynchronously.
        constexpr Millis logDelay{200};
        sleepFor(logDelay);
        std::vector<std::string> arguments{"explain", id};
        for (const Edge &edge : this->edges) {
            arguments.insert(arguments.end(),
                             {"--log", (this->folder.path() / (edge.name + ".log")).string()});
        }
        Process tool("balsamportctl", arguments,
                     (this->folder.path() / ("explain-" + id)).string());
        constexpr Millis toolTimeout{5'000};
        const auto code = tool.waitForExit(toolTimeout);
        return code == 0 ? tool.logText() : "balsamportctl failed\n" + tool.logText();
    }

    [[nodiscard]] std::string logText(std::size_t index) const
    {
        std::ifstream file(this->folder.path() / (this->edges[index].name + ".log"));
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    standins::ReplicaOptions engineOptions;
    int graceSeconds = 8; ///< Of edge daemons that are started from then on.
    std::string furtherSettings; ///< Lines of their settings files, likewise.
    std::string furtherBounds; ///< Entries of their bounds, each after a comma, likewise.
    std::vector<std::string> addedRoutes; ///< Prefixes that the next configuration adds.
    MachineLock lock;
    TemporaryFolder folder;
    std::string storeAddress = freeAddress();
    std::unique_ptr<standins::StoreStandin> store;
    std::unique_ptr<LinkProxy> storeLink;
    std::vector<Edge> edges;
    std::map<std::string, Replica> replicas;
    HttpClient http;
    int configVersion = 0;

private:
    mutable std::mutex crashMutex;
    bool ending = false; ///< Replicas may outlive the tasks that bring them back.
    std::set<std::string> stoppedReplicas; ///< Crashed and not back yet.
    std::vector<Millis> crashTimes;
    standins::DelayedTasks tasks; ///< Ends before all that its tasks use.
};

} // namespace balsamport::testing

#endif
