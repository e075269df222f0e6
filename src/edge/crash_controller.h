#ifndef BALSAMPORT_EDGE_CRASH_CONTROLLER_H
#define BALSAMPORT_EDGE_CRASH_CONTROLLER_H

#include "edge_state.h"
#include "peer_controller.h"

#include <balsamport/policy/crash_evidence.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace balsamport {

/// @brief Gathers the evidence on requests and prompt parts that crash backend servers, exchanges
/// it with the other daemons, and lets policy/crash_evidence judge it.
class CrashController
{
public:
    /// @param onConviction called after suspects were convicted
    CrashController(EdgeContext &context, EdgeState &state, PeerController &peers,
                    std::function<void()> onConviction);

    /// @brief Records a request whose connection to its server broke. An engine is first queried
    /// whether it still runs: connections also break without a crash.
    void handleBrokenRequest(const ServerEntry &server, bool isEngine, const RequestId &request,
                             const BrokenRequest &broken);

    /// @brief Records a complete response.
    void recordCompletion(const RequestTraits &traits, Millis sentAt);

    /// @brief Decides whether a request may be sent. Logs and counts a refusal.
    /// @param where part of the daemon that asks, for the log
    /// @return true if the request must not be sent
    [[nodiscard]] bool isRefused(const RequestTraits &traits, const RequestId &request,
                                 std::string_view where);

    /// @return true if a suspect of the request is about to be judged
    [[nodiscard]] bool isUnderJudgement(const RequestTraits &traits) const;

    void handleNote(const VmId &peer, const wire::CrashNote &note);

    /// @brief Adds the evidence that all daemons should have to a gossip message.
    void addToGossip(wire::EdgeGossip &gossip) const;
    void applyGossip(const VmId &peer, const wire::EdgeGossip &gossip);

    /// @brief Drops expired evidence and sets the gauges.
    void update(Millis now);

private:
    /// A server whose end is not confirmed yet, and the requests that broke off with it.
    struct PendingCrash
    {
        ServerEntry entry; ///< Only its id, address and start.
        ServerCrash crash;
        Millis probedAt;
        bool probedTwice = false;
        std::unique_ptr<LoopTimer> timer; ///< Of the second probe.
    };

    void probe(std::uint64_t serverRun);
    void handleProbe(std::uint64_t serverRun, const Result<HttpResponse> &response);
    void confirm(std::uint64_t serverRun, std::string_view evidence);
    void recordObserved(const BackendServerId &server, const ServerCrash &crash);
    void applyReport(const VmId &peer, const wire::CrashReport &report, Millis now);
    void mergeSuspects(const VmId &peer,
                       const google::protobuf::RepeatedPtrField<wire::SuspectEvidence> &suspects);
    void publishSoon();
    void publish();
    /// Judges after a delay, or earlier if an earlier judgement is scheduled.
    void judgeAfter(Millis delay);
    void judgeNow();
    void logSuspect(std::string_view event, const SuspectKey &key, Millis now);

    EdgeContext &context;
    EdgeState &state;
    PeerController &peers;
    std::function<void()> onConviction;
    CrashLimits limits;
    std::map<std::uint64_t, PendingCrash> pendingCrashes; ///< By run of the server.
    std::map<std::uint64_t, Millis> endedRuns; ///< Confirmed, with the time; the newest only.
    std::unique_ptr<LoopTimer> judgeTimer;
    std::unique_ptr<LoopTimer> publishTimer;
    bool publishScheduled = false;
    Millis judgesAt{-1}; ///< Time of the scheduled judgement; -1 for none.
};

} // namespace balsamport

#endif
