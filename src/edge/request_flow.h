#ifndef BALSAMPORT_EDGE_REQUEST_FLOW_H
#define BALSAMPORT_EDGE_REQUEST_FLOW_H

#include "crash_controller.h"
#include "edge_state.h"
#include "engine_grant_client.h"
#include "quota_controller.h"
#include "rate_limit_controller.h"

#include <balsamport/edge/event_splitter.h>

#include <atomic>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace balsamport {

class RequestFlow;

/// @brief Components and state that request flows use.
struct FlowContext
{
    EdgeContext &edge;
    EdgeState &state;
    EngineGrantClient &grants;
    PeerController &peers;
    EngineController &engines;
    RateLimitController &rateLimits;
    CrashController &crashes;
    QuotaController &quotas;
    std::set<std::shared_ptr<RequestFlow>> running; ///< Requests in progress.
};

/// @brief One request from its arrival to the end of its response. Used on the thread of the loop
/// only.
///
/// A request that is not idempotent is sent again only if the server stated that it did not run the
/// request, or if no byte of it was sent.
class RequestFlow : public std::enable_shared_from_this<RequestFlow>
{
public:
    RequestFlow(FlowContext &context, std::shared_ptr<const IncomingRequest> incoming,
                std::shared_ptr<ResponseWriter> writer);
    void start();

    /// @brief Resumes a request that arrived before the first configuration.
    void resumeWithConfig();

    /// @brief Ends the request if a suspect of it was convicted, unless its response has begun.
    void handleConviction();

    /// @brief Ends the request if the stop of the daemon leaves no time for it: one that waits,
    /// once it can't be expected to end in time if it is sent now; one that was sent, once its
    /// final response is due.
    /// @param plan of the stop
    void applyStop(const StopPlan &plan, Millis now);

private:
    /// One attempt to run the request on a backend server, shared with the callbacks of its
    /// exchange.
    struct Attempt
    {
        std::uint64_t exchange = 0;
        BackendServerId server;
        std::string address;
        std::int64_t serverStartedAtWallMs = 0;
        std::uint64_t grant = 0; ///< Its number; 0 for plain services.
        Millis sentAt;
        std::atomic<bool> abandoned{false};
        std::atomic<std::size_t> unwrittenBytes{0}; ///< Received, but not yet sent to the caller.
        std::atomic<bool> paused{false};
        bool forwardsEvents = false; ///< Its body is the stream that the caller receives.
        bool started = false; ///< A chunk of the stream was forwarded.
        bool complete = false; ///< The response was a success and is complete.
        bool invalidResponse = false; ///< It belongs to another request, or is too large.
        ServerResponse response;
        std::string body;
        MemoryReservation memory; ///< For the body.
    };

    [[nodiscard]] bool readRequest();
    /// Waits for the first configuration of a daemon that has just started.
    void waitForConfig(Millis maxWait);
    void process();
    /// Requests a grant again after a delay: no queried engine has an owner yet.
    void waitForOwner();
    [[nodiscard]] bool resolveRoute();
    [[nodiscard]] bool authenticateCaller(const EdgeConfig &config);
    /// Refuses the request if it exceeds the quota of its organisation.
    [[nodiscard]] bool isWithinQuota();
    [[nodiscard]] bool admit();
    /// Refuses a request that must not be sent because of a suspect.
    /// @param where part of the daemon that checks, for the log
    [[nodiscard]] bool refuseIfQuarantined(std::string_view where);
    /// @return false where the daemon is stopping, and the request can't be expected to end in time
    /// if it is sent now
    [[nodiscard]] bool canEndBeforeStop(Millis now) const;
    /// Records how long a server took, to estimate the duration of later requests.
    void recordServerTime(const Attempt &sent, Millis now);
    /// Selects a server again after a delay while a suspect of the request is being judged.
    [[nodiscard]] bool waitIfUnderJudgement();
    /// Selects the candidates and sends the request to one of them.
    void selectServer();
    void selectCandidates();
    /// Refuses the request if all remaining servers of the service have requested a backoff.
    [[nodiscard]] bool refuseIfAllBackingOff();
    /// Refuses the request if the rate limits of all remaining servers are used up.
    [[nodiscard]] bool refuseIfAllWithheld();
    [[nodiscard]] std::string adapterName() const;
    /// Records the demand for the adapter that an owner reported, if the engine is a preferred one.
    void recordReportedDemand(const BackendServerId &server, double perSecond, Millis now);
    void addFallbackCandidate();
    [[nodiscard]] bool isPreferredEngine(const BackendServerId &server) const;
    void excludeFailed();
    void requestNextGrant();
    void handleVerdict(std::uint64_t grantNumber, const BackendServerId &server,
                       const GrantVerdict &verdict);
    void sendToNextReplica();
    /// Sends the request to a replica that states a rate limit, or to the next one without a
    /// permit.
    void sendWithPermit(const BackendServerId &server);
    void handlePermit(const BackendServerId &server, const PermitVerdict &verdict);
    void send(const BackendServerId &server, std::uint64_t grantNumber, AdapterVersion version);
    /// Applies the availability that a server reported in a response: draining, or a backoff.
    void applyAvailability(const Attempt &attempt);
    [[nodiscard]] ExchangeHandlers handlersOf(const std::shared_ptr<Attempt> &attempt);
    void handleHead(const std::shared_ptr<Attempt> &attempt, const ResponseHead &head);
    void handleBody(const std::shared_ptr<Attempt> &attempt, const std::string &chunk);
    /// Resumes reading a paused response, once enough of the received bytes were sent on.
    void resumeIfPaused(Attempt &attempt);
    [[nodiscard]] bool isInOwnRegion(const BackendServerId &server) const;
    void writeToCaller(const std::shared_ptr<Attempt> &attempt, std::string text);
    void handleEnd(const std::shared_ptr<Attempt> &attempt, const Result<void> &result);
    void finishResponse(const std::shared_ptr<Attempt> &attempt);
    /// @return the measured speed of the engine; nothing unless the stream was one complete
    /// response from the own region
    [[nodiscard]] std::optional<StreamTiming> streamTiming(const Attempt &attempt) const;
    void handleNotRun(const std::shared_ptr<Attempt> &attempt);
    void handleFailure(const std::shared_ptr<Attempt> &attempt, ErrorCode code);
    void endAttempt(const std::shared_ptr<Attempt> &attempt, GrantEvent event);
    [[nodiscard]] bool mayRepeat() const;
    /// @return the budget for retries of the request's service
    [[nodiscard]] SharedRetryBudget &retryBudget();
    [[nodiscard]] bool tryTakeRetry(std::string_view reason);
    void retry();
    void reportCrash(const std::shared_ptr<Attempt> &attempt);
    /// Cancels the exchange or the pending grant request, if any.
    void cancelUnfinished();
    void handleDeadline();
    void handleCallerDisconnect();
    /// Ends a stream that has begun and cannot be completed, and logs what the caller has of it.
    /// @param server the last one that the request was sent to; empty for none
    /// @param status of that server's response; 0 for none
    void breakStream(ErrorCode code, const BackendServerId &server, int status);
    void refuse(ErrorCode code, Millis retryAfter);
    /// Responds with a status that states that the request has not run.
    void respondNotRun(int status, ErrorCode code, Millis retryAfter);
    void fail(int status, ErrorCode code);
    void respond(HttpResponse response, std::string_view outcome, ErrorCode code);
    void end();

    FlowContext &context;
    std::shared_ptr<const IncomingRequest> incoming;
    std::shared_ptr<ResponseWriter> writer;
    CallerRequest request;
    EdgeRoute route;
    OrganisationId organisation; ///< Of the caller; empty if it needs no key.
    std::int32_t routePriority = 0; ///< Where the organisation has a priority of its own.
    QuotaCharge quotaCharge; ///< Of its quota, if it has one.
    ServiceId service;
    bool usesEngine = false;
    RequestTraits traits;
    Millis arrivedAt;
    Millis objectiveAt;
    Millis deadlineAt;
    EngineRanking ranking; ///< Empty for plain services.
    std::vector<BackendServerId> fallbackEngines; ///< Replace engines that are down.
    BackendServerId leastBusy; ///< Among the engines whose owners redirected the request.
    Millis leastBusyWait{0}; ///< Expected wait there.
    bool leastBusyRateLimited = false; ///< Only its rate limit makes the request wait there.
    std::vector<BackendServerId> candidates; ///< Servers still to try, best first.
    std::set<BackendServerId> failedServers; ///< Servers that failed or did not run the request.
    std::uint32_t grantRequests = 0;
    std::uint64_t pendingGrant = 0; ///< Requested and not decided yet.
    std::shared_ptr<Attempt> attempt; ///< In progress.
    std::uint32_t possibleRuns = 0; ///< Servers that may have run the request.
    std::shared_ptr<CarryingConnections> carriedBy = std::make_shared<CarryingConnections>();
    std::uint32_t sendCount = 0;
    std::uint32_t brokenRuns = 0; ///< Connections to servers that broke during this request.
    std::optional<Millis> permitExpectedIn; ///< Shortest wait for a permit that wasn't issued.
    Millis retryAfterHint{0}; ///< Longest wait reported by owners that redirected this request.
    bool streamStarted = false;
    std::string streamMediaType; ///< Of the response that began the stream.
    std::uint64_t streamBytes = 0; ///< Of the complete events that were passed to the writer.
    /// Of these bytes, the ones that were not yet written to the caller's connection. Shared with
    /// the network threads, which may outlive this request.
    std::shared_ptr<std::atomic<std::uint64_t>> unsentBytes
            = std::make_shared<std::atomic<std::uint64_t>>(0);
    Millis firstChunkAt{0};
    Millis lastChunkAt{0};
    Millis longestTokenGap{0};
    std::vector<Millis> tokenGaps; ///< The first maxTokenGaps gaps between chunks.
    EventSplitter splitter;
    std::unique_ptr<LoopTimer> timer;
    std::unique_ptr<LoopTimer> ownerTimer; ///< Of waitForOwner(); created when needed.
    bool ownerAnswered = false; ///< The owner of an engine has decided about the request.
    bool waitsForConfig = false; ///< Arrived before the first configuration.
    bool ended = false;
};

/// @return the traits of a prompt, without a request's fingerprint
[[nodiscard]] RequestTraits traitsOf(const std::vector<PromptPart> &parts);

} // namespace balsamport

#endif
