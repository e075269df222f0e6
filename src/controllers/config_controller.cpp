#include <balsamport/controllers/config_controller.h>

#include <balsamport/core/hash.h>
#include <balsamport/core/log.h>

#include <algorithm>

namespace balsamport {

namespace {

constexpr Millis pullTimeout{2'000};
constexpr int maxPullRounds = 1'000;
constexpr std::size_t maxCandidates = 8;
constexpr std::size_t maxLoggedErrors = 20;

} // namespace

wire::ConfigReply makeConfigReply(const RevisionContent *inForce, const wire::ConfigPull &pull)
{
    wire::ConfigReply reply;
    if (inForce == nullptr) {
        return reply;
    }
    reply.set_revision(inForce->revision.number());
    reply.set_digest(inForce->digest);
    if (pull.have_revision() == reply.revision() && pull.have_digest() == reply.digest()) {
        reply.set_unchanged(true);
        return reply;
    }
    std::map<std::string, std::uint64_t> peerDigests;
    for (const wire::FileDigest &file : pull.have_files()) {
        peerDigests.emplace(file.name(), file.digest());
    }
    std::size_t bytes = 0;
    for (const SourceFile &file : inForce->files) {
        const auto found = peerDigests.find(file.name);
        const bool same = found != peerDigests.end() && found->second == hash64(file.content);
        if (found != peerDigests.end()) {
            peerDigests.erase(found);
        }
        if (same || (bytes > 0 && bytes + file.content.size() > maxPullBytes)) {
            continue;
        }
        bytes += file.content.size();
        wire::ConfigFile *changed = reply.add_changed();
        changed->set_name(file.name);
        changed->set_content(file.content);
    }
    for (const auto &[name, digest] : peerDigests) {
        reply.add_removed(name);
    }
    return reply;
}

wire::ConfigPull makeConfigPull(ConfigRevision revision, std::uint64_t digest,
                                const std::vector<SourceFile> &files)
{
    wire::ConfigPull pull;
    pull.set_have_revision(revision.number());
    pull.set_have_digest(digest);
    for (const SourceFile &file : files) {
        wire::FileDigest *entry = pull.add_have_files();
        entry->set_name(file.name);
        entry->set_digest(hash64(file.content));
    }
    return pull;
}

std::vector<SourceFile> mergeConfigReply(std::vector<SourceFile> files,
                                         const wire::ConfigReply &reply)
{
    std::map<std::string, std::string> contents;
    for (SourceFile &file : files) {
        contents[file.name] = std::move(file.content);
    }
    for (const std::string &name : reply.removed()) {
        contents.erase(name);
    }
    for (const wire::ConfigFile &file : reply.changed()) {
        contents[file.name()] = file.content();
    }
    std::vector<SourceFile> merged;
    for (auto &[name, content] : contents) {
        merged.push_back(SourceFile{name, std::move(content)});
    }
    return merged;
}

ConfigController::ConfigController(MessageClient &messageClient, AcceptedHandler acceptedHandler)
    : client(messageClient)
    , onAccepted(std::move(acceptedHandler))
    , thread([this] { this->run(); })
{ }

ConfigController::~ConfigController()
{
    this->stop();
}

void ConfigController::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->stopping = true;
    }
    this->wakeup.notify_all();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

bool ConfigController::handle(const wire::Envelope &message, const ReplySender &reply)
{
    if (!message.has_config_pull()) {
        return false;
    }
    const RevisionContentPtr content = this->contentInForce();
    wire::Envelope envelope;
    *envelope.mutable_config_reply() = makeConfigReply(content.get(), message.config_pull());
    reply(std::move(envelope));
    return true;
}

void ConfigController::submit(CandidateRevision candidate)
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->stopping || this->candidates.size() >= maxCandidates) {
            return;
        }
        this->candidates.push_back(std::move(candidate));
    }
    this->wakeup.notify_all();
}

void ConfigController::run()
{
    while (true) {
        CandidateRevision candidate;
        {
            std::unique_lock lock(this->mutex);
            this->wakeup.wait(lock, [this] { return this->stopping || !this->candidates.empty(); });
            if (this->stopping) {
                return;
            }
            candidate = std::move(this->candidates.front());
            this->candidates.pop_front();
        }
        this->evaluate(candidate);
    }
}

void ConfigController::evaluate(const CandidateRevision &candidate)
{
    const ConfigRevision revision = candidate.content.revision;
    {
        const std::lock_guard lock(this->mutex);
        if (!this->isNewAndNotRefused(revision)) {
            if (this->inForce && revision < this->inForce->revision
                && this->lastStaleLogged != revision) {
                this->lastStaleLogged = revision;
                LOG(WARNING) << logprefix::config
                             << "Ignored an older revision. revision=" << revision
                             << " in_force=" << this->inForce->revision;
            }
            return;
        }
    }
    const RevisionValidation result = validateRevision(revision, candidate.content.files);
    {
        const std::lock_guard lock(this->mutex);
        if (result.isAccepted()) {
            auto next = std::make_shared<RevisionContent>(candidate.content);
            next->digest = result.snapshot->digest;
            std::sort(next->files.begin(), next->files.end());
            this->inForce = std::move(next);
            this->inForceSnapshot = result.snapshot;
            this->acceptedAt = monotonicNow();
        } else {
            this->refused = revision;
            this->lastRefused = "revision " + std::to_string(revision.number()) + ": "
                    + describe(result.errors.front());
        }
    }
    if (result.isAccepted()) {
        LOG(INFO) << logprefix::config << "Revision in force. revision=" << revision
                  << " files=" << candidate.content.files.size()
                  << " source=" << (candidate.fromPlatform ? "platform" : "peer");
        this->onAccepted(result.snapshot, candidate.fromPlatform);
        return;
    }
    LOG(WARNING) << logprefix::config << "Refused a revision. revision=" << revision
                 << " faults=" << result.errors.size();
    for (std::size_t i = 0; i < std::min(result.errors.size(), maxLoggedErrors); ++i) {
        LOG(WARNING) << logprefix::config << describe(result.errors[i]);
    }
}

void ConfigController::pullFromPeer(const PeerConfig &peer)
{
    std::vector<SourceFile> files;
    {
        const Millis now = monotonicNow();
        const std::lock_guard lock(this->mutex);
        const bool isPulling = peer.revision <= this->pulledRevision && now < this->pullUntil;
        if (this->stopping || isPulling || !this->isNewAndNotRefused(peer.revision)) {
            return;
        }
        this->pulledRevision = peer.revision;
        this->pullUntil = now + pullTimeout;
        if (this->inForce) {
            files = this->inForce->files;
        }
    }
    this->pull(peer, std::move(files), 0);
}

void ConfigController::pull(const PeerConfig &peer, std::vector<SourceFile> staged, int rounds)
{
    wire::Envelope message;
    *message.mutable_config_pull() = makeConfigPull(ConfigRevision(), 0, staged);
    this->client.request(
            peer.endpoint, std::move(message), pullTimeout,
            [this, peer, staged = std::move(staged), rounds](const Result<wire::Envelope> &result) {
                if (result.has_value() && result.value().has_config_reply()) {
                    this->handleReply(peer, staged, result.value().config_reply(), rounds);
                }
                return false;
            });
}

void ConfigController::handleReply(const PeerConfig &peer, const std::vector<SourceFile> &staged,
                                   const wire::ConfigReply &reply, int rounds)
{
    const ConfigRevision revision(reply.revision());
    {
        const std::lock_guard lock(this->mutex);
        if (this->stopping || !this->isNewAndNotRefused(revision)) {
            this->pulledRevision = ConfigRevision();
            return;
        }
    }
    std::vector<SourceFile> files = mergeConfigReply(staged, reply);
    if (digestOf(files) == reply.digest()) {
        this->submit(CandidateRevision{RevisionContent{revision, reply.digest(), std::move(files)},
                                       false});
        return;
    }
    // The content did not fit into one reply: pull the rest.
    if (reply.changed_size() > 0 && rounds < maxPullRounds) {
        {
            const std::lock_guard lock(this->mutex);
            this->pullUntil = monotonicNow() + pullTimeout;
        }
        this->pull(peer, std::move(files), rounds + 1);
        return;
    }
    LOG(WARNING) << logprefix::config
                 << "Dropped a revision whose files do not match its digest. revision=" << revision
                 << " peer=" << peer.endpoint;
}

bool ConfigController::isNewAndNotRefused(ConfigRevision revision) const
{
    const bool newer = !this->inForce || revision > this->inForce->revision;
    return newer && revision != this->refused;
}

SnapshotPtr ConfigController::snapshot() const
{
    const std::lock_guard lock(this->mutex);
    return this->inForceSnapshot;
}

RevisionContentPtr ConfigController::contentInForce() const
{
    const std::lock_guard lock(this->mutex);
    return this->inForce;
}

ConfigRevision ConfigController::highestEvaluated() const
{
    const std::lock_guard lock(this->mutex);
    return this->inForce ? std::max(this->refused, this->inForce->revision) : this->refused;
}

void ConfigController::fillStatus(wire::StatusReply &status) const
{
    const std::lock_guard lock(this->mutex);
    if (this->inForce) {
        status.set_config_revision(this->inForce->revision.number());
        status.set_config_digest(this->inForce->digest);
        status.set_config_age_ms(
                static_cast<std::uint32_t>((monotonicNow() - this->acceptedAt).count()));
    }
    status.set_last_refused(this->lastRefused);
}

} // namespace balsamport
