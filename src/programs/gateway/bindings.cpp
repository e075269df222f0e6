#include "bindings.h"

#include <balsamport/core/metric_names.h>

#include <utility>

namespace balsamport {

namespace {

constexpr double millisPerSecond = 1'000;

GrantQuery toGrantQuery(const PlacementRequest &query)
{
    GrantQuery grantQuery;
    grantQuery.request = query.request;
    grantQuery.adapter = query.adapter.value_or(AdapterRef{});
    grantQuery.service = query.service;
    grantQuery.priority = query.priority;
    grantQuery.callerClass = query.callerClass;
    grantQuery.deadline = query.deadline;
    grantQuery.promptBytes = query.promptBytes;
    grantQuery.maxTokens = query.maxTokens;
    grantQuery.prefixHashes = query.prefixHashes;
    grantQuery.fingerprint = query.fingerprint;
    grantQuery.repeatable = query.repeatable;
    grantQuery.runAlone = query.runAlone;
    grantQuery.exclude = query.avoid;
    return grantQuery;
}

Placement toPlacement(const AcquiredGrant &acquired)
{
    return {acquired.backendServer, acquired.address, acquired.grant, acquired.fencing,
            acquired.suspect};
}

ReleaseReason toReleaseReason(PlacementEnd end) noexcept
{
    switch (end) {
    case PlacementEnd::Finished:
        return ReleaseReason::Finished;
    case PlacementEnd::Returned:
        return ReleaseReason::Returned;
    case PlacementEnd::Broken:
        return ReleaseReason::Broken;
    case PlacementEnd::Cancelled:
        return ReleaseReason::Cancelled;
    case PlacementEnd::ServerCrashed:
        break;
    }
    return ReleaseReason::ServerCrashed;
}

void observeWaits(const AcquiredGrant &acquired)
{
    static Summary &queueWait = processMetrics().summary(metric::queueWait);
    static Summary &loadStall = processMetrics().summary(metric::loadStall);
    const Millis now = monotonicNow();
    queueWait.observe(static_cast<double>(acquired.waited.count()) / millisPerSecond, now);
    loadStall.observe(static_cast<double>(acquired.waitedForLoad.count()) / millisPerSecond, now);
}

/// Returns IP:PORT of a VM's gateway, or an empty text where it is not known.
std::string gatewayAddressOf(const FleetClient &fleet, const VmId &vm)
{
    const auto view = fleet.fleet();
    if (!view) {
        return {};
    }
    for (const Member &member : view->members) {
        if (member.instance.vm == vm) {
            return member.gatewayAddress;
        }
    }
    return {};
}

KeyClaimResult toKeyClaimResult(const ClaimOutcome &outcome, const FleetClient &fleet)
{
    if (outcome.standing == ClaimStanding::Won) {
        return {KeyClaim{outcome.dispatchDeadline, outcome.provenNotRun}, {}};
    }
    const ErrorCode code = outcome.failure.value_or(ErrorCode::WitnessUnavailable);
    const std::string winner
            = outcome.winnerGateway ? gatewayAddressOf(fleet, outcome.winnerGateway->vm) : "";
    return {std::nullopt, {{code, "the key was not granted"}, outcome.provenNotRun, winner}};
}

} // namespace

GrantSource grantSourceOver(GrantClient &client)
{
    GrantSource source;
    source.acquire = [&client](const PlacementRequest &query, PlacementHandler handler) {
        client.acquire(toGrantQuery(query),
                       [handler = std::move(handler)](const Result<AcquiredGrant> &acquired,
                                                      Millis retryAfter) {
                           if (!acquired) {
                               handler(acquired.error(), retryAfter);
                               return;
                           }
                           observeWaits(acquired.value());
                           handler(toPlacement(acquired.value()), retryAfter);
                       });
    };
    source.cancel = [&client](const RequestId &request) { client.cancel(request); };
    source.release = [&client](const Placement &placement, PlacementEnd end) {
        client.release(placement.backendServer, placement.grant, toReleaseReason(end));
    };
    return source;
}

ClaimSource claimSourceOver(ClaimClient &client, const FleetClient &fleet)
{
    ClaimSource source;
    source.claim = [&client, &fleet](const KeyClaimRequest &query, auto handler) {
        const Millis started = monotonicNow();
        const ClaimQuery claim{query.key,           query.caller,  query.body,    newAttemptId(),
                               query.firstSentWall, query.arrived, query.deadline};
        client.claim(claim,
                     [&fleet, handler = std::move(handler), started](const ClaimOutcome &outcome) {
                         static Summary &latency = processMetrics().summary(metric::claimLatency);
                         const Millis now = monotonicNow();
                         latency.observe(static_cast<double>((now - started).count())
                                                 / millisPerSecond,
                                         now);
                         handler(toKeyClaimResult(outcome, fleet));
                     });
    };
    source.requestTicket = [&client](auto handler) { client.requestTicket(std::move(handler)); };
    return source;
}

SuspectSource suspectSourceOver(SuspectClient &client)
{
    SuspectSource source;
    source.queryVerdict
            = [&client](Fingerprint fingerprint, const RequestId &request, auto handler) {
                  client.queryVerdict(fingerprint, request, std::move(handler));
              };
    source.reportCrash = [&client](Fingerprint fingerprint, const RequestId &request,
                                   const BackendServerId &server, auto handler) {
        client.reportCrash({CrashedRequest{fingerprint, request}}, server, std::move(handler));
    };
    source.reportFinished = [&client](Fingerprint fingerprint, const RequestId &request) {
        client.reportFinished(fingerprint, request);
    };
    source.reportRunEnded = [&client](Fingerprint fingerprint, const RequestId &request) {
        client.reportRunEnd(fingerprint, request);
    };
    return source;
}

BackendClient backendClientOver(HttpClient &client)
{
    BackendClient backend;
    backend.start = [&client](OutgoingRequest request, ExchangeHandlers handlers) {
        return client.start(std::move(request), std::move(handlers));
    };
    backend.resume = [&client](std::uint64_t number) { client.resume(number); };
    backend.cancel = [&client](std::uint64_t number) { client.cancel(number); };
    return backend;
}

} // namespace balsamport
