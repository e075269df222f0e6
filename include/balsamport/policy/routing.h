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

/// @brief The distance of a backend server from a gateway.
enum class NodeDistance : std::uint8_t {
    DataCentre, ///< In the same data centre.
    Region, ///< In another data centre of the same region.
    AcrossLink, ///< In another region, across the link between regions.
};

/// @brief A backend server in the routing table.
struct RouteNode
{
    BackendServerId id;
    std::string address; ///< IP:PORT
    std::uint64_t hash = 0; ///< hash64 of the id
    NodeDistance distance = NodeDistance::DataCentre;
    /// In a region with a weight store, so that a load does not cross the link.
    bool inStoreRegion = false;
    std::uint32_t batchWidth = 16;

    bool operator==(const RouteNode &) const = default;
};

/// @brief Some nodes of a group. Their hashes are stored contiguously for fast rendezvous hashing.
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
    std::size_t storeRegionSize = 0; ///< Number of nodes in a region with a weight store.
    std::size_t ownRegionSize = 0; ///< Number of nodes in the region of the gateway.
    /// First candidates for adapters that are not resident; see packedServers().
    std::vector<std::uint32_t> packed;

    bool operator==(const RouteGroup &) const = default;
};

/// @brief All routing targets, as seen from one data centre. Immutable once built.
struct RoutingTable
{
    DataCentreId dataCentre;
    std::unordered_map<BaseModelId, RouteGroup> engines;
    std::unordered_map<ServiceId, RouteGroup> services;

    bool operator==(const RoutingTable &) const = default;
};

/// @brief The load of a backend server as one gateway knows it; not shared.
struct NodeLoad
{
    std::uint32_t inFlight = 0; ///< Requests of this gateway.
    Millis expectedWait; ///< As last reported by the owner.
    Millis waitReportedAt;
    /// No request before this time, because the owner did not reply or the server failed.
    Millis avoidUntil;

    bool operator==(const NodeLoad &) const = default;
};

/// Largest number of replicas of one adapter that a gateway tracks.
constexpr std::size_t maxReplicas = 8;
/// Largest number of candidates of one decision.
constexpr std::size_t maxCandidates = 4;

/// @brief The nodes on which an adapter was last granted, and the number of replicas it needs.
struct AdapterReplicas
{
    std::array<std::uint32_t, maxReplicas> nodes{}; ///< Indices into RouteGroup::nodes.
    std::uint8_t count = 0; ///< Entries of `nodes` in use.
    std::uint8_t wantedReplicas = 1;
    Millis usedAt;
    Millis shortWaitsSince; ///< No wait has exceeded RouteCosts::addReplicaWait since.
    DecayedCount demand;

    bool operator==(const AdapterReplicas &) const = default;
};

/// @brief The state of one gateway for routing to one group. Bounded: idle adapters are removed.
struct RoutingState
{
    std::vector<NodeLoad> loads; ///< Same order as RouteGroup::nodes.
    std::uint64_t inFlight = 0; ///< Sum over `loads`.
    std::unordered_map<std::uint64_t, AdapterReplicas> replicas; ///< By adapter hash.
    PrefixIndex prefixes;
    std::size_t capacity = 65'536;
    Millis sweptAt;
};

/// @brief The costs and thresholds of routing decisions.
struct RouteCosts
{
    Millis dataCentreRoundTrip{1}; ///< Round trip between data centres of a region.
    Millis linkRoundTrip{60}; ///< Round trip between regions.
    Millis loadTime{250}; ///< Time that a load of an adapter takes.
    /// Time after which the replicas of an unused adapter are removed.
    Millis replicaLifetime{120'000};
    Millis addReplicaWait{100}; ///< A longer wait for a resident adapter adds one replica.
    /// Time without longer waits after which one replica is dropped.
    Millis dropReplicaAfter{30'000};
    Millis cachedPrefixGain{20}; ///< Reduction of the time to first token by one cached prefix.
    /// Decayed number of requests for an adapter that justifies a load across the link, so that the
    /// region of the gateway has a copy.
    double copyDemandThreshold = 3;
    Millis demandHalfLife{60'000};
    /// Batch fill has more weight than load stalls: packed servers are the first candidates.
    bool packBatches = false;
    bool poolRegions = false; ///< Preferred engines are in both regions; see poolsRegions().

    bool operator==(const RouteCosts &) const = default;
};

/// @brief One backend server to request a grant from.
struct Candidate
{
    std::uint32_t node = 0; ///< Index into RouteGroup::nodes.
    NodeDistance distance = NodeDistance::DataCentre;
    bool assumedResident = false;

    bool operator==(const Candidate &) const = default;
};

/// @brief The candidates of one request, in order of preference.
struct Candidates
{
    std::array<Candidate, maxCandidates> list{};
    std::size_t count = 0;

    bool operator==(const Candidates &) const = default;
};

/// @brief A server that redirected the request, with its estimated wait.
struct RedirectOffer
{
    std::uint32_t node = 0;
    Millis wait;

    bool operator==(const RedirectOffer &) const = default;
};

/// @brief The progress of a request through its candidates.
struct CandidateProgress
{
    Candidates candidates;
    std::size_t next = 0;
    std::uint32_t queried = 0; ///< Number of candidates that were queried.
    std::optional<RedirectOffer> shortestWait; ///< Of the servers that redirected the request.

    bool operator==(const CandidateProgress &) const = default;
};

/// @brief The next candidate to query, and whether the request should queue there rather than be
/// redirected.
struct CandidateQuery
{
    Candidate candidate;
    bool lastChoice = false;

    bool operator==(const CandidateQuery &) const = default;
};

/// @brief Returns the next candidate; after the last, the redirecting server with the shortest
/// wait.
/// @return std::nullopt if all have been queried
[[nodiscard]] std::optional<CandidateQuery> nextCandidate(CandidateProgress &progress,
                                                          const RouteGroup &group) noexcept;

/// @brief Records that a server redirected the request.
void recordRedirect(CandidateProgress &progress, std::uint32_t node, Millis wait) noexcept;

/// @brief Returns the engines of a base model that are the first candidates for adapters that are
/// not known to be resident, if batch fill has more weight than load stalls. While loads are cheap,
/// these engines accept as many requests as fit, so that their batches fill; the rest is spread
/// over the other engines by rendezvous hashing.
/// @return in order of preference; the same on every VM
[[nodiscard]] std::vector<BackendServerId> packedServers(const Snapshot &snapshot,
                                                         const BaseModelId &base);

/// @brief Builds the routing table of a data centre.
/// @complexity O(n log n) for n backend servers
[[nodiscard]] RoutingTable buildRoutingTable(const Snapshot &snapshot,
                                             const DataCentreId &dataCentre);

/// @return whether batch fill has more weight than load stalls
[[nodiscard]] constexpr bool packsBatches(std::uint32_t weightPercent) noexcept
{
    return weightPercent > 50;
}

/// @brief Builds the node lists that chooseCandidates() needs. Must be called after a change of the
/// nodes.
void indexNodes(RouteGroup &group);

/// @brief Returns whether the slots of all regions may form one pool: with the store at its full
/// rate, the share of the loads for servers outside the region of the store fits into the link
/// budget.
[[nodiscard]] bool poolsRegions(const RouteGroup &group, const LimitsConfig &limits,
                                std::uint64_t adapterBytes) noexcept;

/// @brief Chooses the backend servers to request a grant for an adapter from.
///
/// Replicas that are assumed resident come first, the cheapest first: by distance, then by load.
/// Then the preferred engines of the adapter follow, by rendezvous hashing with bounded load. The
/// preferred engines of a cold adapter are in the region of the weight store, since any other load
/// transfers a whole adapter across the link; once its demand justifies the copy, preferred engines
/// in the region of the gateway come first.
/// @param adapterHash hashOf() the adapter version
/// @param prefixes hashes of the prompt's prefixes, the shortest first: a replica that is assumed
/// to have them in its cache comes first if that saves more than its queue and distance cost
/// @complexity O(n) for n nodes of the group
[[nodiscard]] Candidates chooseCandidates(const RouteGroup &group, const RoutingState &state,
                                          const RouteCosts &costs, std::uint64_t adapterHash,
                                          Millis now,
                                          const std::vector<std::uint64_t> &prefixes = {}) noexcept;

/// @brief Returns the preferred engine of an adapter according to the configuration alone, without
/// any gateway's routing state; preloads go there.
/// @return std::nullopt if no engine runs its base model
/// @complexity O(n log n) for n backend servers
[[nodiscard]] std::optional<BackendServerId> preferredEngineOf(const Snapshot &snapshot,
                                                               const AdapterRef &adapter);

/// @brief Chooses replicas of a plain service: those of the own region first, and the least loaded
/// of them first.
/// @complexity O(n) for n nodes of the group
[[nodiscard]] Candidates chooseServiceNodes(const RouteGroup &group, const RoutingState &state,
                                            Millis now) noexcept;

/// @brief Records a request for an adapter. Must be called before its candidates are chosen.
void recordRequest(RoutingState &state, const RouteCosts &costs, std::uint64_t adapterHash,
                   Millis now);

/// @brief Records a grant and the wait for it.
/// @param queueWait wait for a position in the batch, without the wait for loads
void recordGrant(RoutingState &state, const RouteCosts &costs, std::uint64_t adapterHash,
                 std::uint32_t node, Millis queueWait, Millis now);

/// @brief Records that a request was dispatched to a node.
void recordRequestStart(RoutingState &state, std::uint32_t node) noexcept;

/// @brief Records that a request on a node has ended.
void recordRequestEnd(RoutingState &state, std::uint32_t node) noexcept;

/// @brief Records that an adapter is not resident on a backend server.
void recordNotResident(RoutingState &state, std::uint64_t adapterHash, std::uint32_t node) noexcept;

/// @brief Records the expected wait that the owner of a backend server reported.
void recordExpectedWait(RoutingState &state, std::uint32_t node, Millis wait, Millis now) noexcept;

/// @brief Transfers the routing state to a new list of nodes.
/// @complexity O(n log n + a) for n nodes and a adapters
[[nodiscard]] RoutingState remapRoutingState(const RouteGroup &before, const RoutingState &state,
                                             const RouteGroup &after);

/// @brief Removes idle adapters, at most once per sweep interval unless the state is full; cheap to
/// call often.
void sweepIdleAdapters(RoutingState &state, const RouteCosts &costs, Millis now);

} // namespace balsamport

#endif
