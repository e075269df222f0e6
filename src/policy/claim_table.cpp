#include <balsamport/core/hash.h>
#include <balsamport/policy/claim_table.h>

#include <algorithm>

namespace balsamport {

namespace {

constexpr std::uint64_t secondHashSeed = 0x9E37'79B9'7F4A'7C15U;

ClaimVerdict decided(const ClaimHolder &holder)
{
    return ClaimVerdict{holder, std::nullopt};
}

ClaimVerdict refused(ErrorCode code)
{
    return ClaimVerdict{std::nullopt, code};
}

} // namespace

WitnessState updatedWitnessState(WitnessState before, const WitnessSlotView &slot, Millis now,
                                 Millis nowWall) noexcept
{
    const bool expired = now >= before.confirmedUntil;
    if (slot.held && (!before.held || expired)) {
        before.heldSince = now;
        before.heldSinceWall = nowWall;
    }
    before.held = slot.held;
    before.confirmedUntil = slot.confirmedUntil;
    return before;
}

Millis knownAgeFloor(const WitnessState &state, const ClaimLimits &limits) noexcept
{
    // The previous holder granted keys until handoverWait after heldSince at the latest. It
    // accepted keys up to clockSkew ahead of its own clock, which may itself be clockSkew ahead of
    // this one.
    return state.heldSinceWall + limits.handoverWait + limits.clockSkew * 2;
}

Millis unknownAgeFloor(const WitnessState &state, const ClaimLimits &limits) noexcept
{
    return state.heldSince + limits.handoverWait + limits.retryHorizon + dispatchWindow;
}

ClaimTable::KeyHash ClaimTable::hashKey(const RequestKey &key)
{
    return KeyHash{hash64(key.str(), secondHashSeed), hash64(key.str())};
}

std::optional<ErrorCode> ClaimTable::refusalForAge(const WitnessRequest &request,
                                                   const WitnessState &state,
                                                   const ClaimLimits &limits) const
{
    if (!request.firstSentWall) {
        if (state.now < unknownAgeFloor(state, limits)) {
            return ErrorCode::HandoverWait;
        }
        const Millis horizon = limits.retryHorizon + dispatchWindow;
        if (this->lastEvictedGrantAt && state.now < *this->lastEvictedGrantAt + horizon) {
            return ErrorCode::WitnessUnavailable;
        }
        return std::nullopt;
    }
    if (*request.firstSentWall > state.nowWall + limits.clockSkew) {
        return ErrorCode::KeyFromFuture;
    }
    if (*request.firstSentWall < knownAgeFloor(state, limits)) {
        return ErrorCode::KeyTooOld;
    }
    if (this->watermarkWall && *request.firstSentWall <= *this->watermarkWall) {
        return ErrorCode::KeyTooOld;
    }
    const bool full = this->entries.size() >= limits.capacity;
    if (full && !this->ages.empty() && *request.firstSentWall <= this->ages.front().firstSentWall) {
        return ErrorCode::KeyTooOld;
    }
    return std::nullopt;
}

std::optional<ErrorCode> ClaimTable::refusalFor(const WitnessRequest &request,
                                                const WitnessState &state,
                                                const ClaimLimits &limits) const
{
    if (!state.held || limits.capacity == 0) {
        return ErrorCode::WitnessUnavailable;
    }
    if (state.now < state.heldSince + limits.handoverWait) {
        return ErrorCode::HandoverWait;
    }
    if (state.now >= state.confirmedUntil) {
        return ErrorCode::ViewUnconfirmed;
    }
    return this->refusalForAge(request, state, limits);
}

std::uint32_t ClaimTable::gatewayIndex(const VmInstance &gateway)
{
    const std::uint64_t hash = hash64(gateway.vm.str(), gateway.incarnation.number());
    const auto index = static_cast<std::uint32_t>(this->gateways.size());
    const auto [found, isNew] = this->gatewayIndexes.try_emplace(hash, index);
    if (isNew) {
        this->gateways.push_back(gateway);
    }
    return found->second;
}

void ClaimTable::evictOldest()
{
    const auto younger
            = [](const Age &a, const Age &b) { return a.firstSentWall > b.firstSentWall; };
    std::pop_heap(this->ages.begin(), this->ages.end(), younger);
    const Age oldest = this->ages.back();
    this->ages.pop_back();
    this->entries.erase(oldest.key);
    this->watermarkWall
            = std::max(this->watermarkWall.value_or(oldest.firstSentWall), oldest.firstSentWall);
    this->lastEvictedGrantAt
            = std::max(this->lastEvictedGrantAt.value_or(oldest.grantedAt), oldest.grantedAt);
}

ClaimVerdict ClaimTable::decide(const WitnessRequest &request, const WitnessState &state,
                                const ClaimLimits &limits)
{
    const KeyHash key = hashKey(request.key);
    const auto found = this->entries.find(key);
    if (found != this->entries.end()) {
        const Entry &entry = found->second;
        return decided(
                {AttemptId(entry.attempt), this->gateways[entry.gateway], Fingerprint(entry.body)});
    }
    if (const auto refusal = this->refusalFor(request, state, limits)) {
        return refused(*refusal);
    }
    while (this->entries.size() >= limits.capacity) {
        this->evictOldest();
    }
    const Millis latest = state.nowWall + limits.clockSkew;
    this->ages.push_back({request.firstSentWall.value_or(latest), state.now, key});
    std::push_heap(this->ages.begin(), this->ages.end(),
                   [](const Age &a, const Age &b) { return a.firstSentWall > b.firstSentWall; });
    this->entries.emplace(key,
                          Entry{request.claimant.attempt.number(), request.claimant.body.number(),
                                this->gatewayIndex(request.claimant.gateway)});
    return decided(request.claimant);
}

} // namespace balsamport
