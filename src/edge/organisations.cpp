#include <balsamport/edge/organisations.h>

#include <balsamport/core/hash.h>

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <random>
#include <utility>

namespace balsamport {

namespace {

/// Random seed of this process, so that nobody can choose keys that collide in one bucket.
std::uint64_t hashSeed()
{
    static const std::uint64_t seed = [] {
        std::random_device device;
        constexpr unsigned halfBits = 32;
        return (std::uint64_t{device()} << halfBits) | device();
    }();
    return seed;
}

KeyDigest digestOf(std::string_view key)
{
    KeyDigest digest{};
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
    return digest;
}

bool isEqual(const KeyDigest &a, const KeyDigest &b)
{
    return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace

void addOrganisation(Organisations &organisations, Organisation organisation,
                     const std::vector<std::string_view> &keys)
{
    const std::size_t index = organisations.all.size();
    organisations.all.push_back(std::move(organisation));
    for (const std::string_view key : keys) {
        if (!key.empty()) {
            organisations.keys[hash64(key, hashSeed())].push_back({digestOf(key), index});
        }
    }
}

const QuotaLimit *findQuota(const Organisations &organisations, const OrganisationId &organisation)
{
    const auto found = std::find_if(
            organisations.all.begin(), organisations.all.end(),
            [&organisation](const Organisation &entry) { return entry.id == organisation; });
    return found == organisations.all.end() || !found->quota ? nullptr : &*found->quota;
}

const Organisation *findOrganisation(const Organisations &organisations, std::string_view key)
{
    const auto bucket = organisations.keys.find(hash64(key, hashSeed()));
    if (key.empty() || bucket == organisations.keys.end()) {
        return nullptr;
    }
    const KeyDigest digest = digestOf(key);
    const auto match = std::find_if(bucket->second.begin(), bucket->second.end(),
                                    [&digest](const Organisations::KeyEntry &entry) {
                                        return isEqual(entry.digest, digest);
                                    });
    return match == bucket->second.end() ? nullptr : &organisations.all[match->organisation];
}

} // namespace balsamport
