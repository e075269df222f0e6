#include <balsamport/config/snapshot.h>

#include <charconv>
#include <string_view>

namespace balsamport {

namespace {

bool isInRange(const AdapterRangeConfig &range, std::string_view name)
{
    if (name.substr(0, range.prefix.size()) != range.prefix) {
        return false;
    }
    const std::string_view digits = name.substr(range.prefix.size());
    if (digits.empty() || (digits.size() > 1 && digits.front() == '0')) {
        return false;
    }
    std::uint32_t number = 0;
    const char *end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, number);
    return parsed.ec == std::errc() && parsed.ptr == end && number >= range.first
            && number <= range.last;
}

} // namespace

std::optional<AdapterConfig> Snapshot::findAdapter(const AdapterId &id) const
{
    const auto own = this->adapters.find(id);
    if (own != this->adapters.end()) {
        return own->second;
    }
    for (const auto &[prefix, range] : this->adapterRanges) {
        if (isInRange(range, id.str())) {
            AdapterConfig adapter = range.common;
            adapter.id = id;
            return adapter;
        }
    }
    return std::nullopt;
}

RegionId Snapshot::regionOf(const DataCentreId &dataCentre) const
{
    const auto found = this->dataCentres.find(dataCentre);
    return found == this->dataCentres.end() ? RegionId() : found->second.region;
}

} // namespace balsamport
