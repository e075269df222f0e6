#include <balsamport/controllers/fleet_client.h>

#include <balsamport/config/validate.h>
#include <balsamport/controllers/config_controller.h>
#include <balsamport/controllers/member_messages.h>
#include <balsamport/core/log.h>

#include <algorithm>
#include <chrono>

namespace balsamport {

namespace {

constexpr Millis pullInterval{200};
constexpr Millis pullTimeout{1'000};

} // namespace

FleetClient::FleetClient(MessageClient &messageClient, std::string endpoint)
    : client(messageClient)
    , controllerEndpoint(std::move(endpoint))
{ }

FleetClient::~FleetClient()
{
    this->stop();
}

void FleetClient::onChange(ChangeHandler handler)
{
    this->changeHandler = std::move(handler);
}

void FleetClient::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void FleetClient::stop()
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

void FleetClient::run()
{
    while (true) {
        const bool configChanged = this->pullConfig();
        const bool membersChanged = this->pullMembers();
        if ((configChanged || membersChanged) && this->changeHandler) {
            this->changeHandler(this->snapshot(), this->fleet());
        }
        std::unique_lock lock(this->mutex);
        this->wakeup.wait_for(lock, std::chrono::milliseconds(pullInterval.count()),
                              [this] { return this->stopping; });
        if (this->stopping) {
            return;
        }
    }
}

bool FleetClient::pullConfig()
{
    const SnapshotPtr current = this->snapshot();
    const ConfigRevision known = current ? current->revision : ConfigRevision();
    wire::Envelope message;
    *message.mutable_config_pull()
            = makeConfigPull(known, current ? current->digest : 0, this->files);
    const auto response
            = this->client.call(this->controllerEndpoint, std::move(message), pullTimeout);
    if (response.has_error() || !response.value().has_config_reply()) {
        return false;
    }
    const wire::ConfigReply &reply = response.value().config_reply();
    const ConfigRevision revision(reply.revision());
    if (reply.unchanged() || revision <= known) {
        return false;
    }
    this->files = mergeConfigReply(std::move(this->files), reply);
    if (digestOf(this->files) != reply.digest()) {
        return false; // The next pull gets the rest of the files.
    }
    const RevisionValidation result = validateRevision(revision, this->files);
    if (!result.isAccepted()) {
        LOG(ERROR) << logprefix::config
                   << "Refused the controller's revision. revision=" << revision
                   << " reason=" << describe(result.errors.front());
        return false;
    }
    LOG(INFO) << logprefix::config << "Revision in force. revision=" << revision;
    const std::lock_guard lock(this->mutex);
    this->currentSnapshot = result.snapshot;
    return true;
}

bool FleetClient::pullMembers()
{
    wire::Envelope message;
    message.mutable_members_pull()->set_have_digest(this->membersDigest);
    const auto response
            = this->client.call(this->controllerEndpoint, std::move(message), pullTimeout);
    if (response.has_error() || !response.value().has_members_reply()
        || response.value().members_reply().unchanged()) {
        return false;
    }
    const wire::MembersReply &reply = response.value().members_reply();
    auto view = std::make_shared<FleetView>();
    for (const wire::MemberNews &member : reply.members()) {
        view->members.push_back(fromWire(member));
    }
    for (const std::string &vm : reply.listed_vms()) {
        view->listedVms.emplace_back(vm);
    }
    for (const wire::OwnerEntry &owner : reply.owners()) {
        view->owners.push_back(fromWire(owner));
    }
    view->draining = reply.leaving();
    this->membersDigest = reply.digest();
    const std::lock_guard lock(this->mutex);
    this->currentFleet = std::move(view);
    return true;
}

SnapshotPtr FleetClient::snapshot() const
{
    const std::lock_guard lock(this->mutex);
    return this->currentSnapshot;
}

std::shared_ptr<const FleetView> FleetClient::fleet() const
{
    const std::lock_guard lock(this->mutex);
    return this->currentFleet;
}

} // namespace balsamport
