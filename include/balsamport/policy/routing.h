#ifndef BALSAMPORT_POLICY_ROUTING_H
#define BALSAMPORT_POLICY_ROUTING_H

#include <balsamport/config/snapshot.h>
#include <balsamport/core/clock.h>
#include <balsamport/core/ids.h>
#include <balsamport/policy/demand.h>
#include <balsamport/policy/prefix_index.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace balsamport {

/// @brief How far a backend server is from a gateway.
enum class NodeDistance : std::uint8_t {
    DataCentre,
    Region,
    AcrossLink,
};

/// @brief A backend server as routing sees it.
struct RouteNode
{
    BackendServerId id;
    std::string address; ///< IP:PORT
    std::uint64_t hash = 0; ///< hash64 of the id
    NodeDistance distance = NodeDistance::DataCentre;
    bool inStoreRegion = false; ///< A load does not cross the link.
    std::uint32_t batchWidth = 16;

    bool operator==(const RouteNode &) const = default;
};

/// @brief Some nodes of a group, with their hashes close together for the choice of homes.
struct NodeHashList
{
    std::vector<std::uint64_t> hashes;
    std::vector<std::uint32_t> nodes; ///< Indices into RouteGroup::nodes.

    bool operator==(const NodeHashList &) const = default;
};

/// @brief The backend servers of one base model or one plain service, ordered by id.
struct RouteGroup
{
    std::vector<RouteNode> nodes;
    NodeHashList all;
    NodeHashList storeRegion;
    NodeHashList ownRegion; ///< Of the gateway.
    std::size_t storeRegionSize = 0; ///< How many are near the weight store.
    std::size_t ownRegionSize = 0; ///< How many are in the gateway's region.
    std::vector<std::uint32_t>
            packed; ///< Asked first for what is not resident; see packedServers().

    bool operator==(const RouteGroup &) const = default;
};

/// @brief All that can be routed to, as seen from one data centre. Immutable once built.
struct RoutingTable
{
    DataCentreId dataCentre;
    std::unordered_map<BaseModelId, RouteGroup> engines;
    std::unordered_map<ServiceId, RouteGroup> services;

    bool operator==(const RoutingTable &) const = default;
};

/// @brief What a gateway knows of a backend server's load; its own view, not shared.
struct NodeLoad
{
    std::uint32_t inFlight = 0; ///< This gateway's own requests.
    Millis expectedWait; ///< As the owner last said.
    Millis waitReportedAt;
    Millis avoidUntil; ///< Its owner did not answer, or it failed.

    bool operator==(const NodeLoad &) const = default;
};

/// Most replicas of one adapter that a gateway remembers.
constexpr std::size_t maxReplicas = 8;
/// Most candidates that one decision gives.
constexpr std::size_t maxCandidates = 4;

/// @brief Where an adapter was last granted, and how many replicas it is spread over.
struct AdapterReplicas
{
    std::array<std::uint32_t, maxReplicas> nodes{}; ///< Indices into RouteGroup::nodes.
    std::uint8_t count = 0; ///< Entries of `nodes` in use.
    std::uint8_t wantedReplicas = 1;
    Millis usedAt;
    Millis shortWaitsSince; ///< Waits have been short since then.
    DecayedCount demand;

    bool operator==(const AdapterReplicas &) const = default;
};

/// @brief What one gateway has learnt about one group. Bounded: places that are idle are dropped.
struct RoutingState
{
    std::vector<NodeLoad> loads; ///< Same order as RouteGroup::nodes.
    std::uint64_t inFlight = 0; ///< Sum over `loads`.
    std::unordered_map<std::uint64_t, AdapterReplicas> replicas; ///< By adapter hash.
    PrefixIndex prefixes;
    std::size_t capacity = 65'536;
    Millis sweptAt;
};

/// @brief What routing weighs.
struct RouteCosts
{
    Millis dataCentreRoundTrip{1}; ///< Round trip between data centres of a region.
    Millis linkRoundTrip{60}; ///< Round trip between regions.
    Millis loadTime{250};
    Millis replicaLifetime{120'000}; ///< How long a place is remembered unused.
    Millis addReplicaWait{100}; ///< A longer wait for a resident adapter asks for one replica more.
    Millis dropReplicaAfter{30'000}; ///< Calm time after which a replica is given up.
    Millis cachedPrefixGain{20}; ///< Time to the first token that one cached prefix saves.
    double copyDemandThreshold = 3; ///< Decayed requests that pay for a copy across the link.
    Millis demandHalfLife{60'000};
    bool packBatches = false; ///< Batch fill weighs more than load stalls: packed servers go first.
    bool poolRegions = false; ///< Homes lie in both regions; see poolsRegions().

    bool operator==(const RouteCosts &) const = default;
};

/// @brief One place to ask, in order of preference.
struct Candidate
{
    std::uint32_t node = 0; ///< Index into RouteGroup::nodes.
    NodeDistance distance = NodeDistance::DataCentre;
    bool assumedResident = false;

    bool operator==(const Candidate &) const = default;
};

/// @brief The candidates of one request.
struct Candidates
{
    std::array<Candidate, maxCandidates> list{};
    std::size_t count = 0;

    bool operator==(const Candidates &) const = default;
};

/// @brief A server that said what waiting there would cost.
struct RedirectOffer
{
    std::uint32_t node = 0;
    Millis wait;

    bool operator==(const RedirectOffer &) const = default;
};

/// @brief How far a request has come with its candidates.
struct CandidateProgress
{
    Candidates candidates;
    std::size_t next = 0;
    std::uint32_t asked = 0;
    std::optional<RedirectOffer> cheapest;

    bool operator==(const CandidateProgress &) const = default;
};

/// @brief Whom to ask next, and whether to queue there rather than be sent on.
struct CandidateQuery
{
    Candidate candidate;
    bool lastChoice = false;

    bool operator==(const CandidateQuery &) const = default;
};

/// @brief Gives the next candidate; after the last, the one whose wait was the shortest.
/// @return nothing where all have been asked
[[nodiscard]] std::optional<CandidateQuery> nextCandidate(CandidateProgress &plan,
                                                          const RouteGroup &group) noexcept;

/// @brief Records that a server sent the request on.
void recordRedirect(CandidateProgress &plan, std::uint32_t node, Millis wait) noexcept;

/// @brief Names the engines of a base model that are asked first for adapters that are not known to
/// be resident, where batch fill weighs more than load stalls. While loads are cheap they take as
/// many requests as fit, so that batches fill; the rest lies on the other engines by rendezvous.
/// @return in the order of asking; the same on every VM
[[nodiscard]] std::vector<BackendServerId> packedServers(const Snapshot &snapshot,
                                                         const BaseModelId &base);

/// @brief Builds the routing table of a data centre.
/// @complexity O(n log n) for n backend servers
[[nodiscard]] RoutingTable buildRoutingTable(const Snapshot &snapshot,
                                             const DataCentreId &dataCentre);

/// @return whether batch fill weighs more than load stalls
[[nodiscard]] constexpr bool packsBatches(std::uint32_t weightPercent) noexcept
{
    return weightPercent > 50;
}

/// @brief Adds what chooseCandidates() needs beside the nodes. Call it after changing them.
void indexNodes(RouteGroup &group);

/// @brief Tells whether the regions' slots may be one pool: all loads that the store allows, as far
/// as they go to servers of the other region, fit into the link's budget.
[[nodiscard]] bool poolsRegions(const RouteGroup &group, const LimitsConfig &limits,
                                std::uint64_t adapterBytes) noexcept;

/// @brief Chooses where to ask for a place on an adapter.
///
/// Replicas that are believed resident go first, the cheapest first: distance, then load. Then the
/// adapter's homes by rendezvous with bounded load. A cold adapter's homes are near the weight
/// store, since a load elsewhere carries a whole adapter over the link; once its demand pays for
/// the copy, homes in the gateway's own region go first.
/// @param adapterHash hashOf the adapter version
/// @param prefixes hashes of the prompt's prefixes, the shortest first: a replica that is believed
/// to hold them goes first where that saves more than its queue and distance cost
/// @complexity O(n) for n nodes of the group
[[nodiscard]] Candidates chooseCandidates(const RouteGroup &group, const RoutingState &memory,
                                          const RouteCosts &costs, std::uint64_t adapterHash,
                                          Millis now,
                                          const std::vector<std::uint64_t> &prefixes = {}) noexcept;

/// @brief Gives the first home of an adapter, as a gateway sees it that knows no more than the
/// configuration: where a preload belongs.
/// @return nothing where no engine runs its base model
/// @complexity O(n log n) for n backend servers
[[nodiscard]] std::optional<BackendServerId> preferredEngineOf(const Snapshot &snapshot,
                                                               const AdapterRef &adapter);

/// @brief Chooses a replica of a plain service: near ones first, the least loaded first.
/// @complexity O(n) for n nodes of the group
[[nodiscard]] Candidates chooseServiceNodes(const RouteGroup &group, const RoutingState &memory,
                                            Millis now) noexcept;

/// @brief Counts a request for an adapter, before its candidates are chosen.
void recordRequest(RoutingState &memory, const RouteCosts &costs, std::uint64_t adapterHash,
                   Millis now);

/// @brief Records that a place was given, and after what wait.
/// @param queueWait wait for a place in the batch, without loads
void recordGrant(RoutingState &memory, const RouteCosts &costs, std::uint64_t adapterHash,
                 std::uint32_t node, Millis queueWait, Millis now);

/// @brief Counts a request that goes to a node.
void recordRequestStart(RoutingState &memory, std::uint32_t node) noexcept;

/// @brief Counts the end of a request on a node.
void recordRequestEnd(RoutingState &memory, std::uint32_t node) noexcept;

/// @brief Records that a backend server does not hold an adapter.
void recordNotResident(RoutingState &memory, std::uint64_t adapterHash,
                       std::uint32_t node) noexcept;

/// @brief Records what the owner said a wait would be.
void recordExpectedWait(RoutingState &memory, std::uint32_t node, Millis wait, Millis now) noexcept;

/// @brief Carries what is known over to a new list of nodes.
/// @complexity O(n log n + p) for n nodes and p places
[[nodiscard]] RoutingState remapRoutingState(const RouteGroup &before, const RoutingState &memory,
                                             const RouteGroup &after);

/// @brief Drops what is known of idle adapters; cheap to call often.
void sweepIdleAdapters(RoutingState &memory, const RouteCosts &costs, Millis now);

} // namespace balsamport

#endif
