#include <balsamport/controllers/config_controller.h>

#include <balsamport/core/hash.h>
#include <balsamport/core/log.h>

#include <algorithm>

namespace balsamport {

namespace {

constexpr Millis pullTimeout{2'000};
constexpr int mostPullRounds = 1'000;
constexpr std::size_t mostOffers = 8;
constexpr std::size_t mostLoggedErrors = 20;

} // namespace

wire::ConfigReply answerConfigPull(const RevisionContent *held, const wire::ConfigPull &pull)
{
    wire::ConfigReply reply;
    if (held == nullptr) {
        return reply;
    }
    reply.set_revision(held->revision.number());
    reply.set_digest(held->digest);
    if (pull.have_revision() == reply.revision() && pull.have_digest() == reply.digest()) {
        reply.set_unchanged(true);
        return reply;
    }
    std::map<std::string, std::uint64_t> had;
    for (const wire::FileDigest &file : pull.have_files()) {
        had.emplace(file.name(), file.digest());
    }
    std::size_t bytes = 0;
    for (const SourceFile &file : held->files) {
        const auto found = had.find(file.name);
        const bool same = found != had.end() && found->second == hash64(file.content);
        if (found != had.end()) {
            had.erase(found);
        }
        if (same || (bytes > 0 && bytes + file.content.size() > maxPullBytes)) {
            continue;
        }
        bytes += file.content.size();
        wire::ConfigFile *changed = reply.add_changed();
        changed->set_name(file.name);
        changed->set_content(file.content);
    }
    for (const auto &[name, digest] : had) {
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
    const RevisionContentPtr revision = this->held();
    wire::Envelope answer;
    *answer.mutable_config_reply() = answerConfigPull(revision.get(), message.config_pull());
    reply(std::move(answer));
    return true;
}

void ConfigController::submit(CandidateRevision offered)
{
    {
        const std::lock_guard lock(this->mutex);
        if (this->stopping || this->offers.size() >= mostOffers) {
            return;
        }
        this->offers.push_back(std::move(offered));
    }
    this->wakeup.notify_all();
}

void ConfigController::run()
{
    while (true) {
        CandidateRevision offered;
        {
            std::unique_lock lock(this->mutex);
            this->wakeup.wait(lock, [this] { return this->stopping || !this->offers.empty(); });
            if (this->stopping) {
                return;
            }
            offered = std::move(this->offers.front());
            this->offers.pop_front();
        }
        this->judge(offered);
    }
}

void ConfigController::judge(const CandidateRevision &offered)
{
    const ConfigRevision revision = offered.content.revision;
    {
        const std::lock_guard lock(this->mutex);
        if (!this->isWanted(revision)) {
            if (this->inForce && revision < this->inForce->revision
                && this->staleLogged != revision) {
                this->staleLogged = revision;
                LOG(WARNING) << logprefix::config
                             << "Ignored an older revision. revision=" << revision
                             << " in_force=" << this->inForce->revision;
            }
            return;
        }
    }
    const RevisionValidation result = validateRevision(revision, offered.content.files);
    {
        const std::lock_guard lock(this->mutex);
        if (result.isAccepted()) {
            auto next = std::make_shared<RevisionContent>(offered.content);
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
                  << " files=" << offered.content.files.size()
                  << " source=" << (offered.fromPlatform ? "platform" : "peer");
        this->onAccepted(result.snapshot, offered.fromPlatform);
        return;
    }
    LOG(WARNING) << logprefix::config << "Refused a revision. revision=" << revision
                 << " faults=" << result.errors.size();
    for (std::size_t i = 0; i < std::min(result.errors.size(), mostLoggedErrors); ++i) {
        LOG(WARNING) << logprefix::config << describe(result.errors[i]);
    }
}

void ConfigController::pullFromPeer(const PeerConfig &peer)
{
    std::vector<SourceFile> files;
    {
        const Millis now = monotonicNow();
        const std::lock_guard lock(this->mutex);
        const bool underWay = peer.revision <= this->pulling && now < this->pullingUntil;
        if (this->stopping || underWay || !this->isWanted(peer.revision)) {
            return;
        }
        this->pulling = peer.revision;
        this->pullingUntil = now + pullTimeout;
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
                    this->takeReply(peer, staged, result.value().config_reply(), rounds);
                }
                return false;
            });
}

void ConfigController::takeReply(const PeerConfig &peer, const std::vector<SourceFile> &staged,
                                 const wire::ConfigReply &reply, int rounds)
{
    const ConfigRevision revision(reply.revision());
    {
        const std::lock_guard lock(this->mutex);
        if (this->stopping || !this->isWanted(revision)) {
            this->pulling = ConfigRevision();
            return;
        }
    }
    std::vector<SourceFile> files = mergeConfigReply(staged, reply);
    if (digestOf(files) == reply.digest()) {
        this->submit(CandidateRevision{RevisionContent{revision, reply.digest(), std::move(files)},
                                       false});
        return;
    }
    // The content did not fit into one reply.
    if (reply.changed_size() > 0 && rounds < mostPullRounds) {
        {
            const std::lock_guard lock(this->mutex);
            this->pullingUntil = monotonicNow() + pullTimeout;
        }
        this->pull(peer, std::move(files), rounds + 1);
        return;
    }
    LOG(WARNING) << logprefix::config
                 << "Dropped a revision whose digest is wrong. revision=" << revision
                 << " peer=" << peer.endpoint;
}

bool ConfigController::isWanted(ConfigRevision revision) const
{
    const bool newer = !this->inForce || revision > this->inForce->revision;
    return newer && revision != this->refused;
}

SnapshotPtr ConfigController::snapshot() const
{
    const std::lock_guard lock(this->mutex);
    return this->inForceSnapshot;
}

RevisionContentPtr ConfigController::held() const
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
