#ifndef BALSAMPORT_POLICY_CLAIM_TABLE_H
#define BALSAMPORT_POLICY_CLAIM_TABLE_H

#include <balsamport/core/clock.h>
#include <balsamport/core/error.h>
#include <balsamport/core/ids.h>
#include <balsamport/policy/ownership_view.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace balsamport {

/// Longest time from the arrival of a request at its gateway to the first byte of its dispatch.
constexpr Millis dispatchWindow{5'000};

/// @brief The attempt that holds a key. A closed key is never held by any attempt.
struct ClaimHolder
{
    AttemptId attempt; ///< 0 if the key is closed.
    VmInstance gateway;
    Fingerprint body;

    bool operator==(const ClaimHolder &) const = default;

    [[nodiscard]] bool isClosed() const noexcept { return this->attempt == AttemptId(); }
};

/// @brief A request of a gateway to a witness: to grant a key to an attempt, or to close it.
struct WitnessRequest
{
    RequestKey key;
    ClaimHolder claimant; ///< A closed holder requests that the key be closed.
    std::optional<Millis> firstSentWall;

    bool operator==(const WitnessRequest &) const = default;
};

/// @brief The state of a witness slot on one VM and the time of a decision.
struct WitnessState
{
    bool held = false; ///< This VM holds the witness slot.
    Millis heldSinceWall; ///< Wall clock when the slot was acquired or the process started.
    Millis heldSince; ///< Monotonic.
    Millis confirmedUntil; ///< Monotonic; nothing new is granted at or after it.
    Millis now; ///< Monotonic.
    Millis nowWall;

    bool operator==(const WitnessState &) const = default;
};

/// @brief The limits that a witness applies.
struct ClaimLimits
{
    std::size_t capacity = 1'000'000; ///< Keys that one table stores.
    Millis clockSkew{2'000}; ///< Largest difference between the wall clocks of two VMs.
    Millis retryHorizon{30'000}; ///< Repeats of a key of unknown age arrive within this time.
    Millis handoverWait{3'000}; ///< Longer than a view stays confirmed.

    bool operator==(const ClaimLimits &) const = default;
};

/// @brief The reply of a witness.
///
/// `holder` is final: the slot has cast its only vote for the key. Without a holder the witness
/// refused to decide, for the reason `refusal`; a refusal proves neither that the key was granted
/// nor that it was not.
struct ClaimVerdict
{
    std::optional<ClaimHolder> holder;
    std::optional<ErrorCode> refusal;

    bool operator==(const ClaimVerdict &) const = default;
};

/// @brief The bounded table of claimed keys of one witness slot.
///
/// Grants each key to at most one attempt. When the table is full, the oldest key is evicted and
/// keys of that age or older are refused from then on. Keys are stored as 128-bit hashes: two keys
/// with the same hash can only cause a refusal. Not thread-safe.
class ClaimTable
{
public:
    /// @brief Decides on a claim, or on a request to close a key.
    /// @return the holder, which is the claimant if the claim was granted; else KeyTooOld,
    /// KeyFromFuture, WitnessUnavailable, HandoverWait or ViewUnconfirmed
    /// @complexity O(log n) for n keys stored, O(1) for a key that is already in the table
    ClaimVerdict decide(const WitnessRequest &request, const WitnessState &state,
                        const ClaimLimits &limits);

    /// @return the number of keys stored
    [[nodiscard]] std::size_t size() const noexcept { return this->entries.size(); }

private:
    struct KeyHash
    {
        std::uint64_t high = 0;
        std::uint64_t low = 0;
        bool operator==(const KeyHash &) const = default;
    };
    struct KeyHasher
    {
        std::size_t operator()(const KeyHash &hash) const noexcept { return hash.low; }
    };
    struct Entry
    {
        std::uint64_t attempt = 0;
        std::uint64_t body = 0;
        std::uint32_t gateway = 0; ///< Index of `gateways`.
    };
    /// The age of a key, by which keys are evicted.
    struct Age
    {
        Millis firstSentWall; ///< If unknown: the latest time that is possible.
        Millis grantedAt; ///< Monotonic.
        KeyHash key;
    };

    static KeyHash hashKey(const RequestKey &key);
    std::optional<ErrorCode> refusalFor(const WitnessRequest &request, const WitnessState &state,
                                        const ClaimLimits &limits) const;
    std::optional<ErrorCode> refusalForAge(const WitnessRequest &request, const WitnessState &state,
                                           const ClaimLimits &limits) const;
    std::uint32_t gatewayIndex(const VmInstance &gateway);
    void evictOldest();

    std::unordered_map<KeyHash, Entry, KeyHasher> entries;
    std::vector<Age> ages; ///< A heap with the oldest key first.
    std::vector<VmInstance> gateways;
    std::unordered_map<std::uint64_t, std::uint32_t> gatewayIndexes; ///< By hash.
    std::optional<Millis> watermarkWall; ///< Keys first sent at or before it may have been evicted.
    std::optional<Millis> lastEvictedGrantAt; ///< Latest grant that was evicted; monotonic.
};

/// @brief Applies an update of the ownership of a witness slot. If the slot was not held, or its
/// confirmation had expired, another VM may have been the witness in between: the slot then counts
/// as newly acquired.
/// @param before the previous state; a default WitnessState for a new slot
/// @param now monotonic
/// @return the state, without the times of a decision
[[nodiscard]] WitnessState updatedWitnessState(WitnessState before, const WitnessSlotView &slot,
                                               Millis now, Millis nowWall) noexcept;

/// @brief Returns the first-sent time before which a witness may lack keys, because an earlier
/// holder of the slot or an earlier run of the process granted them.
/// @return wall clock time; keys first sent before it are refused
[[nodiscard]] Millis knownAgeFloor(const WitnessState &state, const ClaimLimits &limits) noexcept;

/// @brief Returns the monotonic time from which a witness decides on keys of unknown age.
[[nodiscard]] Millis unknownAgeFloor(const WitnessState &state, const ClaimLimits &limits) noexcept;

} // namespace balsamport

#endif
