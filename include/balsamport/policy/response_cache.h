#ifndef BALSAMPORT_POLICY_RESPONSE_CACHE_H
#define BALSAMPORT_POLICY_RESPONSE_CACHE_H

#include <balsamport/core/ids.h>
#include <balsamport/http/http_message.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <unordered_map>

namespace balsamport {

/// @brief The result of looking up a key in the cache.
enum class ResponseLookup : std::uint8_t {
    Unknown,
    InProgress, ///< The first request with this key has not ended.
    Finished,
    BodyMismatch, ///< The key was first sent with another body.
};

struct CachedResponse
{
    ResponseLookup lookup = ResponseLookup::Unknown;
    std::shared_ptr<const HttpResponse> response; ///< Set only if Finished.
};

/// @brief Stores complete responses by idempotency key, so that a repeated request gets the first
/// response.
///
/// Bounded by bytes: the responses that finished first are evicted first. Not thread-safe; the
/// gateway has several caches, each with its own lock.
class ResponseCache
{
public:
    explicit ResponseCache(std::size_t maxBytes) noexcept
        : maxBytes(maxBytes)
    { }

    /// @brief Looks up a key.
    /// @complexity constant on average
    [[nodiscard]] CachedResponse find(const RequestKey &key, Fingerprint body) const;

    /// @brief Records that a request with this key is in progress.
    /// @return false if the key is already in the cache
    bool begin(const RequestKey &key, Fingerprint body);

    /// @brief Stores the response to a request that begin() recorded. A response that is larger
    /// than the whole cache is not stored.
    void finish(const RequestKey &key, HttpResponse response);

    /// @brief Removes a request that ended without a final response.
    void abandon(const RequestKey &key);

    [[nodiscard]] std::size_t bytes() const noexcept { return this->storedBytes; }
    [[nodiscard]] std::size_t size() const noexcept { return this->entries.size(); }

private:
    struct Entry
    {
        Fingerprint body;
        std::shared_ptr<const HttpResponse> response; ///< Null while in progress.
        std::size_t bytes = 0;
        std::list<RequestKey>::iterator position; ///< In `finished`, if there is a response.
    };

    std::size_t maxBytes;
    std::size_t storedBytes = 0;
    std::unordered_map<RequestKey, Entry> entries;
    std::list<RequestKey> finished; ///< In the order of finishing, the earliest first.
};

} // namespace balsamport

#endif
