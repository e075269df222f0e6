#ifndef BALSAMPORT_CONFIG_SNAPSHOT_H
#define BALSAMPORT_CONFIG_SNAPSHOT_H

#include <balsamport/core/clock.h>
#include <balsamport/core/ids.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace balsamport {

/// @brief A data centre; `hasWeightStore` marks the region that the weight store stands in.
struct DataCentreConfig
{
    DataCentreId id;
    RegionId region;
    bool hasWeightStore = false;

    bool operator==(const DataCentreConfig &) const = default;
};

/// @brief What a backend server is.
enum class BackendServerKind : std::uint8_t {
    Engine,
    Service,
};

/// @brief A model engine or a plain service.
struct BackendServerConfig
{
    BackendServerId id;
    BackendServerKind kind = BackendServerKind::Engine;
    std::string address; ///< IP:PORT
    DataCentreId dataCentre;
    BaseModelId base; ///< Engines only.
    ServiceId service; ///< Plain services only.
    std::uint32_t adapterSlots = 8; ///< Adapters that fit at once. Engines only.
    std::uint32_t batchWidth = 16; ///< Requests that run at once.
    bool mixesAdapters = true; ///< One batch may hold several adapters.
    bool checksFencing = false; ///< Refuses an order with an old fencing number.
    bool draining = false; ///< Gets no new work.

    bool operator==(const BackendServerConfig &) const = default;
};

/// @brief An adapter and its versions.
struct AdapterConfig
{
    AdapterId id;
    BaseModelId base;
    std::uint64_t bytes = 0; ///< Size of one version's weights, in bytes.
    std::vector<AdapterVersion> versions; ///< Ascending.

    bool operator==(const AdapterConfig &) const = default;
};

/// @brief Adapters with regular names, PREFIX followed by a number from `first` to `last`.
struct AdapterRangeConfig
{
    std::string prefix;
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    AdapterConfig common; ///< `id` is empty.

    bool operator==(const AdapterRangeConfig &) const = default;
};

/// @brief One target of a route and its share of the requests.
struct AliasTarget
{
    AdapterRef adapter;
    std::uint32_t share = 1; ///< Relative to the route's other targets.

    bool operator==(const AliasTarget &) const = default;
};

/// @brief An alias that callers use as a model's name.
struct RouteConfig
{
    std::string alias;
    std::vector<AliasTarget> targets;
    std::vector<AdapterRef> preload; ///< Versions to load ahead of a switch.
    std::int32_t priority = 0; ///< Higher goes first.

    bool operator==(const RouteConfig &) const = default;
};

/// @brief A plain service and which of its calls may not be repeated.
struct ServiceConfig
{
    ServiceId id;
    std::vector<std::string> nonRepeatable; ///< "METHOD /path-prefix" or "METHOD".
    std::int32_t priority = 0;
    Millis timeout{10'000};

    bool operator==(const ServiceConfig &) const = default;
};

/// @brief A class of callers, with its fair share under overload.
struct CallerClassConfig
{
    CallerClassId id;
    std::uint32_t weight = 1;
    std::int32_t priority = 0;
    std::uint32_t queueLimit = 256; ///< Requests that may wait on one backend server.

    bool operator==(const CallerClassConfig &) const = default;
};

/// @brief A caller, known by the SHA-256 of its key.
struct CallerConfig
{
    CallerId id;
    std::string keySha256; ///< 64 hexadecimal digits, lower case.
    CallerClassId callerClass;

    bool operator==(const CallerConfig &) const = default;
};

/// @brief Limits that hold for the whole fleet.
struct LimitsConfig
{
    std::uint64_t bodyBytes = 1'048'576;
    std::uint32_t streamBufferBytes = 65'536; ///< For each slow caller.
    std::uint32_t storeLoadsPerThousandSeconds = 2'400; ///< 2.4 loads a second.
    std::uint32_t storeInFlight = 8;
    std::uint64_t linkBytesPerSecond = 1'000'000; ///< Cross-region budget of the fleet.
    std::uint32_t weightPercent = 50; ///< 0: only load stalls count; 100: only batch fill counts.
    Millis gatherTime{20}; ///< Longest wait to fill a batch.
    Millis requestTimeout{60'000};
    Millis handoverWait{3'000};
    Millis viewLifetime{2'000}; ///< An unconfirmed view is stale after this time.
    Millis retryHorizon{30'000}; ///< How long a caller may repeat a key of unknown age.
    Millis clockSkew{2'000}; ///< Largest difference of wall clocks that is allowed for.
    std::uint32_t claimTableSize = 1'000'000; ///< Keys for each witness.
    std::uint32_t retryPercent = 10; ///< Retries allowed, as a share of recent successes.
    Millis quarantineTime{600'000};

    bool operator==(const LimitsConfig &) const = default;
};

/// @brief One accepted revision of the configuration. Immutable once it is shared.
///
/// Maps are ordered by id, so that every VM walks them alike.
struct Snapshot
{
    ConfigRevision revision;
    std::uint64_t digest = 0; ///< Hash of the names and contents of all files.
    std::map<DataCentreId, DataCentreConfig> dataCentres;
    std::map<BackendServerId, BackendServerConfig> backendServers;
    std::map<AdapterId, AdapterConfig> adapters;
    std::map<std::string, AdapterRangeConfig> adapterRanges; ///< By prefix.
    std::map<std::string, RouteConfig> routes; ///< By alias.
    std::map<ServiceId, ServiceConfig> services;
    std::map<CallerClassId, CallerClassConfig> callerClasses;
    std::map<CallerId, CallerConfig> callers;
    LimitsConfig limits;

    bool operator==(const Snapshot &) const = default;

    /// @brief Finds an adapter by its own section or by a range.
    /// @return nothing where it is not declared; the id is filled in
    /// @complexity O(log n + r) for n adapters and r ranges
    [[nodiscard]] std::optional<AdapterConfig> findAdapter(const AdapterId &id) const;

    /// @return the region of a data centre; empty where it is not declared
    [[nodiscard]] RegionId regionOf(const DataCentreId &dataCentre) const;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

} // namespace balsamport

#endif
