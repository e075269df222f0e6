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
/// What the filters need from the rest of the gateway, as plain structs of functions, so that the
/// chain is tested with fakes. Callbacks may come on any thread and must not block. A BackendClient
/// never calls back from inside start().

namespace balsamport {

/// @brief What a place on a backend server is asked for.
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
    bool runAlone = false; ///< Suspected of crashing servers: shares one with nothing.
    std::vector<BackendServerId> avoid; ///< Tried before, or failing now.

    bool operator==(const PlacementRequest &) const = default;
};

/// @brief A granted place on a backend server.
struct Placement
{
    BackendServerId backendServer;
    std::string address; ///< IP:PORT
    GrantId grant;
    FencingNumber fencing;
    bool suspect = false; ///< The request runs alone.

    bool operator==(const Placement &) const = default;
};

/// @brief How the use of a place ended.
enum class PlacementEnd : std::uint8_t {
    Finished,
    Returned, ///< Not run there.
    Broken, ///< The connection broke while the request ran.
    Cancelled,
    ServerCrashed,
};

/// Takes a place, or a failure and the time after which to come back; 0 where that is no use.
using PlacementHandler = std::function<void(const Result<Placement> &place, Millis retryAfter)>;

/// @brief Grants and gives back places. Each acquire() calls back once.
struct GrantSource
{
    std::function<void(const PlacementRequest &, PlacementHandler)> acquire;
    std::function<void(const RequestId &)> cancel; ///< Gives up a request that waits.
    std::function<void(const Placement &, PlacementEnd)> release;
};

/// @brief What a claim on a key is asked with.
struct KeyClaimRequest
{
    RequestKey key;
    CallerId caller;
    Fingerprint body;
    std::optional<Millis> firstSentWall; ///< Nothing where unknown.
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
    std::string winnerAddress; ///< IP:PORT of the gateway that may hold the answer; or empty.

    bool operator==(const KeyClaimRefusal &) const = default;
};

/// @brief The answer to a claim: exactly one of both.
struct KeyClaimResult
{
    std::optional<KeyClaim> won;
    KeyClaimRefusal refusal;

    bool operator==(const KeyClaimResult &) const = default;
};

/// @brief Claims keys of non-repeatable requests and gives tickets. Each calls back once.
struct ClaimSource
{
    std::function<void(const KeyClaimRequest &, std::function<void(const KeyClaimResult &)>)> claim;
    std::function<void(std::function<void(const Result<RequestKey> &)>)> requestTicket;
};

/// @brief Sends requests to backend servers.
struct BackendClient
{
    std::function<std::uint64_t(OutgoingRequest, ExchangeHandlers)> start;
    std::function<void(std::uint64_t)> resume;
    std::function<void(std::uint64_t)> cancel;
};

/// @brief Keeps requests apart that were in progress when a backend server died.
struct SuspectSource
{
    std::function<void(Fingerprint, const RequestId &, std::function<void(SuspectVerdict)>)>
            queryVerdict;
    /// Calls back once the others know of the crash.
    std::function<void(Fingerprint, const RequestId &, const BackendServerId &,
                       std::function<void()>)>
            reportCrash;
    std::function<void(Fingerprint, const RequestId &)> reportFinished;
    std::function<void(Fingerprint, const RequestId &)> reportRunEnded; ///< Without a whole answer.
};

/// @brief Runs a function later, on a thread that must not be blocked.
using TimerSource = std::function<void(Millis delay, std::function<void()>)>;

/// @return the configuration in force; null before the first one
using SnapshotSource = std::function<SnapshotPtr()>;

} // namespace balsamport

#endif
