#ifndef BALSAMPORT_STANDINS_REPLICA_STANDIN_H
#define BALSAMPORT_STANDINS_REPLICA_STANDIN_H

#include "delayed_tasks.h"

#include <balsamport/http/http_server.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace balsamport::standins {

/// @brief What a replica stand-in is and how it behaves.
struct ReplicaOptions
{
    std::string id;
    std::string service;
    std::string dataCentre;
    std::string address; ///< IP:PORT where it listens.
    std::string announced; ///< IP:PORT that it tells, where a proxy stands before it.
    bool engine = false;
    std::uint32_t adapterSlots = 6;
    Millis loadTime{100};
    Millis workTime{15}; ///< Of a plain request; of an event of a stream.
    std::uint32_t events = 8; ///< Of each stream.
};

/// @brief An order as the engine got it.
struct SeenOrder
{
    std::string holder;
    std::uint64_t fencingNumber = 0;
    Millis at; ///< Monotonic.
    int status = 0; ///< That was answered.
};

/// @brief What went wrong at the replica, as seen from its side.
struct ReplicaFaults
{
    double failShare = 0; ///< Answers 500 although it ran.
    double dropShare = 0; ///< Runs, and closes without an answer.
    double shedShare = 0; ///< Answers 503, not run.
    double cutShare = 0; ///< Breaks a stream off in the middle.
    bool saysLeaving = false; ///< Its answers say that it takes no new requests.
    std::string pause{}; ///< Retry-After of its refusals, in seconds; empty for none.
};

/// @brief A small stand-in of a model engine or a plain replica of the users' platform.
class ReplicaStandin
{
public:
    [[nodiscard]] static Result<std::unique_ptr<ReplicaStandin>> start(ReplicaOptions options);
    ~ReplicaStandin();
    ReplicaStandin(const ReplicaStandin &) = delete;
    ReplicaStandin &operator=(const ReplicaStandin &) = delete;

    /// @return its description for the store, as JSON
    [[nodiscard]] std::string description(bool draining) const;
    [[nodiscard]] std::string key() const { return "servers/" + this->options.id; }

    void setFaults(const ReplicaFaults &faults);

    /// @return the headers of all requests that reached it, refused ones included
    [[nodiscard]] std::vector<HttpHeaders> headersSeen() const;

    /// @brief Starts again empty, under the same id.
    void restart();

    /// @return how often each request id ran
    [[nodiscard]] std::map<std::string, std::uint32_t> runs() const;
    [[nodiscard]] std::vector<SeenOrder> orders() const;
    /// @return true if more adapters were ordered than there are places
    [[nodiscard]] bool wasOverfilled() const;
    /// @return requests that came for an adapter which was not in place
    [[nodiscard]] std::uint32_t misses() const;

private:
    ReplicaStandin() = default;
    void serve(const std::shared_ptr<const IncomingRequest> &request,
               const std::shared_ptr<ResponseWriter> &writer);
    void serveReport(const std::shared_ptr<ResponseWriter> &writer);
    void serveOrder(const IncomingRequest &request, const std::shared_ptr<ResponseWriter> &writer);
    [[nodiscard]] int carryOut(const std::string &operation, const std::string &adapter,
                               std::uint64_t version);
    void serveRequest(const IncomingRequest &request,
                      const std::shared_ptr<ResponseWriter> &writer);
    void sendEvent(const std::string &id, std::uint32_t number, std::uint32_t last,
                   const std::string &adapter, const std::shared_ptr<ResponseWriter> &writer);
    [[nodiscard]] bool chance(double share);

    ReplicaOptions options;
    mutable std::mutex mutex;
    ReplicaFaults faults;
    std::vector<HttpHeaders> seenHeaders;
    std::uint64_t random = 1;
    std::int64_t bornAt = 0;
    std::uint64_t orderCount = 0;
    std::uint64_t generation = 0; ///< Rises with each restart.
    std::map<std::string, std::uint64_t> adapters; ///< And their versions.
    std::map<std::string, Millis> pending; ///< Adapters that load, and when they are ready.
    std::map<std::string, std::uint32_t> users; ///< Running requests by adapter.
    std::map<std::string, std::uint32_t> runCounts;
    std::vector<SeenOrder> seenOrders;
    bool overfilled = false;
    std::uint32_t missCount = 0;
    std::unique_ptr<DelayedTasks> tasks = std::make_unique<DelayedTasks>();
    std::unique_ptr<HttpServer> server;
};

} // namespace balsamport::standins

#endif
