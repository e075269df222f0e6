#ifndef BALSAMPORT_POLICY_CRASH_EVIDENCE_H
#define BALSAMPORT_POLICY_CRASH_EVIDENCE_H

#include <balsamport/core/clock.h>
#include <balsamport/core/ids.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

/// @file
/// Decides which requests and which parts of prompts crash backend servers, from what all daemons
/// have observed.
///
/// A crash ends every request of the server's batch, so most requests that end with a server are
/// innocent. Two kinds of evidence tell them apart: the crashes of different servers under a
/// suspect, and the complete responses under it. A crash counts only if no request with the suspect
/// that was sent later has received a complete response from any daemon. A crash that a convicted
/// suspect explains does not count against the others that it hit.
///
/// Each daemon keeps the evidence of all daemons and judges by itself. Evidence can be merged in
/// any order and more than once.

namespace balsamport {

/// @brief What the requests that a suspect identifies have in common.
enum class SuspectKind : std::uint8_t {
    Request, ///< The target and the body: one request under several ids.
    PromptPart, ///< One part of the prompt, other than the last.
};

/// @brief Identifies a suspect.
struct SuspectKey
{
    SuspectKind kind = SuspectKind::Request;
    std::uint64_t id = 0; ///< The request's fingerprint, or the id of the part.

    auto operator<=>(const SuspectKey &) const = default;
};

/// @brief What may make a request crash servers: its fingerprint, and the parts of its prompt that
/// other requests may share.
struct RequestTraits
{
    Fingerprint fingerprint;
    std::vector<std::uint64_t> sharedParts;

    bool operator==(const RequestTraits &) const = default;
};

/// @brief The end of one run of a backend server while a request with a suspect was in progress.
struct SuspectCrash
{
    std::uint64_t serverRun = 0; ///< Identifies the server and its start; serverRunOf().
    std::uint64_t request = 0; ///< Fingerprint of the request.
    Millis sentAt; ///< When the request was sent to the server.
    Millis at; ///< When it broke off.
    /// The response had just begun, or not yet: what crashes a server does so when it begins.
    bool early = true;

    bool operator==(const SuspectCrash &) const = default;
};

/// @brief The newest complete responses under a suspect.
struct Completions
{
    /// Send time of the completed request that was sent last; -1 for none.
    Millis lastSentAt{-1};
    Millis lastAt{-1}; ///< When the last one was complete; -1 for none.

    bool operator==(const Completions &) const = default;
};

/// @brief Evidence on one suspect. All times are on this daemon's monotonic clock.
struct Suspect
{
    std::vector<SuspectCrash> crashes; ///< One for each run of a server, oldest first.
    Completions completions;
    /// Newest completions that all daemons know of.
    Completions published;
    Millis candidateSince{-1}; ///< Since when enough crashes count for a conviction; -1 if not.
    bool convicted = false;
    Millis convictedAt{-1};
    Millis lastSeenAt; ///< When a request with it last crashed a server or was refused.

    bool operator==(const Suspect &) const = default;
};

/// @brief Limits of the evidence and of convictions.
struct CrashLimits
{
    std::size_t requestCrashes = 2; ///< Runs of servers that convict a request.
    /// Runs of servers that convict a part by early crashes alone, and by late ones alone. The
    /// crashes of a part that was sound before count as late ones. Source: the users' rules bound
    /// the sends after the fifth crash.
    std::size_t earlyPartCrashes = 3;
    std::size_t latePartCrashes = 5;
    /// Different requests among them: one request that is retried is no evidence on its parts.
    std::size_t partRequests = 2;
    /// Time in which the reports of other daemons on the same crashes arrive: a delay between
    /// regions, with a margin for busy machines.
    Millis settleTime{250};
    /// A part with a complete response within this time was sound until then.
    Millis soundTime{60'000};
    /// Against such a part a crash counts only this long after the last complete response: when
    /// many servers end at once, each of them runs requests with the commonest parts.
    Millis soundSilence{1'500};
    /// Evidence is dropped when no request with the suspect was seen for this time.
    Millis retention{120'000};
    std::size_t maxSuspects = 2'000; ///< Those that are convicted included.
    std::size_t maxConvicted = 200;
    std::size_t maxCompletions = 2'000; ///< Parts in each of two generations.
    std::size_t maxCrashes = 12; ///< Of each suspect.

    bool operator==(const CrashLimits &) const = default;
};

/// @brief All evidence that a daemon has. Changed by the functions below only.
struct CrashEvidence
{
    std::map<SuspectKey, Suspect> suspects;
    /// Complete responses under parts that are no suspects, in two generations of bounded size.
    std::unordered_map<std::uint64_t, Completions> newCompletions;
    std::unordered_map<std::uint64_t, Completions> oldCompletions;

    bool operator==(const CrashEvidence &) const = default;
};

/// @brief A request that broke off because its server ended.
struct BrokenRequest
{
    RequestTraits traits;
    Millis sentAt;
    bool early = true; ///< See SuspectCrash.

    bool operator==(const BrokenRequest &) const = default;
};

/// @brief The end of a run of a server, with requests that it broke off.
struct ServerCrash
{
    std::uint64_t serverRun = 0;
    Millis at;
    std::vector<BrokenRequest> requests;

    bool operator==(const ServerCrash &) const = default;
};

/// @brief Complete responses under a suspect, as one daemon sends them to the others.
struct PublishedCompletions
{
    SuspectKey suspect;
    Completions completions;

    bool operator==(const PublishedCompletions &) const = default;
};

/// @return a number that identifies one run of a server
[[nodiscard]] std::uint64_t serverRunOf(const BackendServerId &server,
                                        std::int64_t startedAtWallMs) noexcept;

/// @brief Records the requests that a crash broke off. Repeated reports of one crash count once.
void recordCrash(CrashEvidence &evidence, const CrashLimits &limits, const ServerCrash &crash,
                 Millis now);

/// @return the requests and parts of a crash that are worth reporting to the other daemons: those
/// without a later completion that this daemon knows of
[[nodiscard]] ServerCrash reportableCrash(const CrashEvidence &evidence, const ServerCrash &crash);

/// @brief Records a complete response.
void recordCompletion(CrashEvidence &evidence, const CrashLimits &limits,
                      const RequestTraits &traits, Millis sentAt, Millis now);

/// @brief Merges the completions that another daemon published.
void mergeCompletions(CrashEvidence &evidence, const PublishedCompletions &published);

/// @brief Returns the completions that other daemons lack: those that refute crashes which count
/// for them. They count as published from then on.
[[nodiscard]] std::vector<PublishedCompletions> completionsToPublish(CrashEvidence &evidence,
                                                                     const CrashLimits &limits);

/// @brief Convicts the suspects against which enough crashes count, and acquits those against which
/// they no longer do. Of several that the same crashes hit, only the one with the stronger evidence
/// is convicted.
/// @return the suspects that are convicted now and were not before
[[nodiscard]] std::vector<SuspectKey> judge(CrashEvidence &evidence, const CrashLimits &limits,
                                            Millis now);

/// @return when judge() may next decide something without further evidence
[[nodiscard]] std::optional<Millis> nextJudgement(const CrashEvidence &evidence,
                                                  const CrashLimits &limits);

/// @return the convicted suspect that a request has; nothing if it may be sent
[[nodiscard]] std::optional<SuspectKey> convictedSuspect(const CrashEvidence &evidence,
                                                         const RequestTraits &traits);

/// @return true if a suspect of the request is about to be judged: the request waits meanwhile
[[nodiscard]] bool isUnderJudgement(const CrashEvidence &evidence, const CrashLimits &limits,
                                    const RequestTraits &traits, Millis now);

/// @brief Records that a request was refused because of a suspect, which keeps the conviction.
void recordRefusal(CrashEvidence &evidence, const SuspectKey &suspect, Millis now);

/// @brief Adds another daemon's evidence on a suspect: its crashes, the completions that the
/// daemon knows of, and when a request with it was last seen. The verdict is each daemon's own.
void mergeSuspect(CrashEvidence &evidence, const CrashLimits &limits, const SuspectKey &key,
                  const Suspect &received);

/// @brief Returns the suspects that all daemons should know: convicted ones, and those against
/// which at least two crashes count. Newest first.
[[nodiscard]] std::vector<SuspectKey> suspectsToShare(const CrashEvidence &evidence,
                                                      std::size_t most);

/// @brief Drops evidence that has expired.
void expireEvidence(CrashEvidence &evidence, const CrashLimits &limits, Millis now);

} // namespace balsamport

#endif
