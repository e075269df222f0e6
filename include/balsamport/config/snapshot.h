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

/// @brief A data centre.
struct DataCentreConfig
{
    DataCentreId id;
    RegionId region;
    bool hasWeightStore = false; ///< The weight store is in the data centre's region.

    bool operator==(const DataCentreConfig &) const = default;
};

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
    std::uint32_t adapterSlots = 8; ///< Maximum number of loaded adapters. Engines only.
    std::uint32_t batchWidth = 16; ///< Maximum number of concurrent requests.
    bool mixesAdapters = true; ///< A batch may contain requests for several adapters.
    bool checksFencing = false; ///< Refuses a command with an outdated fencing number.
    bool draining = false; ///< Receives no new requests or loads.

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

/// @brief Adapters whose names are a prefix followed by a decimal number from `first` to `last`.
struct AdapterRangeConfig
{
    std::string prefix;
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    AdapterConfig common; ///< Configuration of each adapter, with an empty id.

    bool operator==(const AdapterRangeConfig &) const = default;
};

/// @brief An adapter version that an alias refers to, and its share of the requests.
struct AliasTarget
{
    AdapterRef adapter;
    std::uint32_t share = 1; ///< Relative to the shares of the other targets.

    bool operator==(const AliasTarget &) const = default;
};

/// @brief An alias that callers specify as the model name.
struct RouteConfig
{
    std::string alias;
    std::vector<AliasTarget> targets;
    std::vector<AdapterRef> preload; ///< Versions to load before the targets change.
    std::int32_t priority = 0; ///< Requests of higher priority are served first.

    bool operator==(const RouteConfig &) const = default;
};

/// @brief A plain service, and its calls that must run at most once.
struct ServiceConfig
{
    ServiceId id;
    std::vector<std::string> nonRepeatable; ///< "METHOD /path-prefix" or "METHOD".
    std::int32_t priority = 0; ///< Requests of higher priority are served first.
    Millis timeout{10'000}; ///< Maximum wait for a response.

    bool operator==(const ServiceConfig &) const = default;
};

/// @brief A class of callers and its fair share under overload.
struct CallerClassConfig
{
    CallerClassId id;
    std::uint32_t weight = 1; ///< Share relative to the other classes.
    std::int32_t priority = 0; ///< Requests of higher priority are served first.
    std::uint32_t queueLimit = 256; ///< Waiting requests per backend server.

    bool operator==(const CallerClassConfig &) const = default;
};

/// @brief A caller, identified by the SHA-256 of its API key.
struct CallerConfig
{
    CallerId id;
    std::string keySha256; ///< 64 lower-case hexadecimal digits.
    CallerClassId callerClass;

    bool operator==(const CallerConfig &) const = default;
};

/// @brief Limits of the whole fleet.
struct LimitsConfig
{
    std::uint64_t bodyBytes = 1'048'576; ///< Maximum size of a request body.
    std::uint32_t streamBufferBytes = 65'536; ///< Maximum buffer of each slow caller's stream.
    std::uint32_t storeLoadsPerThousandSeconds = 2'400; ///< 2.4 loads a second.
    std::uint32_t storeInFlight = 8; ///< Maximum number of concurrent loads from the weight store.
    std::uint64_t linkBytesPerSecond = 1'000'000; ///< Fleet's budget between regions.
    std::uint32_t weightPercent = 50; ///< 0: only load stalls count; 100: only batch fill counts.
    Millis gatherTime{20}; ///< Maximum wait to fill a batch.
    Millis requestTimeout{60'000}; ///< Maximum duration of a request.
    Millis handoverWait{3'000}; ///< Delay before a new owner sends commands.
    Millis viewLifetime{2'000}; ///< Age after which an unconfirmed view is stale.
    Millis retryHorizon{30'000}; ///< Time during which a caller may repeat a key of unknown age.
    Millis clockSkew{2'000}; ///< Maximum tolerated difference between wall clocks.
    std::uint32_t claimTableSize = 1'000'000; ///< Maximum number of keys that a witness stores.
    std::uint32_t retryPercent = 10; ///< Retry budget in percent of recent successes.
    Millis quarantineTime{600'000}; ///< Duration for which a quarantined request is refused.

    bool operator==(const LimitsConfig &) const = default;
};

/// @brief An accepted revision of the configuration. Immutable after construction.
///
/// Maps are ordered, so that every VM iterates over them in the same order.
struct Snapshot
{
    ConfigRevision revision;
    std::uint64_t digest = 0; ///< digestOf() all files.
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

    /// @brief Finds an adapter that is declared in its own section or in a range.
    /// @return the adapter with its id; nothing if it is not declared
    /// @complexity O(log n + r) for n adapters and r ranges
    [[nodiscard]] std::optional<AdapterConfig> findAdapter(const AdapterId &id) const;

    /// @return the region of a data centre; empty if the data centre is not declared
    [[nodiscard]] RegionId regionOf(const DataCentreId &dataCentre) const;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

} // namespace balsamport

#endif
