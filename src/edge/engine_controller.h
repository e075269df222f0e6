#ifndef BALSAMPORT_EDGE_ENGINE_CONTROLLER_H
#define BALSAMPORT_EDGE_ENGINE_CONTROLLER_H

#include "edge_context.h"

#include <balsamport.pb.h>
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

    /// @param contentRevision returns the revision of the published state, for fencing numbers
    /// @param isQuarantined returns true for a request that must not be granted
    /// @param uncontested returns true where no other daemon can have sent commands within a lease
    EngineController(EdgeContext &context, std::function<StoreRevision()> contentRevision,
                     std::function<bool(const BackendServerId &, Millis lease)> uncontested,
                     VerdictHandler onVerdict, QuarantineCheck isQuarantined);

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

    /// @brief Suspends commands until each engine's command count hasn't changed for a lease: after
    /// a pause of the process other daemons may have acquired the engines.
    void suspendCommands(std::string_view reason);

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
        FencingNumber fencingNumber;
        std::uint64_t commandCount = 0;
        Millis countUnchangedSince{-1}; ///< -1 before a report has been received.
        Millis lastCommandAt{-1}; ///< Time of the last command's response.
        bool lastCommandUnconfirmed = false; ///< The last command got no response.
        bool reportRequested = false; ///< A report is in progress.
        bool draining = false; ///< Reported by the engine itself, before its entry shows it.
        std::uint32_t failedReports = 0;
        std::unique_ptr<LoopTimer> decisionTimer;
        std::unique_ptr<LoopTimer> reportTimer;
    };

    /// A command count from before the ownership term.
    struct ObservedCount
    {
        std::uint64_t commandCount = 0;
        Millis observedAt{-1}; ///< -1 while the report is in progress.
    };

    [[nodiscard]] Term *find(const BackendServerId &server);
    void handleObservedReport(const BackendServerId &server, const Result<HttpResponse> &response);
    void rejectWaiting(Term &term);
    void decide(Term &term);
    void scheduleDecision(Term &term);
    /// Stops grants on an engine until a report of it has been received.
    void suspect(Term &term, std::string_view reason);
    void requestReport(Term &term);
    void handleReport(const BackendServerId &server, const Result<HttpResponse> &response);
    void checkCommandCount(Term &term, const EngineReport &report, Millis now);
    void requestReportAfter(Term &term, Millis delay);
    void sendCommand(Term &term, const EngineCommand &command);
    void handleCommandResponse(const BackendServerId &server, FencingNumber number,
                               const EngineCommand &command, const Result<HttpResponse> &response);
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
    std::function<StoreRevision()> contentRevision;
    std::function<bool(const BackendServerId &, Millis)> isUncontested;
    VerdictHandler onVerdict;
    QuarantineCheck isQuarantined;
    AdapterVersions versions;
    std::map<ServiceId, ServiceMeasurements> services;
    std::map<BackendServerId, std::unique_ptr<Term>> terms;
    std::map<BackendServerId, ObservedCount> observedCounts;
};

} // namespace balsamport

#endif
