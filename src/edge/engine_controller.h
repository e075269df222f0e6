#ifndef BALSAMPORT_EDGE_ENGINE_CONTROLLER_H
#define BALSAMPORT_EDGE_ENGINE_CONTROLLER_H

#include "edge_context.h"

#include <balsamport.pb.h>
#include <balsamport/edge/command_lease.h>
#include <balsamport/edge/engine_arbitration.h>
#include <balsamport/edge/engine_scheduler.h>
#include <balsamport/edge/fleet_contact.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
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

    /// @param isQuarantined returns true for a request that must not be granted
    EngineController(EdgeContext &context, VerdictHandler onVerdict, QuarantineCheck isQuarantined);

    /// @brief Records that the entry of a new engine, or of a new run of one, was received.
    void recordRun(const ServerEntry &server);

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

    /// @brief Applies how much of the fleet this daemon is in contact with.
    /// @param contested owned engines that a live peer claims as well
    void applyContact(const ContactState &state, const std::set<BackendServerId> &contested);

    [[nodiscard]] std::size_t waitingRequests() const;

    /// @return the loads of the owned engines
    [[nodiscard]] std::map<BackendServerId, double> engineLoads(Millis now) const;

    /// @brief Applies the profiles that another daemon measured.
    void applyPeerProfiles(const VmId &peer, const wire::EdgeGossip &gossip);

    /// @brief Adds the profiles that this daemon measured to a gossip message.
    void addProfiles(wire::EdgeGossip &gossip) const;

private:
    /// Reports lag by some hundred milliseconds; the next one is requested after this time.
    static constexpr Millis reportLag = CommandLeaseTimings::reportAge;
    /// An engine that accepts no connection within this time is down; its owner is mostly in its
    /// data centre.
    static constexpr Millis reportConnectTimeout{300};
    static constexpr Millis minTimerDelay{1};

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
    /// A reservation of an engine, from its request on. It has no id where the engine doesn't
    /// arbitrate and the contact with the fleet permits commands.
    struct Reservation
    {
        enum class State : std::uint8_t {
            Requested,
            Granted,
            Confirmed, ///< A report that was requested after the grant has been applied.
        };
        State state = State::Requested;
        std::uint64_t number = 0; ///< Among all reservations.
        std::string id; ///< The engine's name for it.
        std::int64_t engineStartedAtWallMs = 0; ///< Identifies the run of the engine.
        Millis requestedAt;
        Millis grantedAt; ///< Reports that are requested from then on confirm it.
        bool byLastHolder = false; ///< See isLastHolder().
        bool verifying = false; ///< A second reservation was requested; see EngineArbitration.
        /// A command was sent of which no response said that the engine counted it.
        bool unsettled = false;
        Millis settledAt{-1}; ///< When such a response was received; -1 for none.
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
        std::uint64_t kvTokens = 0; ///< Of the last report; 0 if it didn't say.
        std::optional<Reservation> reservation;
        Millis reserveFrom{-1}; ///< When the next reservation may be requested.
        Millis acquiredAt{0};
        Millis contestedAt{-1}; ///< When a live peer last claimed the engine; -1 for never.
        std::unique_ptr<LoopTimer> decisionTimer;
        std::unique_ptr<LoopTimer> reportTimer;
        std::unique_ptr<LoopTimer> reservationTimer;
    };

    /// What this daemon knows of an engine's commands. Outlives the ownership term, as neither the
    /// engine's count nor a command on its way depends on it.
    struct CommandState
    {
        CommandLease lease;
        EngineArbitration arbitration;
        std::uint64_t commandInProgress = 0; ///< Its number among all commands; 0 for none.
        Millis sentAt; ///< Of the command in progress, at the earliest.
        Millis answeredAt{-1}; ///< Time of the last command's response.
        Millis usedAt; ///< When a term or an observation last used this.
        std::optional<std::int64_t> seenStartWallMs; ///< Identifies the run of the last entry.
        bool isFirstRun = false; ///< As far as this daemon has seen the engine from its start on.
        bool observing = false; ///< A report is in progress that was requested before the term.
    };

    [[nodiscard]] Term *find(const BackendServerId &server);
    CommandState &commandStateOf(const BackendServerId &server);
    [[nodiscard]] CommandLeaseTimings leaseTimings(const EngineLimits *limits) const;
    void forgetUnusedCommandStates(Millis now);
    void handleObservedReport(const ServerEntry &server, const Result<HttpResponse> &response);
    /// Applies the count of a report to the lease, and logs what changes.
    CountObservation observe(const ServerEntry &server, const EngineReport &report, Millis now);
    /// Requests a reservation, unless one is in progress.
    void reserve(Term &term);
    void handleReservation(const ServerEntry &server, std::uint64_t number,
                           const Result<HttpResponse> &response);
    /// Requests a second reservation, which an engine that arbitrates refuses.
    void verifyArbitration(Term &term);
    void handleVerification(const ServerEntry &server, std::uint64_t number,
                            const Result<HttpResponse> &response);
    /// Reserves an engine that doesn't arbitrate without asking it.
    void reserveByContact(Term &term);
    /// Returns from when on the contact with the fleet permits to command an engine that doesn't
    /// arbitrate.
    [[nodiscard]] Millis reservableByContactFrom(const Term &term);
    [[nodiscard]] OutgoingRequest reservationRequest(const Term &term) const;
    /// @return the engine's memory in tokens, reported or configured; 0 if neither is known
    [[nodiscard]] static std::uint64_t memoryOf(const Term &term) noexcept;
    /// Ends a reservation early if no command under it can still reach the engine unseen.
    void endReservation(Term &term);
    void sendReservationEnd(const ServerEntry &server, const std::string &id);
    /// @param endAt when to end it early; 0 for its expiry
    void scheduleReservationEnd(Term &term, Millis endAt);
    void recordFailedReservation(Term &term, const Error &error);
    /// Tells the scheduler until when it may send commands.
    void applyLease(Term &term);
    void rejectWaiting(Term &term);
    void decide(Term &term);
    void scheduleDecision(Term &term);
    /// Stops grants on an engine until a report of it has been received.
    void suspect(Term &term, std::string_view reason);
    void requestReport(Term &term);
    void handleReport(const BackendServerId &server, const Result<HttpResponse> &response);
    /// @param requestedAt when the report was requested
    void applyCommandCount(Term &term, const EngineReport &report, Millis requestedAt, Millis now);
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
    AdapterVersions versions;
    std::map<ServiceId, ServiceMeasurements> services;
    std::map<BackendServerId, std::unique_ptr<Term>> terms;
    std::map<BackendServerId, CommandState> commandStates;
    std::uint64_t lastCommandNumber = 0;
    std::uint64_t lastReservationNumber = 0;
    Millis startedAt;
    ContactState contact;
    bool acquisitionSuspended = true; ///< See acquirableFrom().
};

} // namespace balsamport

#endif
