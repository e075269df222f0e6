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

/// Longest time from a request's arrival at its gateway to the first byte of its dispatch.
constexpr Millis dispatchWindow{5'000};

/// @brief Who holds a key. A closed key is held by nobody, for ever.
struct ClaimHolder
{
    AttemptId attempt; ///< 0 where the key is closed.
    VmInstance gateway;
    Fingerprint body;

    bool operator==(const ClaimHolder &) const = default;

    [[nodiscard]] bool isClosed() const noexcept { return this->attempt == AttemptId(); }
};

/// @brief What a gateway asks a witness.
struct WitnessRequest
{
    RequestKey key;
    ClaimHolder claimant; ///< A closed holder asks to close the key.
    std::optional<Millis> firstSentWall;

    bool operator==(const WitnessRequest &) const = default;
};

/// @brief What a witness knows of its slot and of the time when it is asked.
struct WitnessState
{
    bool held = false; ///< This VM holds the slot.
    Millis heldSinceWall; ///< Wall clock when the slot was taken or the process started.
    Millis heldSince; ///< Monotonic.
    Millis confirmedUntil; ///< Monotonic; nothing new is granted at or after it.
    Millis now; ///< Monotonic.
    Millis nowWall;

    bool operator==(const WitnessState &) const = default;
};

/// @brief The limits that a witness goes by.
struct ClaimLimits
{
    std::size_t capacity = 1'000'000; ///< Keys that are remembered.
    Millis clockSkew{2'000}; ///< Largest difference between the wall clocks of two VMs.
    Millis retryHorizon{30'000}; ///< Repeats of a key of unknown age come within this time.
    Millis handoverWait{3'000}; ///< Longer than a view stays confirmed.

    bool operator==(const ClaimLimits &) const = default;
};

/// @brief The answer of a witness.
///
/// `holder` is a fact that never changes: the slot's vote for the key is spent. Without a holder
/// the witness refused to decide, and `refusal` says why; nothing can be concluded from that.
struct ClaimVerdict
{
    std::optional<ClaimHolder> holder;
    std::optional<ErrorCode> refusal;

    bool operator==(const ClaimVerdict &) const = default;
};

/// @brief The bounded memory of one witness for one slot.
///
/// Gives each key to one attempt, ever. Where the table is full the oldest key is forgotten and
/// keys as old as that are refused from then on. Keys are kept as 128-bit hashes: two keys with
/// one hash can only cause a refusal. Not thread-safe.
class ClaimTable
{
public:
    /// @brief Decides on a claim, or on a request to close a key.
    /// @return the holder, which is the claimant where it won; else KeyTooOld, KeyFromFuture,
    /// WitnessUnavailable, HandoverWait or ViewUnconfirmed
    /// @complexity O(log n) for n keys held, O(1) for a key that is known
    ClaimVerdict decide(const WitnessRequest &ask, const WitnessState &state,
                        const ClaimLimits &limits);

    /// @return the number of keys held
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
    /// The order in which keys are forgotten.
    struct Age
    {
        Millis firstSentWall; ///< Where unknown: the latest time that it may be.
        Millis grantedAt; ///< Monotonic.
        KeyHash key;
    };

    static KeyHash hashKey(const RequestKey &key);
    std::optional<ErrorCode> refusalFor(const WitnessRequest &ask, const WitnessState &state,
                                        const ClaimLimits &limits) const;
    std::optional<ErrorCode> refusalForAge(const WitnessRequest &ask, const WitnessState &state,
                                           const ClaimLimits &limits) const;
    std::uint32_t gatewayIndex(const VmInstance &gateway);
    void forgetOldest();

    std::unordered_map<KeyHash, Entry, KeyHasher> entries;
    std::vector<Age> ages; ///< A heap with the oldest key first.
    std::vector<VmInstance> gateways;
    std::unordered_map<std::uint64_t, std::uint32_t> gatewayIndexes; ///< By hash.
    std::optional<Millis> watermarkWall; ///< Keys first sent at or before it may be forgotten.
    std::optional<Millis> forgottenGrantedAt; ///< Latest grant that was forgotten; monotonic.
};

/// @brief Takes news of a slot. Where the slot was not held, or its view was not confirmed in
/// between, another VM may have been the witness: the slot then counts as newly taken.
/// @param before what was known; a fresh WitnessState for a new slot
/// @param now monotonic
/// @return the state, without the times of a decision
[[nodiscard]] WitnessState updatedWitnessState(WitnessState before, const WitnessSlotView &slot,
                                               Millis now, Millis nowWall) noexcept;

/// @brief Gives the first-sent time below which a witness may have forgotten, or never seen, keys.
/// @return wall clock time; keys first sent before it are refused
[[nodiscard]] Millis knownAgeFloor(const WitnessState &state, const ClaimLimits &limits) noexcept;

/// @brief Gives the monotonic time from which a witness decides on keys of unknown age.
[[nodiscard]] Millis unknownAgeFloor(const WitnessState &state, const ClaimLimits &limits) noexcept;

} // namespace balsamport

#endif
