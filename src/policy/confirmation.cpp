#include <balsamport/policy/confirmation.h>

#include <balsamport/core/rendezvous.h>

#include <algorithm>
#include <functional>

namespace balsamport {

namespace {

using Votes = std::map<VmId, Millis>;

/// Time until which votes of at least `quorum` voters are valid.
Millis quorumUntil(const std::vector<VmId> &voters, const Votes &votes, std::size_t quorum)
{
    std::vector<Millis> times;
    for (const VmId &voter : voters) {
        const auto vote = votes.find(voter);
        if (vote != votes.end()) {
            times.push_back(vote->second);
        }
    }
    if (quorum == 0 || times.size() < quorum) {
        return Millis();
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[quorum - 1];
}

Millis presentUntil(const VmId &member, const CollectedVotes &collectedVotes,
                    const PlatformList &list, Millis viewLifetime)
{
    const std::vector<VmId> voters = votersFor(member, list);
    const auto votes = collectedVotes.present.find(member);
    if (voters.empty() || votes == collectedVotes.present.end()) {
        return Millis();
    }
    const Millis byMajority = quorumUntil(voters, votes->second, departedQuorum(voters.size()));
    const Millis byQuorum = quorumUntil(voters, votes->second, presentQuorum(voters.size()));
    const Millis byPlatform = std::min(byQuorum, list.readAt + viewLifetime);
    return std::max(byMajority, byPlatform);
}

Millis departedUntil(const VmId &member, const CollectedVotes &collectedVotes,
                     const PlatformList &list)
{
    const std::vector<VmId> voters = votersFor(member, list);
    const auto votes = collectedVotes.departed.find(member);
    if (voters.empty() || votes == collectedVotes.departed.end()) {
        return Millis();
    }
    return quorumUntil(voters, votes->second, departedQuorum(voters.size()));
}

void expire(Votes &votes, Millis now)
{
    std::erase_if(votes, [now](const auto &vote) { return vote.second <= now; });
}

void expire(std::map<VmId, Votes> &subjects, Millis now)
{
    for (auto &[subject, votes] : subjects) {
        expire(votes, now);
    }
    std::erase_if(subjects, [](const auto &subject) { return subject.second.empty(); });
}

bool isPromiseActive(const Votes &promises, const VmId &member, Millis now)
{
    const auto found = promises.find(member);
    return found != promises.end() && found->second > now;
}

} // namespace

std::vector<VmId> votersFor(const VmId &member, const PlatformList &list)
{
    const ListedVm *listed = findListed(list, member);
    if (listed == nullptr) {
        return {};
    }
    std::vector<VmId> peers = listedIn(list, listed->dataCentre);
    std::erase(peers, member);
    peers = rendezvousRank("voters-on-" + member.str(), std::move(peers));
    if (peers.size() > maxVoters - 1) {
        peers.resize(maxVoters - 1);
    }
    peers.insert(peers.begin(), member);
    return peers;
}

bool votePresent(VoterState &state, const VmId &member, Millis now, Millis viewLifetime)
{
    if (now < state.abstainUntil || isPromiseActive(state.departedUntil, member, now)) {
        return false;
    }
    Millis &until = state.presentUntil[member];
    until = std::max(until, now + promiseDuration(viewLifetime));
    return true;
}

bool voteDeparted(VoterState &state, const VmId &member, bool assumesDeparted, Millis now,
                  Millis viewLifetime)
{
    if (now < state.abstainUntil || !assumesDeparted
        || isPromiseActive(state.presentUntil, member, now)) {
        return false;
    }
    Millis &until = state.departedUntil[member];
    until = std::max(until, now + promiseDuration(viewLifetime));
    return true;
}

Millis confirmedUntil(const OwnershipConditions &conditions, const CollectedVotes &collectedVotes,
                      const PlatformList &list, Millis viewLifetime)
{
    if (conditions.present.empty()) {
        return Millis();
    }
    Millis earliest = presentUntil(*conditions.present.begin(), collectedVotes, list, viewLifetime);
    for (const VmId &member : conditions.present) {
        earliest = std::min(earliest, presentUntil(member, collectedVotes, list, viewLifetime));
    }
    for (const VmId &member : conditions.departed) {
        earliest = std::min(earliest, departedUntil(member, collectedVotes, list));
    }
    return earliest;
}

void expireVotes(VoterState &voter, CollectedVotes &collectedVotes, Millis now)
{
    expire(voter.presentUntil, now);
    expire(voter.departedUntil, now);
    expire(collectedVotes.present, now);
    expire(collectedVotes.departed, now);
}

} // namespace balsamport
