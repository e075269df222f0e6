#ifndef BALSAMPORT_POLICY_PLATFORM_LIST_H
#define BALSAMPORT_POLICY_PLATFORM_LIST_H

#include <balsamport/core/clock.h>
#include <balsamport/core/ids.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace balsamport {

/// @brief A VM in the platform's list.
struct ListedVm
{
    VmId vm;
    DataCentreId dataCentre;
    std::string controllerEndpoint; ///< tcp://IP:PORT
    std::string gatewayAddress; ///< IP:PORT
    bool draining = false;

    auto operator<=>(const ListedVm &) const = default;
    bool operator==(const ListedVm &) const = default;
};

/// @brief A copy of the platform's list with the time at which it was read.
struct PlatformList
{
    std::vector<ListedVm> vms; ///< In the platform's order.
    std::uint64_t digest = 0; ///< 0: no list is known.
    Millis readAt; ///< Monotonic time, on this VM, of the platform's response.

    [[nodiscard]] bool isKnown() const noexcept { return this->digest != 0; }
    bool operator==(const PlatformList &) const = default;
};

/// @brief Hashes the entries of a list in their order.
/// @return never 0
/// @complexity linear
[[nodiscard]] std::uint64_t digestOf(const std::vector<ListedVm> &vms);

/// @brief Creates a list with its digest.
/// @param readAt monotonic
[[nodiscard]] PlatformList makePlatformList(std::vector<ListedVm> vms, Millis readAt);

/// @return the listed VM; nullptr where it is not in the list
/// @complexity linear
[[nodiscard]] const ListedVm *findListed(const PlatformList &list, const VmId &vm) noexcept;

/// @return the VMs of one data centre in the list's order
/// @complexity linear
[[nodiscard]] std::vector<VmId> listedIn(const PlatformList &list, const DataCentreId &dataCentre);

} // namespace balsamport

#endif
