#ifndef BALSAMPORT_POLICY_ANSWER_MEMORY_H
#define BALSAMPORT_POLICY_ANSWER_MEMORY_H

#include <balsamport/core/ids.h>
#include <balsamport/http/http_message.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <unordered_map>

namespace balsamport {

/// @brief What the memory knows of a key.
enum class AnswerLookup : std::uint8_t {
    Unknown,
    InProgress, ///< The first request with this key has not ended.
    Finished,
    BodyMismatch, ///< The key came with another body before.
};

struct RememberedAnswer
{
    AnswerLookup lookup = AnswerLookup::Unknown;
    std::shared_ptr<const HttpResponse> answer; ///< Only where Finished.
};

/// @brief Holds finished answers by key, so that a repeat gets the first answer.
///
/// Bounded by bytes: the answers that ended first are forgotten first. Not thread-safe; the
/// gateway keeps several of them, each under its own lock.
class AnswerMemory
{
public:
    explicit AnswerMemory(std::size_t maxBytes) noexcept
        : maxBytes(maxBytes)
    { }

    /// @brief Looks a key up. Constant on average.
    [[nodiscard]] RememberedAnswer find(const RequestKey &key, Fingerprint body) const;

    /// @brief Notes that a request with this key is under way.
    /// @return false where the key is known already
    bool begin(const RequestKey &key, Fingerprint body);

    /// @brief Keeps the answer of a request that begin() noted. An answer that is larger than the
    /// whole memory is not kept.
    void finish(const RequestKey &key, HttpResponse answer);

    /// @brief Forgets a request that ended without a final answer.
    void abandon(const RequestKey &key);

    [[nodiscard]] std::size_t bytes() const noexcept { return this->heldBytes; }
    [[nodiscard]] std::size_t size() const noexcept { return this->entries.size(); }

private:
    struct Entry
    {
        Fingerprint body;
        std::shared_ptr<const HttpResponse> answer; ///< Null while in progress.
        std::size_t bytes = 0;
        std::list<RequestKey>::iterator place; ///< In `finished`, where there is an answer.
    };

    std::size_t maxBytes;
    std::size_t heldBytes = 0;
    std::unordered_map<RequestKey, Entry> entries;
    std::list<RequestKey> finished; ///< The first one ended first.
};

} // namespace balsamport

#endif
