#include <balsamport/controllers/suspect_controller.h>

#include <balsamport/core/log.h>
#include <balsamport/core/rendezvous.h>
#include <balsamport/wire/convert.h>

#include <algorithm>

namespace balsamport {

namespace {

constexpr Millis gossipInterval{2'000};
constexpr Millis feedInterval{1'000};
/// Largest number of suspects in one message.
constexpr int maxListed = 1'000;

wire::SuspectReply::Verdict toWire(SuspectVerdict verdict)
{
    switch (verdict) {
    case SuspectVerdict::Clear:
        return wire::SuspectReply::CLEAR;
    case SuspectVerdict::RunAlone:
        return wire::SuspectReply::RUN_ALONE;
    case SuspectVerdict::Wait:
        return wire::SuspectReply::WAIT;
    case SuspectVerdict::Quarantine:
        break;
    }
    return wire::SuspectReply::QUARANTINE;
}

void acknowledge(const ReplySender &reply)
{
    wire::Envelope envelope;
    envelope.mutable_ack();
    reply(std::move(envelope));
}

} // namespace

std::optional<Member> suspectCoordinator(Fingerprint fingerprint,
                                         const std::vector<Member> &members)
{
    std::vector<VmId> candidates;
    for (const Member &member : members) {
        if (member.state != MemberState::Dead) {
            candidates.push_back(member.instance.vm);
        }
    }
    const auto coordinator = rendezvousFirst(std::to_string(fingerprint.number()), candidates);
    if (!coordinator) {
        return std::nullopt;
    }
    return *std::find_if(members.begin(), members.end(), [&coordinator](const Member &member) {
        return member.instance.vm == *coordinator;
    });
}

SuspectController::SuspectController(MessageClient &messages, VmInstance self)
    : messages(messages)
    , self(std::move(self))
{ }

void SuspectController::update(const SnapshotPtr &snapshot, const std::vector<Member> &members)
{
    const std::scoped_lock lock(this->mutex);
    if (snapshot) {
        this->limits.quarantineTime = snapshot->limits.quarantineTime;
        this->limits.runAloneLease = snapshot->limits.requestTimeout;
    }
    this->members = members;
    std::set<VmInstance> known;
    for (const Member &member : members) {
        known.insert(member.instance);
        const bool isNew = !this->introducedPeers.contains(member.instance);
        if (isNew && member.instance != this->self && this->table.size() > 0) {
            this->messages.notify(member.controllerEndpoint, this->fullGossip(monotonicNow()));
        }
    }
    this->introducedPeers = std::move(known);
}

wire::ListedSuspect SuspectController::currentListing(Fingerprint fingerprint, Millis now) const
{
    wire::ListedSuspect listed;
    listed.set_fingerprint(fingerprint.number());
    const SuspectVerdict verdict = this->table.verdictFor(fingerprint, now, this->limits);
    listed.set_quarantined(verdict == SuspectVerdict::Quarantine);
    listed.set_cleared(verdict == SuspectVerdict::Clear);
    return listed;
}

wire::Envelope SuspectController::fullGossip(Millis now) const
{
    wire::Envelope message;
    wire::SuspectReport &report = *message.mutable_suspect_report();
    report.set_what(wire::SuspectReport::GOSSIP);
    for (const SuspectTable::Listed &suspect : this->table.list()) {
        if (report.listed_size() >= maxListed) {
            break;
        }
        wire::ListedSuspect &listed = *report.add_listed();
        listed.set_fingerprint(suspect.fingerprint.number());
        listed.set_quarantined(suspect.quarantined);
        listed.set_backend_server(suspect.lastServer.str());
        listed.set_age_ms(static_cast<std::uint32_t>(
                std::max<std::int64_t>(0, (now - suspect.lastAt).count())));
    }
    return message;
}

SuspectController::Change SuspectController::applyReport(const wire::SuspectReport &report,
                                                         Millis now)
{
    const Fingerprint fingerprint(report.fingerprint());
    const RequestId request(report.request_id());
    const std::size_t quarantinedBefore = this->table.quarantinedCount();
    Change change;
    if (report.what() == wire::SuspectReport::CRASHED) {
        const Millis at = now - Millis(report.age_ms());
        change.any = this->table.recordCrash(
                {fingerprint, request, BackendServerId(report.backend_server()), at}, this->limits);
    } else if (report.what() == wire::SuspectReport::FINISHED) {
        change.any = this->table.recordFinish(fingerprint);
    } else if (report.what() == wire::SuspectReport::QUARANTINED) {
        change.any = this->table.recordQuarantine(fingerprint, now - Millis(report.age_ms()),
                                                  this->limits);
    } else if (report.what() == wire::SuspectReport::RUN_ENDED) {
        this->table.recordRunEnd(fingerprint, request);
    }
    change.quarantined = this->table.quarantinedCount() > quarantinedBefore;
    return change;
}

void SuspectController::applyGossip(const wire::SuspectReport &report, Millis now)
{
    for (const wire::ListedSuspect &listed : report.listed()) {
        const Fingerprint fingerprint(listed.fingerprint());
        const Millis at = now - Millis(listed.age_ms());
        if (now >= at + this->limits.quarantineTime) {
            continue;
        }
        const bool changed = listed.quarantined()
                ? this->table.recordQuarantine(fingerprint, at, this->limits)
                : this->table.recordSuspicion(
                        {fingerprint, RequestId(), BackendServerId(listed.backend_server()), at},
                        this->limits);
        if (changed) {
            this->publish(this->currentListing(fingerprint, now));
        }
    }
}

void SuspectController::publish(const wire::ListedSuspect &change)
{
    wire::Envelope message;
    *message.mutable_suspect_reply()->add_listed() = change;
    for (const auto &[vm, reply] : this->feeds) {
        reply(message);
    }
}

void SuspectController::gossipToPeers(const wire::ListedSuspect &change)
{
    wire::Envelope message;
    wire::SuspectReport &report = *message.mutable_suspect_report();
    report.set_what(wire::SuspectReport::GOSSIP);
    *report.add_listed() = change;
    for (const Member &member : this->members) {
        if (member.instance != this->self && member.state != MemberState::Dead) {
            this->messages.notify(member.controllerEndpoint, message);
        }
    }
}

void SuspectController::openFeed(const wire::Envelope &message, const ReplySender &reply,
                                 Millis now)
{
    wire::Envelope complete;
    wire::SuspectReply &body = *complete.mutable_suspect_reply();
    for (const SuspectTable::Listed &suspect : this->table.list()) {
        *body.add_listed() = this->currentListing(suspect.fingerprint, now);
    }
    reply(complete);
    this->feeds[VmId(message.sender().vm())] = reply;
}

void SuspectController::handle(const wire::Envelope &message, const ReplySender &reply)
{
    if (!message.has_suspect_report()) {
        return;
    }
    const wire::SuspectReport &report = message.suspect_report();
    const Fingerprint fingerprint(report.fingerprint());
    const Millis now = monotonicNow();
    const std::scoped_lock lock(this->mutex);
    if (report.what() == wire::SuspectReport::QUERY) {
        const SuspectVerdict verdict = this->table.requestRun(
                fingerprint, RequestId(report.request_id()), now, this->limits);
        LOG(INFO) << logprefix::suspect << "Answered a query. fingerprint=" << fingerprint
                  << " request=" << report.request_id()
                  << " verdict=" << wire::SuspectReply::Verdict_Name(toWire(verdict));
        wire::Envelope envelope;
        envelope.mutable_suspect_reply()->set_verdict(toWire(verdict));
        reply(std::move(envelope));
        return;
    }
    if (report.what() == wire::SuspectReport::FEED) {
        this->openFeed(message, reply, now);
        return;
    }
    if (report.what() == wire::SuspectReport::GOSSIP) {
        this->applyGossip(report, now);
        acknowledge(reply);
        return;
    }
    const Change change = this->applyReport(report, now);
    if (change.any) {
        LOG(INFO) << logprefix::suspect << "Applied a report. fingerprint=" << fingerprint
                  << " what=" << wire::SuspectReport::What_Name(report.what())
                  << " server=" << report.backend_server() << " quarantined=" << change.quarantined;
        this->publish(this->currentListing(fingerprint, now));
    }
    if (change.quarantined) {
        this->gossipToPeers(this->currentListing(fingerprint, now));
    }
    acknowledge(reply);
}

void SuspectController::tick(Millis now)
{
    const std::scoped_lock lock(this->mutex);
    if (now >= this->nextFeed) {
        this->nextFeed = now + feedInterval;
        this->table.expire(now, this->limits);
        wire::Envelope keepAlive;
        keepAlive.mutable_suspect_reply();
        for (const auto &[vm, reply] : this->feeds) {
            reply(keepAlive);
        }
    }
    if (now < this->nextGossip || this->members.empty() || this->table.size() == 0) {
        return;
    }
    this->nextGossip = now + gossipInterval;
    this->nextPeer = (this->nextPeer + 1) % this->members.size();
    const Member &peer = this->members[this->nextPeer];
    if (peer.instance != this->self && peer.state != MemberState::Dead) {
        this->messages.notify(peer.controllerEndpoint, this->fullGossip(now));
    }
}

void SuspectController::fillStatus(wire::StatusReply &status)
{
    const std::scoped_lock lock(this->mutex);
    status.set_suspects(this->table.size());
    status.set_quarantined(this->table.quarantinedCount());
}

SuspectVerdict SuspectController::verdictFor(Fingerprint fingerprint)
{
    const std::scoped_lock lock(this->mutex);
    return this->table.verdictFor(fingerprint, monotonicNow(), this->limits);
}

} // namespace balsamport
