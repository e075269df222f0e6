#include <balsamport/policy/demand.h>

#include <algorithm>
#include <cmath>
#include <vector>

namespace balsamport {

namespace {

double decayed(const DecayedCount &count, Millis halfLife, Millis now) noexcept
{
    const double age = static_cast<double>((now - count.at).count());
    return count.value * std::exp2(-age / static_cast<double>(halfLife.count()));
}

void removeLowerHalf(DemandTable &table, Millis now)
{
    std::vector<double> values;
    values.reserve(table.counts.size());
    for (const auto &[hash, count] : table.counts) {
        values.push_back(decayed(count, table.halfLife, now));
    }
    const auto medianAt = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), medianAt, values.end());
    const double median = *medianAt;
    std::erase_if(table.counts, [&table, now, median](const auto &entry) {
        return decayed(entry.second, table.halfLife, now) <= median;
    });
}

} // namespace

void addDemand(DemandTable &table, std::uint64_t adapterHash, Millis now)
{
    if (table.counts.size() >= table.capacity && !table.counts.contains(adapterHash)) {
        removeLowerHalf(table, now);
    }
    DecayedCount &count = table.counts[adapterHash];
    count.value = decayed(count, table.halfLife, now) + 1;
    count.at = now;
}

double demandOf(const DemandTable &table, std::uint64_t adapterHash, Millis now) noexcept
{
    const auto found = table.counts.find(adapterHash);
    return found == table.counts.end() ? 0 : decayed(found->second, table.halfLife, now);
}

} // namespace balsamport
