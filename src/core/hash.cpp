#include <balsamport/core/hash.h>

#include <xxhash.h>

namespace balsamport {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t mixHash(std::uint64_t a, std::uint64_t b) noexcept
{
    return XXH3_64bits_withSeed(&b, sizeof b, a);
}

std::uint64_t hashOf(const AdapterRef &ref) noexcept
{
    const std::uint64_t base = hash64(ref.base.str());
    const std::uint64_t adapter = hash64(ref.adapter.str(), base);
    return mixHash(adapter, ref.version.number());
}

} // namespace balsamport
