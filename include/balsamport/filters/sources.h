#ifndef BALSAMPORT_FILTERS_SOURCES_H
#define BALSAMPORT_FILTERS_SOURCES_H

#include <balsamport/config/snapshot.h>
#include <balsamport/core/clock.h>
#include <balsamport/core/error.h>
#include <balsamport/core/ids.h>
#include <balsamport/http/http_client.h>
#include <balsamport/policy/suspects.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

/// @file
/// Interfaces of the filters to the rest of the gateway, as plain structs of functions, so that the
/// chain can be tested with fakes. Callbacks may be called on any thread and must not block. A
/// BackendClient never calls back from inside start().

namespace balsamport {

/// @brief A request for a placement on a backend server.
struct PlacementRequest
{
    RequestId request;
    std::optional<AdapterRef> adapter; ///< Nothing for plain services.
    ServiceId service; ///< Plain services only.
    std::int32_t priority = 0;
    CallerClassId callerClass;
    Millis deadline; ///< Monotonic.
    std::uint32_t promptBytes = 0;
    std::uint32_t maxTokens = 0;
    std::vector<std::uint64_t> prefixHashes;
    Fingerprint fingerprint;
    bool repeatable = true;
    bool runAlone = false; ///< Suspected of crashing servers: must not share a server.
    std::vector<BackendServerId> avoid; ///< Already tried, or circuit breaker open.

    bool operator==(const PlacementRequest &) const = default;
};

/// @brief The granted right to run a request on a backend server.
struct Placement
{
    BackendServerId backendServer;
    std::string address; ///< IP:PORT
    GrantId grant;
    FencingNumber fencing;
    bool suspect = false; ///< The request runs alone.

    bool operator==(const Placement &) const = default;
};

/// @brief How the use of a placement ended.
enum class PlacementEnd : std::uint8_t {
    Finished,
    Returned, ///< The request did not run there.
    Broken, ///< The connection broke while the request ran.
    Cancelled,
    ServerCrashed,
};

/// Receives a placement, or a failure and the time after which to retry; 0 where a retry is of no
/// use.
using PlacementHandler = std::function<void(const Result<Placement> &placement, Millis retryAfter)>;

/// @brief Grants and releases placements. Each acquire() calls back once.
struct GrantSource
{
    std::function<void(const PlacementRequest &, PlacementHandler)> acquire;
    std::function<void(const RequestId &)> cancel; ///< Cancels a waiting request.
    std::function<void(const Placement &, PlacementEnd)> release;
};

/// @brief A request to claim a key.
struct KeyClaimRequest
{
    RequestKey key;
    CallerId caller;
    Fingerprint body;
    std::optional<Millis> firstSentWall; ///< Wall-clock time; nothing where unknown.
    Millis arrived; ///< Monotonic.
    Millis deadline; ///< Monotonic.

    bool operator==(const KeyClaimRequest &) const = default;
};

/// @brief A won claim. Nothing may be sent at or after `dispatchBefore`.
struct KeyClaim
{
    Millis dispatchBefore; ///< Monotonic.
    bool provenNotRun = false; ///< If this attempt is abandoned, none has run or ever will.

    bool operator==(const KeyClaim &) const = default;
};

/// @brief A claim that was not won.
struct KeyClaimRefusal
{
    Error error;
    bool provenNotRun = false; ///< No attempt with this key has run or ever will.
    /// IP:PORT of the gateway that may have cached the response; or empty.
    std::string winnerAddress;

    bool operator==(const KeyClaimRefusal &) const = default;
};

/// @brief The result of a claim: a won claim, or else a refusal.
struct KeyClaimResult
{
    std::optional<KeyClaim> won;
    KeyClaimRefusal refusal; ///< Only where `won` is empty.

    bool operator==(const KeyClaimResult &) const = default;
};

/// @brief Claims keys of non-repeatable requests and issues tickets. Each function calls back once.
struct ClaimSource
{
    std::function<void(const KeyClaimRequest &, std::function<void(const KeyClaimResult &)>)> claim;
    std::function<void(std::function<void(const Result<RequestKey> &)>)> requestTicket;
};

/// @brief Sends requests to backend servers, as HttpClient does.
struct BackendClient
{
    std::function<std::uint64_t(OutgoingRequest, ExchangeHandlers)> start;
    std::function<void(std::uint64_t)> resume;
    std::function<void(std::uint64_t)> cancel;
};

/// @brief Isolates requests that were in progress when a backend server crashed.
struct SuspectSource
{
    std::function<void(Fingerprint, const RequestId &, std::function<void(SuspectVerdict)>)>
            queryVerdict;
    /// Calls back once the crash has been announced to the other VMs.
    std::function<void(Fingerprint, const RequestId &, const BackendServerId &,
                       std::function<void()>)>
            reportCrash;
    std::function<void(Fingerprint, const RequestId &)> reportFinished;
    /// Reports a run that ended without a complete response.
    std::function<void(Fingerprint, const RequestId &)> reportRunEnded;
};

/// @brief Runs a function after a delay, on a thread that must not be blocked.
using TimerSource = std::function<void(Millis delay, std::function<void()>)>;

/// @return the configuration in force; null before the first one
using SnapshotSource = std::function<SnapshotPtr()>;

} // namespace balsamport

#endif
