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

/// @brief How a request for a place was decided.
struct GrantVerdict
{
    enum class Kind : std::uint8_t {
        Queued,
        Granted,
        Redirected,
        Refused,
        NotOwner,
        EngineDown, ///< The engine does not answer.
    };
    Kind kind = Kind::Queued;
    AdapterVersion version; ///< Of a grant; 0 for any.
    Millis retryAfter{0}; ///< Of a refusal.
    Millis wait{0}; ///< Expected for a request that comes now.
    double demand = 0; ///< Requests a second that ask for the adapter at this engine.

    bool operator==(const GrantVerdict &) const = default;
};

/// @brief What happened to a place that was asked for.
enum class GrantEvent : std::uint8_t {
    Started,
    Ended,
    Cancelled,
    NotReady,
    Unreachable, ///< The engine could not be reached; the request has not run.
};

/// @brief What a daemon tells of a place that it was given.
struct GrantUpdate
{
    GrantEvent event = GrantEvent::Ended;
    Millis firstPiece; ///< Of Started: since the request was sent, where the engine is near; or 0.
    std::optional<StreamTiming> stream; ///< Of Ended: a whole stream from a near engine.

    bool operator==(const GrantUpdate &) const = default;
};

/// @brief Owns engines: keeps their places, decides grants and gives orders.
class EngineController
{
public:
    using VerdictHandler = std::function<void(const GrantKey &key, const BackendServerId &server,
                                              const GrantVerdict &verdict)>;

    /// @param contentRevision gives the revision of the published state, for fencing numbers
    /// @param uncontested tells whether nobody else can have given orders within a lease
    EngineController(EdgeContext &context, std::function<std::uint64_t()> contentRevision,
                     std::function<bool(const BackendServerId &, Millis lease)> uncontested,
                     VerdictHandler onVerdict);

    /// @brief Reads the order count of an engine that this daemon may soon own, so that the time
    /// for which it has stood still is known when the term begins.
    void observeCommandCount(const ServerEntry &server);

    /// @brief Begins a term as the owner of an engine.
    void acquire(const ServerEntry &server, const EngineLimits &limits);
    void release(const BackendServerId &server);

    /// @brief Takes an engine's new description, or new limits of its service.
    void update(const ServerEntry &server, const EngineLimits &limits);

    /// @brief Heeds what an engine said of itself in an answer. Who waits there is sent elsewhere.
    /// @param leaving it takes no new requests
    /// @param pause it wants no requests for so long; 0 for none
    void applyAvailability(const BackendServerId &server, bool leaving, Millis pause);

    /// @brief Takes a request for a place. The verdict may be given before this returns.
    void submit(const BackendServerId &server, EngineGrantRequest request);
    void updateGrant(const BackendServerId &server, const GrantKey &key, const GrantUpdate &note);
    void dropGrantsOf(const VmId &vm, std::uint64_t incarnation);
    void declareVersion(const AdapterDeclaration &declaration);

    /// @brief Stops giving orders until each engine's order count has stood still for a lease;
    /// after a pause of the process, other daemons may have taken over.
    void suspendCommands(std::string_view reason);

    [[nodiscard]] std::size_t waitingRequests() const;

    /// @brief Takes the profiles that another daemon measured.
    void applyPeerProfiles(const VmId &peer, const wire::EdgeGossip &gossip);

    /// @brief Adds the profiles that this daemon measured.
    void addProfiles(wire::EdgeGossip &gossip) const;

private:
    /// A profile that another daemon measured.
    struct ToldProfile
    {
        MeasuredProfile measured;
        Millis at;
    };
    /// What is learnt of the engines of a service.
    struct ServiceLearning
    {
        EngineProfile profile; ///< In force: what all daemons measured.
        EngineProfile logged; ///< As the log has it.
        EngineSamples samples;
        EngineProfile loads; ///< Times of loads that this daemon saw.
        std::uint32_t loadCount = 0;
        std::map<VmId, ToldProfile> told;
    };
    struct Term
    {
        ServerEntry server;
        SchedulerLimits limits;
        EngineScheduler places;
        FencingNumber number;
        std::uint64_t commandCount = 0;
        Millis countSeenAt{-1}; ///< Since when the order count has stood still.
        Millis lastCommandAt{-1}; ///< When the last order was answered.
        bool lastCommandUnconfirmed = false; ///< The last order got no answer.
        bool reading = false; ///< A report is under way.
        bool leaving = false; ///< It said so itself, before its entry did.
        std::uint32_t failedReports = 0;
        std::unique_ptr<LoopTimer> timer;
        std::unique_ptr<LoopTimer> reportTimer;
    };

    /// An order count that was read before a term began.
    struct ObservedCount
    {
        std::uint64_t commandCount = 0;
        Millis seenAt{-1}; ///< -1 while its report is under way.
    };

    [[nodiscard]] Term *find(const BackendServerId &server);
    void handleObservedReport(const BackendServerId &server, const Result<HttpResponse> &answer);
    void sendWaitingAway(Term &term);
    void decide(Term &term);
    void decideSoon(Term &term);
    /// Stops giving places on an engine until it has given its report.
    void suspect(Term &term, std::string_view reason);
    void readReport(Term &term);
    void takeReport(const BackendServerId &server, const Result<HttpResponse> &answer);
    void checkCount(Term &term, const EngineReport &report, Millis now);
    void reportAfter(Term &term, Millis delay);
    void sendCommand(Term &term, const EngineCommand &command);
    void handleCommandResponse(const BackendServerId &server, FencingNumber number,
                               const EngineCommand &command, const Result<HttpResponse> &answer);
    void tell(Term &term, const SchedulerAction &action, Millis now);
    /// Takes the samples into the profile of the term's service.
    void learnFrom(Term &term, const std::optional<PrefillSample> &reading,
                   const std::optional<StreamTiming> &stream, Millis longestPrefill);
    void learnLoad(Term &term, const FinishedLoad &load);
    [[nodiscard]] static MeasuredProfile measuredBy(const ServiceLearning &learning);
    /// Joins what all daemons measured of a service, and gives it to its engines.
    void joinService(const ServiceId &service);
    void logProfile(const ServiceId &service, const ServiceLearning &learning);
    void logGrant(const Term &term, const GrantAction &grant, Millis now);

    EdgeContext &context;
    std::function<std::uint64_t()> contentRevision;
    std::function<bool(const BackendServerId &, Millis)> isUncontested;
    VerdictHandler onVerdict;
    AdapterVersions versions;
    std::map<ServiceId, ServiceLearning> learnt;
    std::map<BackendServerId, std::unique_ptr<Term>> terms;
    std::map<BackendServerId, ObservedCount> observed;
};

} // namespace balsamport

#endif
