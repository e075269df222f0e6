#include <balsamport/policy/grant_scheduler.h>

#include "slot_access.h"

#include <balsamport/core/hash.h>

#include <algorithm>

namespace balsamport {

namespace {

constexpr Millis firstBackoff{500};
constexpr Millis maxBackoff{30'000};
constexpr std::uint32_t maxBackoffDoublings = 6;

void restoreEvictionCandidate(Slot &slot, Millis now)
{
    const AdapterRef evictionCandidate = *slot.evictionCandidate;
    slot = Slot{SlotState::Resident,
                evictionCandidate,
                hashOf(evictionCandidate),
                std::nullopt,
                {},
                now,
                now,
                0};
}

void recordFailure(ServerState &server, std::uint64_t hash, Millis now)
{
    LoadBackoff &backoff = server.backoffs[hash];
    const std::uint32_t doublings = std::min(backoff.failures, maxBackoffDoublings);
    backoff.until = now + std::min(firstBackoff * (std::int64_t{1} << doublings), maxBackoff);
    ++backoff.failures;
}

/// Returns whether the state of a slot is newer than a report and must not be modified by it.
bool isNewer(const Slot &slot, const EngineLoadReport &report) noexcept
{
    return slot.state == SlotState::Loading || slot.changedAt >= report.taken;
}

void addReported(ServerState &server, const EngineLoadReport &report, Millis now)
{
    for (const AdapterRef &adapter : report.resident) {
        const std::uint64_t hash = hashOf(adapter);
        const bool isEvictionCandidate
                = std::any_of(server.slots.begin(), server.slots.end(), [&adapter](const Slot &s) {
                      return s.evictionCandidate.has_value() && *s.evictionCandidate == adapter;
                  });
        if (isEvictionCandidate || findSlot(server, hash) != nullptr) {
            continue;
        }
        const auto free
                = std::find_if(server.slots.begin(), server.slots.end(), [&report](const Slot &s) {
                      return s.state == SlotState::Free && s.changedAt < report.taken;
                  });
        if (free != server.slots.end()) {
            *free = Slot{SlotState::Resident, adapter, hash, std::nullopt, {},
                         report.taken,        now,     0};
        }
    }
}

} // namespace

void markNotLoaded(ServerState &server, std::uint64_t adapterHash, Millis now)
{
    Slot *slot = findSlot(server, adapterHash);
    if (slot != nullptr && slot->state == SlotState::Resident) {
        slot->state = SlotState::Unknown;
        slot->changedAt = now;
    }
}

void finishLoadCommand(ServerState &server, LoadBudget &budget, const AdapterRef &adapter,
                       LoadOutcome outcome, Millis now)
{
    const std::uint64_t hash = hashOf(adapter);
    Slot *slot = findSlot(server, hash);
    if (slot == nullptr || slot->state != SlotState::Loading) {
        return;
    }
    if (outcome != LoadOutcome::Unknown) {
        releasePermit(budget, slot->permit, now);
    }
    if (outcome == LoadOutcome::Loaded) {
        server.loadTime = movingAverage(server.loadTime, now - slot->changedAt);
        server.backoffs.erase(hash);
        slot->state = SlotState::Resident;
        slot->evictionCandidate.reset();
        slot->changedAt = now;
        return;
    }
    recordFailure(server, hash, now);
    const bool candidateKept
            = outcome == LoadOutcome::EvictionCandidateRunning || outcome == LoadOutcome::NotSent;
    if (candidateKept && slot->evictionCandidate) {
        restoreEvictionCandidate(*slot, now);
    } else if (outcome == LoadOutcome::Unknown) {
        slot->state = SlotState::Unknown;
        slot->changedAt = now;
    } else {
        *slot = Slot{};
        slot->changedAt = now;
    }
}

bool applyLoadReport(ServerState &server, LoadBudget &budget, const EngineLoadReport &report,
                     Millis now)
{
    const bool restarted = server.reported && server.engineStart != report.start;
    if (restarted) {
        for (Slot &slot : server.slots) {
            if (slot.state == SlotState::Loading) {
                releasePermit(budget, slot.permit, now);
            }
            slot = Slot{};
        }
    }
    server.reported = true;
    server.engineStart = report.start;
    for (Slot &slot : server.slots) {
        if (slot.state == SlotState::Free || isNewer(slot, report)) {
            continue;
        }
        const auto found = std::find(report.resident.begin(), report.resident.end(), slot.adapter);
        if (found == report.resident.end()) {
            slot = Slot{};
            slot.changedAt = report.taken;
            continue;
        }
        slot.state = SlotState::Resident;
        slot.evictionCandidate.reset();
        const auto running = report.running.find(slot.hash);
        slot.running = running == report.running.end() ? 0 : running->second;
    }
    addReported(server, report, now);
    return restarted;
}

} // namespace balsamport
