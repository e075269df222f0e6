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

/// @brief What a backend server can do, from the configuration.
struct ServerLimits
{
    std::uint32_t slots = 8;
    std::uint32_t batchWidth = 16;
    bool mixesAdapters = true;
    bool adapterless = false; ///< A plain service: requests name no adapter.
    bool packed = false; ///< Asked first for what is not resident: keeps the hottest adapters.

    bool operator==(const ServerLimits &) const = default;
};

/// @brief What an adapter slot holds.
enum class SlotState : std::uint8_t {
    Free,
    Loading, ///< A load was ordered and has not ended.
    Resident,
    Unknown, ///< A load's outcome is not known; the next load report tells.
};

/// @brief One adapter slot of an engine.
struct Slot
{
    SlotState state = SlotState::Free;
    AdapterRef adapter;
    std::uint64_t hash = 0; ///< hashOf(adapter)
    std::optional<AdapterRef> evictionCandidate; ///< While loading: what was unloaded for it.
    LoadPermit permit; ///< While loading.
    Millis changedAt; ///< Reports taken earlier say nothing about this slot.
    Millis lastUsed;
    std::uint32_t running = 0; ///< Requests on this adapter in the last load report.

    bool operator==(const Slot &) const = default;
};

/// @brief A gateway's request for a place on a backend server.
struct AdmissionRequest
{
    RequestId request;
    std::string gateway; ///< Who holds the grant.
    AdapterRef adapter; ///< Empty for a plain service.
    std::uint64_t adapterHash = 0; ///< hashOf(adapter); 0 for a plain service.
    std::int32_t priority = 0;
    CallerClassId callerClass;
    Millis deadline;
    std::uint32_t maxTokens = 0;
    bool lastChoice = false; ///< No other backend server is left: queue rather than redirect.
    bool alone = false; ///< Suspected of crashing backend servers: runs with no other request.
    Fingerprint fingerprint;

    bool operator==(const AdmissionRequest &) const = default;
};

/// @brief A request that waits for a place.
struct Waiter
{
    std::uint64_t ticket = 0; ///< Names the waiter towards the caller of the policy.
    AdmissionRequest request;
    Millis since;
    bool adapterAbsentOnArrival = false; ///< Its adapter was not resident when it came.

    bool operator==(const Waiter &) const = default;
};

/// @brief A place that was given and not yet released.
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

/// @brief When loading an adapter here may be tried again after a failure.
struct LoadBackoff
{
    std::uint32_t failures = 0;
    Millis until;

    bool operator==(const LoadBackoff &) const = default;
};

/// @brief An adapter to load ahead of need, while the budget for loads has room to spare.
struct Preload
{
    AdapterRef adapter;
    std::uint64_t hash = 0; ///< hashOf(adapter)
    Millis until; ///< Forgotten after.
    bool declared = false; ///< By a route, ahead of its switch: goes before measured demand.

    bool operator==(const Preload &) const = default;
};

/// @brief Everything the owner of a backend server knows of it. Changed only by the functions of
/// grant_scheduler.h.
struct ServerState
{
    ServerLimits limits;
    std::vector<Slot> slots;
    std::vector<Grant> grants;
    std::unordered_map<std::uint64_t, std::uint32_t> pins; ///< Grants for each adapter hash.
    std::vector<Waiter> waiters; ///< In order of arrival.
    std::unordered_map<std::uint64_t, LoadBackoff> backoffs;
    std::vector<Preload> preloads;
    DemandTable demand;
    bool reported = false; ///< A load report has come; before it nothing is loaded.
    std::uint64_t nextGrant = 1;
    Millis loadTime{250}; ///< Learnt from the loads of this server.
    Millis tokenWait; ///< Learnt: how long loads wait for a token of the weight store.
    Millis tokenWaitAt; ///< When it was learnt; it fades.
    Millis serviceTime{1'000}; ///< Learnt from the grants of this server.
    Millis arrivalGap{1'000}; ///< Learnt: time between two requests for this server.
    Millis lastArrival;
    std::int32_t overlapPercent = 0; ///< Learnt: requests that found others here.
    std::string engineStart; ///< Tells one run of the engine from another.
    std::unordered_map<CallerClassId, double> classService; ///< For fair shares, by class.
};

} // namespace balsamport

#endif
