#ifndef BALSAMPORT_CORE_IDS_H
#define BALSAMPORT_CORE_IDS_H

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace balsamport {

/// @brief A strongly typed name: names of different kinds do not convert to each other.
/// @tparam Tag an incomplete type that identifies the kind
template<typename Tag>
class StringId
{
public:
    StringId() = default;
    explicit StringId(std::string name)
        : text(std::move(name))
    { }
    explicit StringId(std::string_view name)
        : text(name)
    { }
    explicit StringId(const char *name)
        : text(name)
    { }

    [[nodiscard]] const std::string &str() const noexcept { return this->text; }
    [[nodiscard]] bool empty() const noexcept { return this->text.empty(); }

    auto operator<=>(const StringId &) const = default;
    bool operator==(const StringId &) const = default;

    friend std::ostream &operator<<(std::ostream &out, const StringId &id)
    {
        return out << id.text;
    }

private:
    std::string text;
};

/// @brief A strongly typed number: numbers of different kinds do not convert to each other.
/// @tparam Tag an incomplete type that identifies the kind
template<typename Tag>
class NumberId
{
public:
    constexpr NumberId() noexcept = default;
    constexpr explicit NumberId(std::uint64_t number) noexcept
        : value(number)
    { }

    [[nodiscard]] constexpr std::uint64_t number() const noexcept { return this->value; }

    constexpr auto operator<=>(const NumberId &) const noexcept = default;

    friend std::ostream &operator<<(std::ostream &out, NumberId id) { return out << id.value; }

private:
    std::uint64_t value = 0;
};

using VmId = StringId<struct VmIdTag>;
using DataCentreId = StringId<struct DataCentreIdTag>;
using RegionId = StringId<struct RegionIdTag>;
using BackendServerId = StringId<struct BackendServerIdTag>;
using BaseModelId = StringId<struct BaseModelIdTag>;
using AdapterId = StringId<struct AdapterIdTag>;
using ServiceId = StringId<struct ServiceIdTag>;
using RequestId = StringId<struct RequestIdTag>;
using CallerId = StringId<struct CallerIdTag>;
using OrganisationId = StringId<struct OrganisationIdTag>;
using CallerClassId = StringId<struct CallerClassIdTag>;
/// The caller's Idempotency-Key, or a ticket.
using RequestKey = StringId<struct RequestKeyTag>;

/// Revision number that the platform assigns to the whole configuration.
using ConfigRevision = NumberId<struct ConfigRevisionTag>;
/// Fencing token: rises with every change of owner. Engines that check it refuse commands with a
/// lower number.
using FencingNumber = NumberId<struct FencingNumberTag>;
/// Distinguishes a run of a VM's daemon from its earlier and later runs.
using Incarnation = NumberId<struct IncarnationTag>;
using AdapterVersion = NumberId<struct AdapterVersionTag>;
using GrantId = NumberId<struct GrantIdTag>;
/// An attempt to run a request; a request may have several.
using AttemptId = NumberId<struct AttemptIdTag>;
/// Hash of the adapter and the body of a request.
using Fingerprint = NumberId<struct FingerprintTag>;

/// @brief A version of an adapter of a base model, which a request runs on.
///
/// String form: `base/adapter@version`, for example `citrus-8b/burn-plan@3`.
struct AdapterRef
{
    BaseModelId base;
    AdapterId adapter;
    AdapterVersion version;

    auto operator<=>(const AdapterRef &) const = default;
    bool operator==(const AdapterRef &) const = default;

    /// @return the string form
    [[nodiscard]] std::string str() const
    {
        return this->base.str() + "/" + this->adapter.str() + "@"
                + std::to_string(this->version.number());
    }
    friend std::ostream &operator<<(std::ostream &out, const AdapterRef &ref)
    {
        return out << ref.str();
    }
};

/// @brief A run of a daemon on a VM.
struct VmInstance
{
    VmId vm;
    Incarnation incarnation;

    auto operator<=>(const VmInstance &) const = default;
    bool operator==(const VmInstance &) const = default;
};

} // namespace balsamport

template<typename Tag>
struct std::hash<balsamport::StringId<Tag>>
{
    std::size_t operator()(const balsamport::StringId<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.str());
    }
};

template<typename Tag>
struct std::hash<balsamport::NumberId<Tag>>
{
    std::size_t operator()(balsamport::NumberId<Tag> id) const noexcept
    {
        return std::hash<std::uint64_t>()(id.number());
    }
};

template<>
struct std::hash<balsamport::AdapterRef>
{
    std::size_t operator()(const balsamport::AdapterRef &ref) const noexcept
    {
        constexpr std::size_t fnvPrime = 1'099'511'628'211U;
        std::size_t seed = std::hash<balsamport::BaseModelId>()(ref.base);
        seed = seed * fnvPrime ^ std::hash<balsamport::AdapterId>()(ref.adapter);
        return seed * fnvPrime ^ std::hash<balsamport::AdapterVersion>()(ref.version);
    }
};

#endif
