#include <balsamport/core/hash.h>
#include <balsamport/policy/crash_evidence.h>

#include <algorithm>
#include <set>
#include <tuple>

namespace balsamport {

namespace {

/// Crashes from which a suspect is repeated to daemons that may have missed the reports.
constexpr std::size_t crashesToShare = 2;

/// @return the request's fingerprint and its parts, as suspects
std::vector<SuspectKey> keysOf(const RequestTraits &traits)
{
    std::vector<SuspectKey> keys{{SuspectKind::Request, traits.fingerprint.number()}};
    for (const std::uint64_t part : traits.sharedParts) {
        keys.push_back({SuspectKind::PromptPart, part});
    }
    return keys;
}

void mergeInto(Completions &known, const Completions &received)
{
    known.lastSentAt = std::max(known.lastSentAt, received.lastSentAt);
    known.lastAt = std::max(known.lastAt, received.lastAt);
}

/// @return the completions under a suspect that this daemon knows of
Completions completionsOf(const CrashEvidence &evidence, const SuspectKey &key)
{
    const auto suspect = evidence.suspects.find(key);
    if (suspect != evidence.suspects.end()) {
        return suspect->second.completions;
    }
    Completions known;
    if (key.kind == SuspectKind::PromptPart) {
        for (const auto *generation : {&evidence.newCompletions, &evidence.oldCompletions}) {
            const auto found = generation->find(key.id);
            if (found != generation->end()) {
                mergeInto(known, found->second);
            }
        }
    }
    return known;
}

void rememberCompletion(CrashEvidence &evidence, const CrashLimits &limits, std::uint64_t part,
                        const Completions &completions)
{
    if (evidence.newCompletions.size() >= limits.maxCompletions
        && evidence.newCompletions.count(part) == 0) {
        evidence.oldCompletions = std::move(evidence.newCompletions);
        evidence.newCompletions.clear();
    }
    mergeInto(evidence.newCompletions[part], completions);
}

/// Removes the suspect whose evidence is the weakest: the oldest one that is not convicted.
void evictSuspect(CrashEvidence &evidence)
{
    const auto weakest = std::min_element(
            evidence.suspects.begin(), evidence.suspects.end(), [](const auto &a, const auto &b) {
                return std::make_pair(a.second.convicted, a.second.lastSeenAt)
                        < std::make_pair(b.second.convicted, b.second.lastSeenAt);
            });
    evidence.suspects.erase(weakest);
}

Suspect &suspectFor(CrashEvidence &evidence, const CrashLimits &limits, const SuspectKey &key)
{
    const auto found = evidence.suspects.find(key);
    if (found != evidence.suspects.end()) {
        return found->second;
    }
    const Completions known = completionsOf(evidence, key);
    if (evidence.suspects.size() >= limits.maxSuspects) {
        evictSuspect(evidence);
    }
    Suspect &added = evidence.suspects[key];
    added.completions = known;
    return added;
}

void addCrash(Suspect &suspect, const CrashLimits &limits, const SuspectCrash &crash)
{
    const auto known = std::find_if(
            suspect.crashes.begin(), suspect.crashes.end(),
            [&](const SuspectCrash &other) { return other.serverRun == crash.serverRun; });
    if (known != suspect.crashes.end()) {
        // Of several requests that one crash broke off, the one sent last is the hardest to refute.
        if (crash.sentAt > known->sentAt) {
            known->sentAt = crash.sentAt;
            known->request = crash.request;
        }
        known->early = known->early || crash.early;
        return;
    }
    const auto position = std::upper_bound(
            suspect.crashes.begin(), suspect.crashes.end(), crash,
            [](const SuspectCrash &a, const SuspectCrash &b) { return a.at < b.at; });
    suspect.crashes.insert(position, crash);
    if (suspect.crashes.size() > limits.maxCrashes) {
        suspect.crashes.erase(suspect.crashes.begin());
    }
}

/// @return the crashes that no completion refutes
std::vector<SuspectCrash> unrefutedCrashes(const Suspect &suspect, const Completions &completions)
{
    std::vector<SuspectCrash> result;
    for (const SuspectCrash &crash : suspect.crashes) {
        if (crash.sentAt > completions.lastSentAt) {
            result.push_back(crash);
        }
    }
    return result;
}

bool wasSoundBefore(const Completions &completions, const CrashLimits &limits, Millis at)
{
    return completions.lastAt >= Millis(0) && at - completions.lastAt < limits.soundTime;
}

/// @return the crashes that no completion refutes, without those of a part that was sound just
/// before
std::vector<SuspectCrash> credibleCrashes(const SuspectKey &key, const Suspect &suspect,
                                          const Completions &completions, const CrashLimits &limits)
{
    std::vector<SuspectCrash> crashes = unrefutedCrashes(suspect, completions);
    if (key.kind == SuspectKind::PromptPart) {
        std::erase_if(crashes, [&](const SuspectCrash &crash) {
            return wasSoundBefore(completions, limits, crash.at)
                    && crash.at < completions.lastAt + limits.soundSilence;
        });
    }
    return crashes;
}

/// @return the runs of servers that convicted suspects of a kind ended, by the number of crashes of
/// the strongest of them
std::map<std::uint64_t, std::size_t> explainedRuns(const CrashEvidence &evidence)
{
    std::map<std::uint64_t, std::size_t> runs;
    for (const auto &[key, suspect] : evidence.suspects) {
        if (suspect.convicted) {
            for (const SuspectCrash &crash : suspect.crashes) {
                std::size_t &strongest = runs[crash.serverRun];
                strongest = std::max(strongest, suspect.crashes.size());
            }
        }
    }
    return runs;
}

/// @return the crashes among some of a suspect that no convicted suspect explains
std::vector<SuspectCrash> withoutExplained(const Suspect &suspect,
                                           std::vector<SuspectCrash> crashes,
                                           const std::map<std::uint64_t, std::size_t> &explained)
{
    const std::size_t unrefuted = unrefutedCrashes(suspect, suspect.completions).size();
    std::erase_if(crashes, [&](const SuspectCrash &crash) {
        const auto explanation = explained.find(crash.serverRun);
        return explanation != explained.end() && explanation->second >= unrefuted;
    });
    return crashes;
}

/// @return true if the crashes convict a suspect
bool suffice(const std::vector<SuspectCrash> &crashes, SuspectKind kind,
             const Completions &completions, const CrashLimits &limits)
{
    if (kind == SuspectKind::Request) {
        return crashes.size() >= limits.requestCrashes;
    }
    std::set<std::uint64_t> requests;
    std::size_t weight = 0;
    for (const SuspectCrash &crash : crashes) {
        requests.insert(crash.request);
        const bool isStrong = crash.early && !wasSoundBefore(completions, limits, crash.at);
        weight += isStrong ? limits.latePartCrashes : limits.earlyPartCrashes;
    }
    return weight >= limits.latePartCrashes * limits.earlyPartCrashes
            && requests.size() >= limits.partRequests;
}

/// A suspect against which enough crashes count.
struct Candidate
{
    SuspectKey key;
    bool neverSound = false;
    Millis lastCompletionAt; ///< -1 for none.
    std::vector<SuspectCrash> crashes; ///< Those that count.
    /// Crashes that are neither refuted nor explained. More of them than of those that count if
    /// requests with the suspect ended well shortly before.
    std::size_t open = 0;

    /// @return true if the evidence against this one is stronger
    [[nodiscard]] bool outranks(const Candidate &other) const
    {
        return std::make_tuple(this->neverSound, this->open, other.lastCompletionAt)
                > std::make_tuple(other.neverSound, other.open, this->lastCompletionAt);
    }

    [[nodiscard]] bool sharesCrashWith(const Candidate &other) const
    {
        return std::any_of(this->crashes.begin(), this->crashes.end(), [&](const auto &crash) {
            return std::any_of(other.crashes.begin(), other.crashes.end(), [&](const auto &known) {
                return known.serverRun == crash.serverRun;
            });
        });
    }
};

/// Marks the suspects against which enough crashes count.
/// @return those of a kind that have been candidates for the settle time, strongest first
std::vector<Candidate> settledCandidates(CrashEvidence &evidence, const CrashLimits &limits,
                                         SuspectKind kind, Millis now)
{
    std::vector<Candidate> settled;
    const std::map<std::uint64_t, std::size_t> explained = explainedRuns(evidence);
    for (auto &[key, suspect] : evidence.suspects) {
        if (key.kind != kind || suspect.convicted || suspect.crashes.size() < crashesToShare) {
            continue;
        }
        const std::vector<SuspectCrash> crashes = withoutExplained(
                suspect, credibleCrashes(key, suspect, suspect.completions, limits), explained);
        if (!suffice(crashes, kind, suspect.completions, limits)) {
            suspect.candidateSince = Millis(-1);
            continue;
        }
        if (suspect.candidateSince < Millis(0)) {
            suspect.candidateSince = now;
        }
        const Millis settleTime = kind == SuspectKind::Request ? Millis(0) : limits.settleTime;
        if (now - suspect.candidateSince >= settleTime) {
            const bool neverSound
                    = !wasSoundBefore(suspect.completions, limits, crashes.front().at);
            const std::size_t open
                    = withoutExplained(suspect, unrefutedCrashes(suspect, suspect.completions),
                                       explained)
                              .size();
            settled.push_back(
                    Candidate{key, neverSound, suspect.completions.lastAt, crashes, open});
        }
    }
    std::sort(settled.begin(), settled.end(),
              [](const Candidate &a, const Candidate &b) { return a.outranks(b); });
    return settled;
}

/// @return the candidates against which the evidence is at least as strong and rests on the same
/// crashes, the candidate itself included
std::vector<SuspectKey> tiedWith(const Candidate &candidate, const std::vector<Candidate> &all)
{
    std::vector<SuspectKey> tied;
    for (const Candidate &other : all) {
        if (!candidate.outranks(other) && candidate.sharesCrashWith(other)) {
            tied.push_back(other.key);
        }
    }
    return tied;
}

/// @return true if another suspect has more crashes and was present in those of a candidate: it is
/// not a candidate yet, because requests with it ended well for longer
bool isOvershadowed(const CrashEvidence &evidence, const Candidate &candidate)
{
    // The report of one crash under the other suspect may be missing, or still to come.
    constexpr std::size_t missingReports = 1;
    return std::any_of(evidence.suspects.begin(), evidence.suspects.end(), [&](const auto &entry) {
        const Suspect &other = entry.second;
        if (entry.first.kind != SuspectKind::PromptPart || other.convicted
            || entry.first == candidate.key || other.crashes.size() <= candidate.crashes.size()) {
            return false;
        }
        std::set<std::uint64_t> runs;
        for (const SuspectCrash &crash : unrefutedCrashes(other, other.completions)) {
            runs.insert(crash.serverRun);
        }
        const auto shared = std::count_if(
                candidate.crashes.begin(), candidate.crashes.end(),
                [&](const SuspectCrash &crash) { return runs.count(crash.serverRun) != 0; });
        return runs.size() > candidate.crashes.size()
                && static_cast<std::size_t>(shared) + missingReports >= candidate.crashes.size();
    });
}

/// @return the suspects that the strongest evidence convicts; empty where there are none
std::vector<SuspectKey> nextConvicted(const CrashEvidence &evidence,
                                      const std::vector<Candidate> &candidates, SuspectKind kind,
                                      const CrashLimits &limits)
{
    for (const Candidate &candidate : candidates) {
        if (kind == SuspectKind::Request) {
            return {candidate.key};
        }
        if (!candidate.neverSound && isOvershadowed(evidence, candidate)) {
            continue;
        }
        std::vector<SuspectKey> tied = tiedWith(candidate, candidates);
        const std::size_t needed
                = candidate.neverSound ? limits.earlyPartCrashes : limits.latePartCrashes;
        // One more crash mostly tells suspects apart that were hit by the same ones.
        if (tied.size() == 1 || candidate.crashes.size() > needed) {
            return tied;
        }
    }
    return {};
}

void convict(CrashEvidence &evidence, const CrashLimits &limits, const SuspectKey &key, Millis now)
{
    const auto convictedCount
            = std::count_if(evidence.suspects.begin(), evidence.suspects.end(),
                            [](const auto &entry) { return entry.second.convicted; });
    if (static_cast<std::size_t>(convictedCount) >= limits.maxConvicted) {
        const auto oldest = std::min_element(
                evidence.suspects.begin(), evidence.suspects.end(),
                [](const auto &a, const auto &b) {
                    return std::make_pair(!a.second.convicted, a.second.lastSeenAt)
                            < std::make_pair(!b.second.convicted, b.second.lastSeenAt);
                });
        evidence.suspects.erase(oldest);
    }
    Suspect &suspect = evidence.suspects.at(key);
    suspect.convicted = true;
    suspect.convictedAt = now;
    suspect.candidateSince = Millis(-1);
}

/// Acquits convicted suspects whose crashes have been refuted since, or are explained by a suspect
/// with more of them.
void acquit(CrashEvidence &evidence, const CrashLimits &limits)
{
    const std::map<std::uint64_t, std::size_t> explained = explainedRuns(evidence);
    for (auto &[key, suspect] : evidence.suspects) {
        if (!suspect.convicted) {
            continue;
        }
        std::vector<SuspectCrash> crashes = unrefutedCrashes(suspect, suspect.completions);
        std::erase_if(crashes, [&, own = suspect.crashes.size()](const SuspectCrash &crash) {
            return explained.at(crash.serverRun) > own;
        });
        if (!suffice(crashes, key.kind, suspect.completions, limits)) {
            suspect.convicted = false;
            suspect.convictedAt = Millis(-1);
        }
    }
}

} // namespace

std::uint64_t serverRunOf(const BackendServerId &server, std::int64_t startedAtWallMs) noexcept
{
    return mixHash(hash64(server.str()), static_cast<std::uint64_t>(startedAtWallMs));
}

void recordCrash(CrashEvidence &evidence, const CrashLimits &limits, const ServerCrash &crash,
                 Millis now)
{
    for (const BrokenRequest &request : crash.requests) {
        for (const SuspectKey &key : keysOf(request.traits)) {
            Suspect &suspect = suspectFor(evidence, limits, key);
            addCrash(suspect, limits,
                     SuspectCrash{crash.serverRun, request.traits.fingerprint.number(),
                                  request.sentAt, crash.at, request.early});
            suspect.lastSeenAt = std::max(suspect.lastSeenAt, now);
        }
    }
}

ServerCrash reportableCrash(const CrashEvidence &evidence, const ServerCrash &crash)
{
    ServerCrash reportable{crash.serverRun, crash.at, {}};
    for (const BrokenRequest &request : crash.requests) {
        BrokenRequest reported = request;
        std::erase_if(reported.traits.sharedParts, [&](std::uint64_t part) {
            return completionsOf(evidence, {SuspectKind::PromptPart, part}).lastSentAt
                    >= request.sentAt;
        });
        reportable.requests.push_back(std::move(reported));
    }
    return reportable;
}

void recordCompletion(CrashEvidence &evidence, const CrashLimits &limits,
                      const RequestTraits &traits, Millis sentAt, Millis now)
{
    const Completions completion{sentAt, now};
    for (const SuspectKey &key : keysOf(traits)) {
        const auto suspect = evidence.suspects.find(key);
        if (suspect != evidence.suspects.end()) {
            mergeInto(suspect->second.completions, completion);
        }
        if (key.kind == SuspectKind::PromptPart) {
            rememberCompletion(evidence, limits, key.id, completion);
        }
    }
}

void mergeCompletions(CrashEvidence &evidence, const PublishedCompletions &published)
{
    const auto suspect = evidence.suspects.find(published.suspect);
    if (suspect != evidence.suspects.end()) {
        mergeInto(suspect->second.completions, published.completions);
        mergeInto(suspect->second.published, published.completions);
    }
}

std::vector<PublishedCompletions> completionsToPublish(CrashEvidence &evidence,
                                                       const CrashLimits &limits)
{
    std::vector<PublishedCompletions> result;
    for (auto &[key, suspect] : evidence.suspects) {
        if (suspect.completions == suspect.published) {
            continue;
        }
        const std::size_t forOthers
                = credibleCrashes(key, suspect, suspect.published, limits).size();
        const std::size_t forThis
                = credibleCrashes(key, suspect, suspect.completions, limits).size();
        if (forThis < forOthers) {
            suspect.published = suspect.completions;
            result.push_back(PublishedCompletions{key, suspect.completions});
        }
    }
    return result;
}

std::vector<SuspectKey> judge(CrashEvidence &evidence, const CrashLimits &limits, Millis now)
{
    acquit(evidence, limits);
    std::vector<SuspectKey> convicted;
    // Parts first: the part explains why requests with it crashed servers.
    for (const SuspectKind kind : {SuspectKind::PromptPart, SuspectKind::Request}) {
        std::vector<SuspectKey> next;
        do {
            next = nextConvicted(evidence, settledCandidates(evidence, limits, kind, now), kind,
                                 limits);
            for (const SuspectKey &key : next) {
                convict(evidence, limits, key, now);
                convicted.push_back(key);
            }
        } while (!next.empty()); // A conviction may explain crashes of the other candidates.
    }
    return convicted;
}

std::optional<Millis> nextJudgement(const CrashEvidence &evidence, const CrashLimits &limits)
{
    std::optional<Millis> next;
    for (const auto &[key, suspect] : evidence.suspects) {
        if (suspect.candidateSince >= Millis(0)) {
            const Millis at = suspect.candidateSince + limits.settleTime;
            next = next ? std::min(*next, at) : at;
        }
    }
    return next;
}

std::optional<SuspectKey> convictedSuspect(const CrashEvidence &evidence,
                                           const RequestTraits &traits)
{
    for (const SuspectKey &key : keysOf(traits)) {
        const auto suspect = evidence.suspects.find(key);
        if (suspect != evidence.suspects.end() && suspect->second.convicted) {
            return key;
        }
    }
    return std::nullopt;
}

bool isUnderJudgement(const CrashEvidence &evidence, const CrashLimits &limits,
                      const RequestTraits &traits, Millis now)
{
    const std::vector<SuspectKey> keys = keysOf(traits);
    return std::any_of(keys.begin(), keys.end(), [&](const SuspectKey &key) {
        const auto suspect = evidence.suspects.find(key);
        return suspect != evidence.suspects.end() && suspect->second.candidateSince >= Millis(0)
                && now - suspect->second.candidateSince < limits.settleTime;
    });
}

void recordRefusal(CrashEvidence &evidence, const SuspectKey &suspect, Millis now)
{
    const auto found = evidence.suspects.find(suspect);
    if (found != evidence.suspects.end()) {
        found->second.lastSeenAt = std::max(found->second.lastSeenAt, now);
    }
}

void mergeSuspect(CrashEvidence &evidence, const CrashLimits &limits, const SuspectKey &key,
                  const Suspect &received)
{
    Suspect &suspect = suspectFor(evidence, limits, key);
    for (const SuspectCrash &crash : received.crashes) {
        addCrash(suspect, limits, crash);
    }
    mergeInto(suspect.completions, received.completions);
    // The sender may have missed what was published.
    suspect.published.lastSentAt
            = std::min(suspect.published.lastSentAt, received.completions.lastSentAt);
    suspect.published.lastAt = std::min(suspect.published.lastAt, received.completions.lastAt);
    const Millis lastSeenAt = received.lastSeenAt;
    suspect.lastSeenAt = std::max(suspect.lastSeenAt, lastSeenAt);
}

std::vector<SuspectKey> suspectsToShare(const CrashEvidence &evidence, std::size_t most)
{
    std::vector<std::pair<Millis, SuspectKey>> shared;
    for (const auto &[key, suspect] : evidence.suspects) {
        if (suspect.convicted
            || unrefutedCrashes(suspect, suspect.completions).size() >= crashesToShare) {
            shared.emplace_back(suspect.lastSeenAt, key);
        }
    }
    std::sort(shared.begin(), shared.end(),
              [](const auto &a, const auto &b) { return a.first > b.first; });
    std::vector<SuspectKey> keys;
    for (const auto &[seenAt, key] : shared) {
        if (keys.size() < most) {
            keys.push_back(key);
        }
    }
    return keys;
}

void expireEvidence(CrashEvidence &evidence, const CrashLimits &limits, Millis now)
{
    std::erase_if(evidence.suspects, [&](const auto &entry) {
        return now - entry.second.lastSeenAt >= limits.retention;
    });
}

} // namespace balsamport
