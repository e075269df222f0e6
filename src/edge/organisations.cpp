#include <balsamport/edge/organisations.h>

#include <balsamport/core/hash.h>

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <random>
#include <utility>

namespace balsamport {

namespace {

/// Of this process, so that nobody can choose keys that fall into one bucket.
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

bool isSame(const KeyDigest &a, const KeyDigest &b)
{
    return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace

void addOrganisation(Organisations &known, Organisation organisation,
                     const std::vector<std::string_view> &keys)
{
    const std::size_t index = known.all.size();
    known.all.push_back(std::move(organisation));
    for (const std::string_view key : keys) {
        if (!key.empty()) {
            known.keys[hash64(key, hashSeed())].push_back({digestOf(key), index});
        }
    }
}

const Organisation *findOrganisation(const Organisations &known, std::string_view key)
{
    const auto bucket = known.keys.find(hash64(key, hashSeed()));
    if (key.empty() || bucket == known.keys.end()) {
        return nullptr;
    }
    const KeyDigest digest = digestOf(key);
    const auto held = std::find_if(
            bucket->second.begin(), bucket->second.end(),
            [&digest](const Organisations::KeyEntry &one) { return isSame(one.digest, digest); });
    return held == bucket->second.end() ? nullptr : &known.all[held->organisation];
}

} // namespace balsamport
