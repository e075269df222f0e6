#ifndef BALSAMPORT_EDGE_ENGINE_CONTROLLER_H
#define BALSAMPORT_EDGE_ENGINE_CONTROLLER_H

#include "edge_context.h"

#include <balsamport.pb.h>
#include <balsamport/edge/command_lease.h>
#include <balsamport/edge/engine_scheduler.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace balsamport {

/// @brief An owner's decision on a grant request.
struct GrantVerdict
{
    enum class Kind : std::uint8_t {
        Queued,
        Granted,
        Redirected,
        Refused,
        NotOwner,
        EngineDown, ///< The engine is unreachable or in a backoff.
        Quarantined, ///< A part of the prompt crashes backend servers.
    };
    Kind kind = Kind::Queued;
    AdapterVersion version; ///< Of a grant; 0 for any.
    Millis retryAfter{0}; ///< Of a refusal.
    Millis wait{0}; ///< Expected for a request that arrives now.
    double demand = 0; ///< Requests a second for the adapter on this engine.
    /// Of Redirected and Refused: only the engine's rate limit makes the request wait.
    bool rateLimited = false;

    bool operator==(const GrantVerdict &) const = default;
};

/// @brief What happened to a grant or a grant request.
enum class GrantEvent : std::uint8_t {
    Started,
    Ended,
    Cancelled,
    NotReady,
    Unreachable, ///< The engine couldn't be reached; the request hasn't run.
};

/// @brief Update of a grant by the daemon that holds it.
struct GrantUpdate
{
    GrantEvent event = GrantEvent::Ended;
    /// Of Started: time since the request was sent; 0 for an engine of another region.
    Millis timeToFirstChunk;
    /// Of Ended: timing of a complete stream from an engine of the own region.
    std::optional<StreamTiming> stream;

    bool operator==(const GrantUpdate &) const = default;
};

/// @brief Owns engines: keeps their scheduling state, decides on grants and sends commands.
class EngineController
{
public:
    using VerdictHandler = std::function<void(const GrantKey &key, const BackendServerId &server,
                                              const GrantVerdict &verdict)>;
    using QuarantineCheck = std::function<bool(const EngineGrantRequest &request)>;

    /// @brief What the other daemons may do with an engine.
    struct Succession
    {
        std::size_t rank = 0; ///< Number of daemons that go before this one; see successionRank().
        bool knowsAllPeers = false; ///< See knowsAllPeers().
    };
    using SuccessionQuery = std::function<Succession(const ServerEntry &server)>;

    /// @param isQuarantined returns true for a request that must not be granted
    EngineController(EdgeContext &context, VerdictHandler onVerdict, QuarantineCheck isQuarantined,
                     SuccessionQuery successionQuery);

    /// @brief Records that the entry of a new engine, or of a new run of one, was received.
    void recordSighting(const ServerEntry &server);

    /// @brief Requests the command count of an engine that this daemon may soon own, so that the
    /// time for which it hasn't changed is known when the ownership term begins.
    void observeCommandCount(const ServerEntry &server);

    /// @brief Begins an ownership term for an engine.
    void acquire(const ServerEntry &server, const EngineLimits &limits);
    /// @brief Ends the term. Waiting requests get NotOwner.
    void release(const BackendServerId &server);

    /// @brief Applies a new entry of an engine, or new limits of its service.
    void update(const ServerEntry &server, const EngineLimits &limits);

    /// @brief Applies availability that an engine reported in a response. Waiting requests get
    /// NotOwner or EngineDown.
    /// @param draining the engine accepts no new requests
    /// @param backoff time in which the engine accepts no requests; 0 for none
    void applyAvailability(const BackendServerId &server, bool draining, Millis backoff);

    /// @brief Sets how many grants per second an engine's rate limit allows this owner.
    /// @param perSecond nothing without a limit
    void setPermitRate(const BackendServerId &server, std::optional<double> perSecond);

    /// @brief Discards the permits of all engines after a pause of the process, in which another
    /// daemon may have issued them.
    void restartPermits();

    /// @brief Submits a grant request. The verdict handler may be called before this returns.
    void submit(const BackendServerId &server, EngineGrantRequest request);
    /// @brief Rejects the waiting requests that must not be granted any more.
    void rejectQuarantined();
    void updateGrant(const BackendServerId &server, const GrantKey &key, const GrantUpdate &update);
    void dropGrantsOf(const VmId &vm, std::uint64_t incarnation);
    void declareVersion(const AdapterDeclaration &declaration);

    /// @brief Requires a new report of each engine before the next command: in a pause of the
    /// process other daemons may have commanded the engines.
    void confirmLeases(std::string_view reason);

    [[nodiscard]] std::size_t waitingRequests() const;

    /// @brief Applies the profiles that another daemon measured.
    void applyPeerProfiles(const VmId &peer, const wire::EdgeGossip &gossip);

    /// @brief Adds the profiles that this daemon measured to a gossip message.
    void addProfiles(wire::EdgeGossip &gossip) const;

private:
    /// A profile that another daemon measured.
    struct ReceivedProfile
    {
        MeasuredProfile measured;
        Millis at;
    };
    /// Measured times of the engines of a service.
    struct ServiceMeasurements
    {
        EngineProfile profile; ///< In use: merged from all daemons.
        EngineProfile loggedProfile; ///< Newest one in the log.
        EngineSamples samples;
        EngineProfile loadTimes; ///< Only the load values, of this daemon's own loads.
        std::uint32_t loadCount = 0;
        std::map<VmId, ReceivedProfile> received;
    };
    struct Term
    {
        ServerEntry server;
        SchedulerLimits limits;
        EngineScheduler scheduler;
        Millis reportRequestedAt{-1}; ///< Of the report in progress; -1 for none.
        Millis reportDueAt{-1}; ///< When the next report will be requested; -1 if it won't.
        bool reportNeeded = true; ///< For the lease, or to learn whether loads have ended.
        bool draining = false; ///< Reported by the engine itself, before its entry shows it.
        std::uint32_t failedReports = 0;
        std::unique_ptr<LoopTimer> decisionTimer;
        std::unique_ptr<LoopTimer> reportTimer;
    };

    /// What this daemon knows of an engine's commands. Outlives the ownership term, as neither the
    /// engine's count nor a command on its way depends on it.
    struct CommandState
    {
        CommandLease lease;
        std::uint64_t commandInProgress = 0; ///< Its number among all commands; 0 for none.
        Millis sentAt; ///< Of the command in progress, at the earliest.
        Millis answeredAt{-1}; ///< Time of the last command's response.
        Millis usedAt; ///< When a term or an observation last used this.
        Millis seenAt; ///< When the entry of the engine's run was received.
        std::optional<std::int64_t> seenStartWallMs; ///< Identifies that run.
        bool seenPromptly = false; ///< The process ran for some time before `seenAt`.
        bool seenInTouch = false; ///< This daemon knew all others then.
        bool observing = false; ///< A report is in progress that was requested before the term.
    };

    [[nodiscard]] Term *find(const BackendServerId &server);
    CommandState &commandStateOf(const BackendServerId &server);
    [[nodiscard]] CommandLeaseTimings leaseTimingsOf(const ServerEntry &server);
    void forgetUnusedCommandStates(Millis now);
    void handleObservedReport(const ServerEntry &server, const Result<HttpResponse> &response);
    /// Applies the count of a report to the lease, and logs what changes.
    CountObservation observe(const ServerEntry &server, const EngineReport &report, bool needsModel,
                             Millis now);
    /// @return adapters that this daemon alone loads where it must not equal another's command
    [[nodiscard]] std::vector<AdapterId> claimAdapters(const EngineLimits &limits) const;
    /// Tells the scheduler until when it may send commands.
    void applyLease(Term &term);
    void rejectWaiting(Term &term);
    void decide(Term &term);
    void scheduleDecision(Term &term);
    /// Stops grants on an engine until a report of it has been received.
    void suspect(Term &term, std::string_view reason);
    void requestReport(Term &term);
    void handleReport(const BackendServerId &server, const Result<HttpResponse> &response);
    void applyCommandCount(Term &term, const EngineReport &report, Millis now);
    void requestReportAfter(Term &term, Millis delay);
    void sendCommand(Term &term, const EngineCommand &command);
    void handleCommandResponse(const BackendServerId &server, std::uint64_t commandNumber,
                               const EngineCommand &command, const Result<HttpResponse> &response);
    /// Records in the lease whether the engine counted a command.
    void recordOutcome(const BackendServerId &server, const EngineCommand &command,
                       CommandOutcome outcome);
    void execute(Term &term, const SchedulerAction &action, Millis now);
    /// Adds samples to the profile of the term's service.
    void addSamples(Term &term, const std::optional<PrefillSample> &prefill,
                    const std::optional<StreamTiming> &stream, Millis longestPrefill);
    void addLoad(Term &term, const FinishedLoad &load);
    [[nodiscard]] static MeasuredProfile ownMeasurements(const ServiceMeasurements &measurements);
    /// Merges what all daemons measured of a service, and applies it to its engines.
    void mergeServiceProfile(const ServiceId &service);
    void logProfile(const ServiceId &service, const ServiceMeasurements &measurements);
    void logGrant(const Term &term, const GrantAction &grant, Millis now);

    EdgeContext &context;
    VerdictHandler onVerdict;
    QuarantineCheck isQuarantined;
    SuccessionQuery successionOf;
    Millis undisturbedSince; ///< The start of the process, or the end of its last pause.
    AdapterVersions versions;
    std::map<ServiceId, ServiceMeasurements> services;
    std::map<BackendServerId, std::unique_ptr<Term>> terms;
    std::map<BackendServerId, CommandState> commandStates;
    std::uint64_t lastCommandNumber = 0;
};

} // namespace balsamport

#endif
