#include <balsamport/policy/platform_list.h>

#include <balsamport/core/hash.h>

namespace balsamport {

std::uint64_t digestOf(const std::vector<ListedVm> &vms)
{
    std::uint64_t digest = vms.size();
    for (const ListedVm &listed : vms) {
        digest = mixHash(digest, hash64(listed.vm.str()));
        digest = mixHash(digest, hash64(listed.dataCentre.str()));
        digest = mixHash(digest, hash64(listed.controllerEndpoint));
        digest = mixHash(digest, hash64(listed.gatewayAddress));
        digest = mixHash(digest, listed.draining ? 1 : 0);
    }
    return digest == 0 ? 1 : digest;
}

PlatformList makePlatformList(std::vector<ListedVm> vms, Millis readAt)
{
    PlatformList list;
    list.digest = digestOf(vms);
    list.vms = std::move(vms);
    list.readAt = readAt;
    return list;
}

const ListedVm *findListed(const PlatformList &list, const VmId &vm) noexcept
{
    for (const ListedVm &listed : list.vms) {
        if (listed.vm == vm) {
            return &listed;
        }
    }
    return nullptr;
}

std::vector<VmId> listedIn(const PlatformList &list, const DataCentreId &dataCentre)
{
    std::vector<VmId> vms;
    for (const ListedVm &listed : list.vms) {
        if (listed.dataCentre == dataCentre) {
            vms.push_back(listed.vm);
        }
    }
    return vms;
}

} // namespace balsamport
