#include <balsamport/config/validate.h>

#include "section_reader.h"

#include <algorithm>
#include <functional>
#include <set>

namespace balsamport {

namespace {

/// Builds a snapshot from sections in any order. References between sections are checked by
/// finish(), when all sections have been added.
class SnapshotBuilder
{
public:
    SnapshotBuilder(ConfigRevision revision, std::uint64_t digest)
    {
        this->snapshot.revision = revision;
        this->snapshot.digest = digest;
    }

    void addSection(const MergedSection &section)
    {
        const SectionSchema *schema = findSectionSchema(section.kind);
        if (schema == nullptr) {
            SourceLocation location = section.origin;
            location.key = section.kind;
            this->errors.push_back(Error{ErrorCode::ConfigUnknownSection,
                                         "there is no such kind of section", location});
            return;
        }
        if (schema->hasId == section.id.empty()) {
            this->errors.push_back(
                    Error{ErrorCode::ConfigSyntax,
                          schema->hasId ? "the section needs an id" : "the section has no id",
                          section.origin});
            return;
        }
        SectionReader reader(section, *schema, this->errors);
        this->readSection(section, reader);
    }

    RevisionValidation finish()
    {
        if (this->snapshot.dataCentres.empty()) {
            this->errors.push_back(Error{ErrorCode::ConfigMissingKey,
                                         "at least one [data-centre ID] must be given",
                                         SourceLocation{}});
        }
        this->checkWeightStore();
        for (const auto &check : this->pendingChecks) {
            check();
        }
        RevisionValidation result;
        std::sort(this->errors.begin(), this->errors.end(),
                  [](const Error &a, const Error &b) { return a.location < b.location; });
        result.errors = std::move(this->errors);
        if (result.errors.empty()) {
            result.snapshot = std::make_shared<const Snapshot>(std::move(this->snapshot));
        }
        return result;
    }

    std::vector<Error> errors;

private:
    void readSection(const MergedSection &section, SectionReader &reader)
    {
        if (section.kind == "data-centre") {
            this->readDataCentre(section.id, reader);
        } else if (section.kind == "backend-server") {
            this->readBackendServer(section.id, reader);
        } else if (section.kind == "adapter") {
            this->readAdapter(section.id, reader);
        } else if (section.kind == "adapter-range") {
            this->readAdapterRange(section.id, reader);
        } else if (section.kind == "route") {
            this->readRoute(section.id, reader);
        } else if (section.kind == "service") {
            this->readService(section.id, reader);
        } else if (section.kind == "caller-class") {
            this->readCallerClass(section.id, reader);
        } else if (section.kind == "caller") {
            this->readCaller(section.id, reader);
        } else {
            this->readLimits(reader);
        }
    }

    void readDataCentre(const std::string &id, SectionReader &reader)
    {
        DataCentreConfig config;
        config.id = DataCentreId(id);
        config.region = RegionId(reader.text("region"));
        config.hasWeightStore = reader.boolean("has-weight-store");
        this->snapshot.dataCentres.emplace(config.id, config);
    }

    void readBackendServer(const std::string &id, SectionReader &reader)
    {
        BackendServerConfig config;
        config.id = BackendServerId(id);
        config.kind = reader.text("kind") == "service" ? BackendServerKind::Service
                                                       : BackendServerKind::Engine;
        config.address = reader.text("address");
        config.dataCentre = DataCentreId(reader.text("data-centre"));
        config.base = BaseModelId(reader.text("base"));
        config.service = ServiceId(reader.text("service"));
        config.adapterSlots = static_cast<std::uint32_t>(reader.integer("slots"));
        config.batchWidth = static_cast<std::uint32_t>(reader.integer("batch-width"));
        config.mixesAdapters = reader.boolean("mixes-adapters");
        config.checksFencing = reader.boolean("checks-fencing");
        config.draining = reader.boolean("leaving");
        const bool isEngine = config.kind == BackendServerKind::Engine;
        if (isEngine && config.base.empty()) {
            reader.report(ErrorCode::ConfigMissingKey, "base", "a base model for an engine");
        }
        if (!config.address.empty() && !this->addresses.insert(config.address).second) {
            reader.report(ErrorCode::ConfigDuplicate, "address",
                          "an address that no other backend server has");
        }
        this->checkReference(reader, "data-centre", "a [data-centre ID]", [this, config] {
            return this->snapshot.dataCentres.count(config.dataCentre) != 0;
        });
        if (!isEngine) {
            this->checkReference(reader, "service", "a [service ID]", [this, config] {
                return this->snapshot.services.count(config.service) != 0;
            });
        }
        this->snapshot.backendServers.emplace(config.id, config);
    }

    static AdapterConfig readAdapterCommon(SectionReader &reader)
    {
        AdapterConfig config;
        config.base = BaseModelId(reader.text("base"));
        config.bytes = static_cast<std::uint64_t>(reader.integer("bytes"));
        for (const std::uint64_t version : reader.versions("versions")) {
            config.versions.emplace_back(version);
        }
        return config;
    }

    void readAdapter(const std::string &id, SectionReader &reader)
    {
        AdapterConfig config = readAdapterCommon(reader);
        config.id = AdapterId(id);
        this->snapshot.adapters.emplace(config.id, config);
    }

    void readAdapterRange(const std::string &id, SectionReader &reader)
    {
        AdapterRangeConfig config;
        config.prefix = id;
        config.first = static_cast<std::uint32_t>(reader.integer("first"));
        config.last = static_cast<std::uint32_t>(reader.integer("last"));
        config.common = readAdapterCommon(reader);
        if (config.last < config.first) {
            reader.report(ErrorCode::ConfigInvalidValue, "last", "a number not below `first`");
        }
        this->snapshot.adapterRanges.emplace(config.prefix, config);
    }

    void readRoute(const std::string &id, SectionReader &reader)
    {
        RouteConfig config;
        config.alias = id;
        config.priority = static_cast<std::int32_t>(reader.integer("priority"));
        if (reader.has("target") == reader.has("targets")) {
            reader.report(ErrorCode::ConfigMissingKey, "target",
                          "either `target` or `targets`, not both");
        }
        const std::string_view key = reader.has("target") ? "target" : "targets";
        const std::vector<ParsedTarget> targets = reader.targets(key);
        std::uint64_t totalShares = 0;
        for (const ParsedTarget &target : targets) {
            totalShares += target.share;
        }
        const bool hasExtraTargets = key == "target" && targets.size() > 1;
        if (hasExtraTargets || (!targets.empty() && totalShares == 0)) {
            reader.report(ErrorCode::ConfigInvalidValue, key, "targets with a share above 0");
        }
        this->snapshot.routes.emplace(id, config);
        this->scheduleResolve(reader.locationOf(key), id, targets, false);
        this->scheduleResolve(reader.locationOf("preload"), id, reader.targets("preload"), true);
    }

    /// Schedules the resolution of a route's targets to adapter versions; finish() runs it.
    void scheduleResolve(const SourceLocation &location, const std::string &alias,
                         const std::vector<ParsedTarget> &targets, bool preload)
    {
        this->pendingChecks.emplace_back([this, location, alias, targets, preload] {
            RouteConfig &route = this->snapshot.routes.at(alias);
            for (const ParsedTarget &target : targets) {
                const std::optional<AdapterRef> ref = this->resolve(target, location);
                if (ref && preload) {
                    route.preload.push_back(*ref);
                } else if (ref) {
                    route.targets.push_back(AliasTarget{*ref, target.share});
                }
            }
        });
    }

    std::optional<AdapterRef> resolve(const ParsedTarget &target, const SourceLocation &location)
    {
        const auto adapter = this->snapshot.findAdapter(AdapterId(target.adapter));
        const AdapterVersion version(target.version);
        if (!adapter
            || !std::binary_search(adapter->versions.begin(), adapter->versions.end(), version)) {
            this->errors.push_back(Error{ErrorCode::ConfigUnknownReference,
                                         "\"" + target.adapter + "@"
                                                 + std::to_string(target.version)
                                                 + "\" is not declared; expected an adapter "
                                                   "version of [adapter ID] or [adapter-range ID]",
                                         location});
            return std::nullopt;
        }
        return AdapterRef{adapter->base, adapter->id, version};
    }

    void readService(const std::string &id, SectionReader &reader)
    {
        ServiceConfig config;
        config.id = ServiceId(id);
        config.nonRepeatable = reader.calls("non-repeatable");
        config.priority = static_cast<std::int32_t>(reader.integer("priority"));
        config.timeout = Millis(reader.integer("timeout-ms"));
        this->snapshot.services.emplace(config.id, config);
    }

    void readCallerClass(const std::string &id, SectionReader &reader)
    {
        CallerClassConfig config;
        config.id = CallerClassId(id);
        config.weight = static_cast<std::uint32_t>(reader.integer("weight"));
        config.priority = static_cast<std::int32_t>(reader.integer("priority"));
        config.queueLimit = static_cast<std::uint32_t>(reader.integer("queue-limit"));
        this->snapshot.callerClasses.emplace(config.id, config);
    }

    void readCaller(const std::string &id, SectionReader &reader)
    {
        CallerConfig config;
        config.id = CallerId(id);
        config.keySha256 = reader.text("key-sha256");
        config.callerClass = CallerClassId(reader.text("class"));
        if (!config.keySha256.empty() && !this->callerKeys.insert(config.keySha256).second) {
            reader.report(ErrorCode::ConfigDuplicate, "key-sha256",
                          "a key that no other caller has");
        }
        this->checkReference(reader, "class", "a [caller-class ID]", [this, config] {
            return this->snapshot.callerClasses.count(config.callerClass) != 0;
        });
        this->snapshot.callers.emplace(config.id, config);
    }

    void readLimits(SectionReader &reader)
    {
        LimitsConfig &limits = this->snapshot.limits;
        const auto number = [&reader](std::string_view key) {
            return static_cast<std::uint32_t>(reader.integer(key));
        };
        limits.bodyBytes = static_cast<std::uint64_t>(reader.integer("body-bytes"));
        limits.streamBufferBytes = number("stream-buffer-bytes");
        limits.storeLoadsPerThousandSeconds = number("store-loads-per-thousand-seconds");
        limits.storeInFlight = number("store-in-flight");
        limits.linkBytesPerSecond
                = static_cast<std::uint64_t>(reader.integer("link-bytes-per-second"));
        limits.weightPercent = number("weight-percent");
        limits.gatherTime = Millis(reader.integer("gather-time"));
        limits.requestTimeout = Millis(reader.integer("request-timeout"));
        limits.handoverWait = Millis(reader.integer("handover-wait"));
        limits.viewLifetime = Millis(reader.integer("view-lifetime"));
        limits.retryHorizon = Millis(reader.integer("retry-horizon"));
        limits.clockSkew = Millis(reader.integer("clock-skew"));
        limits.claimTableSize = number("claim-table-size");
        limits.retryPercent = number("retry-percent");
        limits.quarantineTime = Millis(reader.integer("quarantine-time"));
        if (limits.handoverWait <= limits.viewLifetime) {
            reader.report(ErrorCode::ConfigInvalidValue,
                          reader.has("handover-wait") ? "handover-wait" : "view-lifetime",
                          "`handover-wait` above `view-lifetime`");
        }
    }

    /// Schedules a check that a value refers to an existing section; finish() runs it.
    template<typename Exists>
    void checkReference(SectionReader &reader, std::string_view key, const std::string &expected,
                        Exists exists)
    {
        const SourceLocation location = reader.locationOf(key);
        const std::string value = reader.has(key) ? reader.text(key) : "";
        this->pendingChecks.emplace_back([this, location, value, expected, exists] {
            if (!exists()) {
                this->errors.push_back(
                        Error{ErrorCode::ConfigUnknownReference,
                              "\"" + value + "\" is not declared; expected " + expected, location});
            }
        });
    }

    void checkWeightStore()
    {
        std::set<RegionId> regions;
        for (const auto &[id, dataCentre] : this->snapshot.dataCentres) {
            if (dataCentre.hasWeightStore) {
                regions.insert(dataCentre.region);
            }
        }
        if (regions.size() > 1) {
            this->errors.push_back(Error{ErrorCode::ConfigInvalidValue,
                                         "the weight store stands in one region only",
                                         SourceLocation{"", 0, "has-weight-store"}});
        }
    }

    Snapshot snapshot;
    std::vector<std::function<void()>> pendingChecks;
    std::set<std::string> addresses;
    std::set<std::string> callerKeys;
};

} // namespace

RevisionValidation validateRevision(ConfigRevision revision, const std::vector<SourceFile> &files)
{
    MergedConfig merged = mergeFiles(files);
    SnapshotBuilder builder(revision, digestOf(files));
    builder.errors = std::move(merged.errors);
    for (const auto &[title, section] : merged.sections) {
        builder.addSection(section);
    }
    return builder.finish();
}

} // namespace balsamport
