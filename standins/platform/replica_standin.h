#ifndef BALSAMPORT_STANDINS_REPLICA_STANDIN_H
#define BALSAMPORT_STANDINS_REPLICA_STANDIN_H

#include "delayed_tasks.h"

#include <balsamport/http/http_server.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace balsamport::standins {

/// @brief How an engine answers requests for reservations of its memory.
enum class ReservationPolicy : std::uint8_t {
    Exclusive, ///< Grants what neither requests nor other reservations take.
    GrantAll, ///< Doesn't count what it has granted.
    RefuseAll,
    Unknown, ///< Doesn't know the call.
};

/// @brief Identity and behaviour of a replica stand-in.
struct ReplicaOptions
{
    std::string id;
    std::string service;
    std::string dataCentre;
    std::string address; ///< IP:PORT where it listens.
    std::string advertisedAddress; ///< IP:PORT of a proxy in front of it; empty for `address`.
    bool engine = false;
    std::uint32_t adapterSlots = 6;
    Millis loadTime{100};
    Millis serviceTime{15}; ///< Of a plain request, or of each event of a stream.
    std::uint32_t events = 8; ///< Of each stream.
    std::uint64_t kvTokens = 148'252; ///< Memory of an engine.
    Millis modelLoadTime{1'500};
    bool restartsEmpty = false; ///< A restart loses the base model.
    Millis reportAge{0}; ///< A report tells the state of this long ago.
    ReservationPolicy reservations = ReservationPolicy::Exclusive;
    /// Called when a request with a crashing part has begun, to end the replica. Must not block.
    std::function<void()> onCrash{};
};

/// @brief A command as the engine received it.
struct ReceivedCommand
{
    std::string holder;
    std::uint64_t fencingNumber = 0;
    Millis at; ///< Time of receipt on the monotonic clock.
    int status = 0; ///< HTTP status of the response.
    std::string operation;
    std::string adapter; ///< Empty for the base model.
    std::optional<std::uint64_t> expectedCount;
    std::uint64_t countBefore = 0; ///< Commands accepted before this one.
    std::uint64_t run = 0; ///< Number of restarts of the engine before.
};

/// @brief Faults that the replica injects; shares are probabilities for each request, 0 to 1.
struct ReplicaFaults
{
    double failShare = 0; ///< Responds with 500 although the request ran.
    double dropShare = 0; ///< Runs the request and closes the connection without a response.
    double shedShare = 0; ///< Sheds the request with 503, not run.
    double abortShare = 0; ///< Aborts a stream after half of its events.
    bool announcesDraining = false; ///< Its responses announce that it is draining.
    std::string retryAfter{}; ///< Retry-After of shed requests, in seconds; empty for none.
    /// Ids of prompt parts, in hexadecimal, that end the replica once it responds to a request with
    /// one of them, unless it is the last part.
    std::set<std::string> crashingParts{};
    double halfEventShare = 0; ///< Of the aborted streams, those that end inside an event.
};

/// @brief A stream that an engine runs.
struct StreamRun
{
    std::string id; ///< Of the request.
    std::string adapter;
    std::uint64_t engineRun = 0; ///< Number of restarts of the engine before.
    std::uint64_t kvTokens = 0; ///< Memory that the request takes.
    std::uint32_t last = 0; ///< Number of the last event.
    std::size_t fillBytes = 0; ///< Added to each event.
    bool endsInsideEvent = false; ///< The half of one more event follows the last one.
};

/// @return the text of an event; all runs of a request make the same ones
[[nodiscard]] std::string eventText(const std::string &id, std::uint32_t number,
                                    std::size_t fillBytes = 0);

/// @brief Minimal stand-in for a model engine or a plain replica of the users' platform.
///
/// A request may state by `Event-Fill-Bytes` how much longer the events of its stream are to be.
class ReplicaStandin
{
public:
    [[nodiscard]] static Result<std::unique_ptr<ReplicaStandin>> start(ReplicaOptions options);
    ~ReplicaStandin();
    ReplicaStandin(const ReplicaStandin &) = delete;
    ReplicaStandin &operator=(const ReplicaStandin &) = delete;

    /// @return the replica's description for the store, as JSON
    [[nodiscard]] std::string description(bool draining) const;
    [[nodiscard]] std::string key() const { return "servers/" + this->options.id; }

    void setFaults(const ReplicaFaults &faults);

    /// @brief Sets the limit that all responses to requests state, in requests a second; empty for
    /// none.
    void stateRateLimit(const std::string &perSecond);

    /// @return the headers of all received requests, including refused ones
    [[nodiscard]] std::vector<HttpHeaders> receivedRequestHeaders() const;

    /// @return the times at which requests were received, including refused ones
    [[nodiscard]] std::vector<Millis> receivedRequestTimes() const;

    /// @brief Restarts under the same id without adapters and with a command count of 0.
    void restart();

    /// @return how often each request id ran
    [[nodiscard]] std::map<std::string, std::uint32_t> runs() const;
    /// @return the commands received since the last restart
    [[nodiscard]] std::vector<ReceivedCommand> commands() const;
    /// @return the commands received in all runs
    [[nodiscard]] std::vector<ReceivedCommand> allCommands() const;
    /// @return the numbers of memory reservations that were granted and refused
    [[nodiscard]] std::pair<std::size_t, std::size_t> reservationCounts() const;
    /// @return true if load commands exceeded the adapter slots
    [[nodiscard]] bool wasOverfilled() const;
    /// @return the number of requests for an adapter that was not resident
    [[nodiscard]] std::uint32_t misses() const;

private:
    ReplicaStandin() = default;
    void serve(const std::shared_ptr<const IncomingRequest> &request,
               const std::shared_ptr<ResponseWriter> &writer);
    void serveReport(const std::shared_ptr<ResponseWriter> &writer);
    void serveCommand(const IncomingRequest &request,
                      const std::shared_ptr<ResponseWriter> &writer);
    [[nodiscard]] int applyCommand(const ReceivedCommand &command, std::uint64_t version);
    [[nodiscard]] int loadModel(bool isExpectedCount);
    [[nodiscard]] int loadAdapter(const std::string &adapter, std::uint64_t version);
    [[nodiscard]] int unloadAdapter(const std::string &adapter);
    void takeReservation(const IncomingRequest &request,
                         const std::shared_ptr<ResponseWriter> &writer);
    void endStream(const StreamRun &run);
    [[nodiscard]] std::string reportText() const;
    /// Keeps the state for the reports of the next `reportAge`.
    void saveReport();
    void serveRequest(const IncomingRequest &request,
                      const std::shared_ptr<ResponseWriter> &writer);
    /// @return true if a part of the prompt, other than the last, ends the replica
    [[nodiscard]] bool hasCrashingPart(const std::string &prompt) const;
    void sendEvent(const StreamRun &run, std::uint32_t number,
                   const std::shared_ptr<ResponseWriter> &writer);
    [[nodiscard]] bool chance(double share);

    ReplicaOptions options;
    mutable std::mutex mutex;
    ReplicaFaults faults;
    std::string rateLimit;
    std::vector<HttpHeaders> receivedHeaders;
    std::vector<Millis> receivedTimes;
    std::uint64_t random = 1;
    std::int64_t startedAt = 0;
    std::uint64_t commandCount = 0;
    std::uint64_t generation = 0; ///< Number of restarts; discards loads of an earlier run.
    std::map<std::string, std::uint64_t> adapters; ///< Resident adapters and their versions.
    std::map<std::string, Millis> pending; ///< Adapters being loaded, and when they are ready.
    std::set<std::string> unloading; ///< Adapters whose unload waits for requests to end.
    bool modelLoaded = true;
    bool modelLoading = false;
    std::uint64_t kvUsed = 0; ///< By running requests.
    std::map<std::uint64_t, std::pair<std::uint64_t, Millis>> reservations; ///< Tokens and ends.
    std::uint64_t reservationsGranted = 0;
    std::uint64_t reservationsRefused = 0;
    std::deque<std::pair<Millis, std::string>> reports; ///< By the time they became true.
    std::map<std::string, std::uint32_t> runningRequests; ///< Running requests by adapter.
    std::map<std::string, std::uint32_t> runCounts;
    std::vector<ReceivedCommand> receivedCommands; ///< In all runs.
    bool overfilled = false;
    std::uint32_t missCount = 0;
    std::unique_ptr<DelayedTasks> tasks = std::make_unique<DelayedTasks>();
    std::unique_ptr<HttpServer> server;
};

} // namespace balsamport::standins

#endif
