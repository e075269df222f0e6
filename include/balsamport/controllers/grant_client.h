#ifndef BALSAMPORT_CONTROLLERS_GRANT_CLIENT_H
#define BALSAMPORT_CONTROLLERS_GRANT_CLIENT_H

#include <balsamport/config/snapshot.h>
#include <balsamport/controllers/grant_controller.h>
#include <balsamport/core/error.h>
#include <balsamport/policy/members.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace balsamport {

/// @brief A request for a grant: on an adapter version or on a plain service.
struct GrantQuery
{
    RequestId request;
    AdapterRef adapter; ///< Empty for a plain service.
    ServiceId service; ///< Empty for an adapter.
    std::int32_t priority = 0;
    CallerClassId callerClass;
    Millis deadline; ///< Monotonic.
    std::uint32_t promptBytes = 0;
    std::uint32_t maxTokens = 0;
    std::vector<std::uint64_t> prefixHashes;
    Fingerprint fingerprint;
    bool repeatable = true;
    bool runAlone = false; ///< Suspected of crashing servers: runs on one without other requests.
    std::vector<BackendServerId> exclude; ///< Servers not to use, for example after a crash there.

    bool operator==(const GrantQuery &) const = default;
};

/// @brief A grant on a backend server; release() must be called once for it.
struct AcquiredGrant
{
    BackendServerId backendServer;
    std::string address; ///< IP:PORT
    GrantId grant; ///< For a plain service a number that the gateway chose.
    FencingNumber fencing;
    Millis waited; ///< Time from acquire() to the grant.
    Millis waitedForLoad;
    bool suspect = false; ///< The request runs alone.
    bool acrossLink = false;

    bool operator==(const AcquiredGrant &) const = default;
};

/// @brief Why a grant is released.
enum class ReleaseReason : std::uint8_t {
    Finished,
    Returned, ///< The request did not run: the adapter was not loaded or the connection failed.
    Broken,
    Cancelled,
    ServerCrashed,
};

/// Called exactly once, on the thread of the message client, of acquire(), of cancel() or of
/// tick(). `retryAfter` belongs to an error: when to retry; 0 where a retry makes no sense.
using GrantHandler = std::function<void(const Result<AcquiredGrant> &grant, Millis retryAfter)>;

/// @brief Acquires grants for a gateway: chooses candidates, requests grants from their owners, and
/// keeps track of the grants that it holds.
///
/// Plain services need no owner: acquire() grants the live replica with the lowest load itself.
/// All functions may be called from any thread.
///
/// Example:
///
///     GrantClient grants(VmId("vm1"), DataCentreId("dc1"), peerMessagesOver(messages));
///     grants.update(snapshot, fleet);  // on each change
///     grants.acquire(query, [](const Result<AcquiredGrant> &grant, Millis retryAfter) { ... });
///     grants.release(grant.backendServer, grant.grant, ReleaseReason::Finished);
///     grants.tick(monotonicNow());     // every 20 to 100 ms
class GrantClient
{
public:
    GrantClient(VmId self, DataCentreId dataCentre, PeerMessages peers);
    ~GrantClient();
    GrantClient(const GrantClient &) = delete;
    GrantClient &operator=(const GrantClient &) = delete;

    /// @brief Sets the configuration and the fleet. Where an owner changed, held grants are
    /// announced to their servers' owners.
    void update(const SnapshotPtr &snapshot, const std::shared_ptr<const FleetView> &fleet);

    /// @brief Requests a grant.
    /// @param handler gets a grant, or UnknownModel, UnknownService, NoBackendServer, Overloaded,
    /// DeadlineExceeded, LinkBudgetSpent, Timeout
    void acquire(const GrantQuery &query, GrantHandler handler);

    /// @brief Cancels a request that still waits; its handler is called with CallerGone.
    void cancel(const RequestId &request);

    /// @brief Releases a grant.
    void release(const BackendServerId &server, GrantId grant, ReleaseReason reason);

    /// @brief Runs work that is due: a new pass through the candidates of a request that waits,
    /// announcements of held grants, removal of idle adapters from the routing state.
    /// @param now monotonic
    void tick(Millis now);

    /// @return number of grants held
    [[nodiscard]] std::size_t held() const;

private:
    struct Core;
    std::shared_ptr<Core> core;
};

} // namespace balsamport

#endif
