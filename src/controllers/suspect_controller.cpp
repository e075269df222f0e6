#include <balsamport/controllers/suspect_controller.h>

#include <balsamport/core/log.h>
#include <balsamport/core/rendezvous.h>
#include <balsamport/wire/convert.h>

#include <algorithm>

namespace balsamport {

namespace {

constexpr Millis gossipInterval{2'000};
constexpr Millis feedInterval{1'000};
/// Suspects that are sent in one message.
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
    wire::Envelope answer;
    answer.mutable_ack();
    reply(std::move(answer));
}

} // namespace

std::optional<Member> suspectHome(Fingerprint fingerprint, const std::vector<Member> &members)
{
    std::vector<VmId> candidates;
    for (const Member &member : members) {
        if (member.state != MemberState::Dead) {
            candidates.push_back(member.instance.vm);
        }
    }
    const auto home = rendezvousFirst(std::to_string(fingerprint.number()), candidates);
    if (!home) {
        return std::nullopt;
    }
    return *std::find_if(members.begin(), members.end(),
                         [&home](const Member &member) { return member.instance.vm == *home; });
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
        this->limits.aloneLease = snapshot->limits.requestTimeout;
    }
    this->members = members;
    std::set<VmInstance> known;
    for (const Member &member : members) {
        known.insert(member.instance);
        const bool isNew = !this->greeted.contains(member.instance);
        if (isNew && member.instance != this->self && this->table.size() > 0) {
            this->messages.notify(member.controllerEndpoint, this->gossipOfAll(monotonicNow()));
        }
    }
    this->greeted = std::move(known);
}

wire::ListedSuspect SuspectController::listedNow(Fingerprint fingerprint, Millis now) const
{
    wire::ListedSuspect listed;
    listed.set_fingerprint(fingerprint.number());
    const SuspectVerdict verdict = this->table.look(fingerprint, now, this->limits);
    listed.set_quarantined(verdict == SuspectVerdict::Quarantine);
    listed.set_cleared(verdict == SuspectVerdict::Clear);
    return listed;
}

wire::Envelope SuspectController::gossipOfAll(Millis now) const
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

SuspectController::Change SuspectController::apply(const wire::SuspectReport &report, Millis now)
{
    const Fingerprint fingerprint(report.fingerprint());
    const RequestId request(report.request_id());
    const std::size_t quarantinedBefore = this->table.quarantinedCount();
    Change change;
    if (report.what() == wire::SuspectReport::CRASHED) {
        const Millis at = now - Millis(report.age_ms());
        change.any = this->table.noteCrash(
                {fingerprint, request, BackendServerId(report.backend_server()), at}, this->limits);
    } else if (report.what() == wire::SuspectReport::FINISHED) {
        change.any = this->table.noteFinish(fingerprint);
    } else if (report.what() == wire::SuspectReport::QUARANTINED) {
        change.any = this->table.noteQuarantine(fingerprint, now - Millis(report.age_ms()),
                                                this->limits);
    } else if (report.what() == wire::SuspectReport::RUN_ENDED) {
        this->table.noteRunEnded(fingerprint, request);
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
                ? this->table.noteQuarantine(fingerprint, at, this->limits)
                : this->table.noteSuspicion(
                        {fingerprint, RequestId(), BackendServerId(listed.backend_server()), at},
                        this->limits);
        if (changed) {
            this->feed(this->listedNow(fingerprint, now));
        }
    }
}

void SuspectController::feed(const wire::ListedSuspect &change)
{
    wire::Envelope news;
    *news.mutable_suspect_reply()->add_listed() = change;
    for (const auto &[vm, reply] : this->feeds) {
        reply(news);
    }
}

void SuspectController::tellPeers(const wire::ListedSuspect &change)
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
    wire::Envelope whole;
    wire::SuspectReply &body = *whole.mutable_suspect_reply();
    for (const SuspectTable::Listed &suspect : this->table.list()) {
        *body.add_listed() = this->listedNow(suspect.fingerprint, now);
    }
    reply(whole);
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
        const SuspectVerdict verdict
                = this->table.ask(fingerprint, RequestId(report.request_id()), now, this->limits);
        LOG(INFO) << logprefix::suspect << "Asked. fingerprint=" << fingerprint
                  << " request=" << report.request_id()
                  << " verdict=" << wire::SuspectReply::Verdict_Name(toWire(verdict));
        wire::Envelope answer;
        answer.mutable_suspect_reply()->set_verdict(toWire(verdict));
        reply(std::move(answer));
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
    const Change change = this->apply(report, now);
    if (change.any) {
        LOG(INFO) << logprefix::suspect << "Noted. fingerprint=" << fingerprint
                  << " what=" << wire::SuspectReport::What_Name(report.what())
                  << " server=" << report.backend_server() << " quarantined=" << change.quarantined;
        this->feed(this->listedNow(fingerprint, now));
    }
    if (change.quarantined) {
        this->tellPeers(this->listedNow(fingerprint, now));
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
        this->messages.notify(peer.controllerEndpoint, this->gossipOfAll(now));
    }
}

void SuspectController::fillStatus(wire::StatusReply &status)
{
    const std::scoped_lock lock(this->mutex);
    status.set_suspects(this->table.size());
    status.set_quarantined(this->table.quarantinedCount());
}

SuspectVerdict SuspectController::look(Fingerprint fingerprint)
{
    const std::scoped_lock lock(this->mutex);
    return this->table.look(fingerprint, monotonicNow(), this->limits);
}

} // namespace balsamport
