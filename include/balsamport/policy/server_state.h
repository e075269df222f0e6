#ifndef BALSAMPORT_POLICY_SERVER_STATE_H
#define BALSAMPORT_POLICY_SERVER_STATE_H

#include <balsamport/core/clock.h>
#include <balsamport/core/error.h>
#include <balsamport/core/ids.h>
#include <balsamport/policy/demand.h>
#include <balsamport/policy/load_budget.h>

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace balsamport {

/// @brief The capabilities of a backend server, from the configuration.
struct ServerLimits
{
    std::uint32_t slots = 8;
    std::uint32_t batchWidth = 16;
    bool mixesAdapters = true;
    bool adapterless = false; ///< A plain service: its requests name no adapter.
    /// First candidate for adapters that are not resident: keeps those in highest demand.
    bool packed = false;

    bool operator==(const ServerLimits &) const = default;
};

/// @brief The state of an adapter slot.
enum class SlotState : std::uint8_t {
    Free,
    Loading, ///< A load command was issued and has not ended.
    Resident,
    Unknown, ///< The outcome of a load is not known until the next load report.
};

/// @brief One adapter slot of an engine.
struct Slot
{
    SlotState state = SlotState::Free;
    AdapterRef adapter;
    std::uint64_t hash = 0; ///< hashOf(adapter)
    /// While loading: the adapter that is unloaded for the new one.
    std::optional<AdapterRef> evictionCandidate;
    LoadPermit permit; ///< While loading.
    Millis changedAt; ///< Load reports that were taken earlier do not apply to this slot.
    Millis lastUsed;
    std::uint32_t running = 0; ///< Requests that use this adapter, in the last load report.

    bool operator==(const Slot &) const = default;
};

/// @brief A request of a gateway for a grant on a backend server.
struct AdmissionRequest
{
    RequestId request;
    std::string gateway; ///< The gateway that would hold the grant.
    AdapterRef adapter; ///< Empty for a plain service.
    std::uint64_t adapterHash = 0; ///< hashOf(adapter); 0 for a plain service.
    std::int32_t priority = 0;
    CallerClassId callerClass;
    Millis deadline;
    std::uint32_t maxTokens = 0;
    /// No other candidate is left: queue the request instead of redirecting it.
    bool lastChoice = false;
    /// Suspected of crashing backend servers: must run without any other request.
    bool alone = false;
    Fingerprint fingerprint;

    bool operator==(const AdmissionRequest &) const = default;
};

/// @brief A request that waits for a grant.
struct Waiter
{
    std::uint64_t ticket = 0; ///< Identifies the waiter; assigned by the calling controller.
    AdmissionRequest request;
    Millis since;
    bool adapterAbsentOnArrival = false; ///< The adapter was not resident when the request arrived.

    bool operator==(const Waiter &) const = default;
};

/// @brief A grant that was issued and not yet released.
struct Grant
{
    GrantId id;
    RequestId request;
    std::string gateway;
    AdapterRef adapter;
    std::uint64_t adapterHash = 0;
    bool alone = false;
    Millis since;

    bool operator==(const Grant &) const = default;
};

/// @brief The retry backoff of an adapter that failed to load.
struct LoadBackoff
{
    std::uint32_t failures = 0;
    Millis until; ///< No load is retried before this time.

    bool operator==(const LoadBackoff &) const = default;
};

/// @brief An adapter to load ahead of demand, while the load budget has idle tokens.
struct Preload
{
    AdapterRef adapter;
    std::uint64_t hash = 0; ///< hashOf(adapter)
    Millis until; ///< The preload is dropped at this time.
    /// Declared by a route, ahead of its switch: has priority over measured demand.
    bool declared = false;

    bool operator==(const Preload &) const = default;
};

/// @brief The state of a backend server at its owner. Modified only by the functions of
/// grant_scheduler.h.
struct ServerState
{
    ServerLimits limits;
    std::vector<Slot> slots;
    std::vector<Grant> grants;
    std::unordered_map<std::uint64_t, std::uint32_t> pins; ///< Number of grants by adapter hash.
    std::vector<Waiter> waiters; ///< In order of arrival.
    std::unordered_map<std::uint64_t, LoadBackoff> backoffs;
    std::vector<Preload> preloads;
    DemandTable demand;
    bool reported = false; ///< A load report has arrived; nothing is loaded before the first.
    std::uint64_t nextGrant = 1;
    Millis loadTime{250}; ///< Moving average over the loads of this server.
    Millis tokenWait; ///< Moving average of the time that loads wait for a load token.
    Millis tokenWaitAt; ///< When `tokenWait` was updated; it decays from then on.
    Millis serviceTime{1'000}; ///< Moving average of the lifetime of grants.
    Millis arrivalGap{1'000}; ///< Moving average of the time between two requests for this server.
    Millis lastArrival;
    /// Moving average of the share of requests that arrive while others run or wait.
    std::int32_t overlapPercent = 0;
    std::string engineStart; ///< Identifies one run of the engine.
    /// Weighted service received, by class, for fair sharing.
    std::unordered_map<CallerClassId, double> classService;
};

} // namespace balsamport

#endif
