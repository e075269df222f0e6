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

/// @brief What a gateway asks a place for: an adapter version, or a plain service.
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
    bool runAlone = false; ///< Suspected of crashing servers: shares one with nothing.
    std::vector<BackendServerId> exclude; ///< Not to be used, for example after a crash there.

    bool operator==(const GrantQuery &) const = default;
};

/// @brief A place on a backend server; release() must be called once for it.
struct AcquiredGrant
{
    BackendServerId backendServer;
    std::string address; ///< IP:PORT
    GrantId grant; ///< For a plain service, a number of the gateway's own.
    FencingNumber fencing;
    Millis waited; ///< From acquire() to the grant.
    Millis waitedForLoad;
    bool suspect = false; ///< Runs alone.
    bool acrossLink = false;

    bool operator==(const AcquiredGrant &) const = default;
};

/// @brief How a request on a granted place ended.
enum class ReleaseReason : std::uint8_t {
    Finished,
    Returned, ///< Not run: the adapter was not loaded, or the connection failed.
    Broken,
    Cancelled,
    ServerCrashed,
};

/// Called exactly once, on the thread of the message client or of acquire() or tick().
/// `retryAfter` is for a failure: when to come back; 0 where that makes no sense.
using GrantHandler = std::function<void(const Result<AcquiredGrant> &place, Millis retryAfter)>;

/// @brief The gateway's side of grants: chooses candidates, asks their owners, keeps what it holds.
///
/// Plain services need no owner: the least loaded live replica is taken at once.
/// All functions may be called from any thread.
///
/// Example:
///
///     GrantClient grants(VmId("vm1"), DataCentreId("dc1"), peerMessagesOver(messages));
///     grants.update(snapshot, fleet);  // on each change
///     grants.acquire(query, [](const Result<AcquiredGrant> &place, Millis retryAfter) { ... });
///     grants.release(place.backendServer, place.grant, ReleaseReason::Finished);
///     grants.tick(monotonicNow());     // every 20 to 100 ms
class GrantClient
{
public:
    GrantClient(VmId self, DataCentreId dataCentre, PeerMessages peers);
    ~GrantClient();
    GrantClient(const GrantClient &) = delete;
    GrantClient &operator=(const GrantClient &) = delete;

    /// @brief Takes in the configuration and the fleet; grants held at a server whose owner
    /// changed are announced to the new one.
    void update(const SnapshotPtr &snapshot, const std::shared_ptr<const FleetView> &fleet);

    /// @brief Asks for a place.
    /// @param handler gets a place, or UnknownModel, UnknownService, NoBackendServer, Overloaded,
    /// DeadlineExceeded, LinkBudgetSpent, Timeout
    void acquire(const GrantQuery &query, GrantHandler handler);

    /// @brief Gives up a request that still waits; its handler is called with CallerGone.
    void cancel(const RequestId &request);

    /// @brief Gives a place back.
    void release(const BackendServerId &server, GrantId grant, ReleaseReason how);

    /// @brief Runs what is due: repeated announcements and forgotten places.
    void tick(Millis now);

    /// @return how many places are held
    [[nodiscard]] std::size_t held() const;

private:
    struct Core;
    std::shared_ptr<Core> core;
};

} // namespace balsamport

#endif
