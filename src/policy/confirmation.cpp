#include <balsamport/policy/confirmation.h>

#include <balsamport/core/rendezvous.h>

#include <algorithm>
#include <functional>

namespace balsamport {

namespace {

using Votes = std::map<VmId, Millis>;

/// Time until which at least `quorum` of the voters stand by their votes.
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

Millis presentUntil(const VmId &member, const Ballots &ballots, const PlatformList &list,
                    Millis viewLifetime)
{
    const std::vector<VmId> voters = votersOn(member, list);
    const auto votes = ballots.present.find(member);
    if (voters.empty() || votes == ballots.present.end()) {
        return Millis();
    }
    const Millis byMajority = quorumUntil(voters, votes->second, goneQuorum(voters.size()));
    const Millis byQuorum = quorumUntil(voters, votes->second, presentQuorum(voters.size()));
    const Millis byPlatform = std::min(byQuorum, list.readAt + viewLifetime);
    return std::max(byMajority, byPlatform);
}

Millis goneUntil(const VmId &member, const Ballots &ballots, const PlatformList &list)
{
    const std::vector<VmId> voters = votersOn(member, list);
    const auto votes = ballots.gone.find(member);
    if (voters.empty() || votes == ballots.gone.end()) {
        return Millis();
    }
    return quorumUntil(voters, votes->second, goneQuorum(voters.size()));
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

bool runs(const Votes &promises, const VmId &member, Millis now)
{
    const auto found = promises.find(member);
    return found != promises.end() && found->second > now;
}

} // namespace

std::vector<VmId> votersOn(const VmId &member, const PlatformList &list)
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
    if (now < state.abstainUntil || runs(state.goneUntil, member, now)) {
        return false;
    }
    Millis &until = state.presentUntil[member];
    until = std::max(until, now + promiseTime(viewLifetime));
    return true;
}

bool voteGone(VoterState &state, const VmId &member, bool believesGone, Millis now,
              Millis viewLifetime)
{
    if (now < state.abstainUntil || !believesGone || runs(state.presentUntil, member, now)) {
        return false;
    }
    Millis &until = state.goneUntil[member];
    until = std::max(until, now + promiseTime(viewLifetime));
    return true;
}

Millis confirmedUntil(const OwnershipClaim &claim, const Ballots &ballots, const PlatformList &list,
                      Millis viewLifetime)
{
    if (claim.present.empty()) {
        return Millis();
    }
    Millis earliest = presentUntil(*claim.present.begin(), ballots, list, viewLifetime);
    for (const VmId &member : claim.present) {
        earliest = std::min(earliest, presentUntil(member, ballots, list, viewLifetime));
    }
    for (const VmId &member : claim.gone) {
        earliest = std::min(earliest, goneUntil(member, ballots, list));
    }
    return earliest;
}

void expireVotes(VoterState &voter, Ballots &ballots, Millis now)
{
    expire(voter.presentUntil, now);
    expire(voter.goneUntil, now);
    expire(ballots.present, now);
    expire(ballots.gone, now);
}

} // namespace balsamport
