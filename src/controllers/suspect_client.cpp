#include <balsamport/controllers/suspect_client.h>

#include <balsamport/controllers/suspect_controller.h>

#include <atomic>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace balsamport {

namespace {

constexpr Millis queryTimeout{300};
constexpr Millis reportTimeout{300};
/// The controller sends a keep-alive every second.
constexpr Millis feedTimeout{3'000};

SuspectVerdict fromWire(wire::SuspectReply::Verdict verdict)
{
    switch (verdict) {
    case wire::SuspectReply::CLEAR:
        return SuspectVerdict::Clear;
    case wire::SuspectReply::RUN_ALONE:
        return SuspectVerdict::RunAlone;
    case wire::SuspectReply::QUARANTINE:
        return SuspectVerdict::Quarantine;
    default:
        return SuspectVerdict::Wait;
    }
}

wire::Envelope reportOf(wire::SuspectReport::What what, Fingerprint fingerprint,
                        const RequestId &request)
{
    wire::Envelope message;
    wire::SuspectReport &report = *message.mutable_suspect_report();
    report.set_what(what);
    report.set_fingerprint(fingerprint.number());
    report.set_request_id(request.str());
    return message;
}

/// Calls back once, after a number of acknowledgements or failures.
class Countdown
{
public:
    Countdown(std::size_t count, std::function<void()> callback)
        : left(count)
        , callback(std::move(callback))
    { }

    void countDown()
    {
        if (this->left.fetch_sub(1) == 1) {
            this->callback();
        }
    }

private:
    std::atomic<std::size_t> left;
    std::function<void()> callback;
};

} // namespace

struct SuspectClient::State : std::enable_shared_from_this<State>
{
    State(MessageClient &messages, std::string ownController)
        : messages(messages)
        , ownController(std::move(ownController))
    { }

    void openFeed()
    {
        const std::weak_ptr<State> weak = this->weak_from_this();
        this->messages.request(this->ownController,
                               reportOf(wire::SuspectReport::FEED, Fingerprint(), RequestId()),
                               feedTimeout, [weak](const Result<wire::Envelope> &reply) {
                                   const auto self = weak.lock();
                                   if (!self || self->stopped) {
                                       return false;
                                   }
                                   if (!reply || !reply.value().has_suspect_reply()) {
                                       self->openFeed();
                                       return false;
                                   }
                                   self->applyFeed(reply.value().suspect_reply());
                                   return true;
                               });
    }

    void applyFeed(const wire::SuspectReply &reply)
    {
        const std::scoped_lock lock(this->mutex);
        for (const wire::ListedSuspect &listed : reply.listed()) {
            const Fingerprint fingerprint(listed.fingerprint());
            if (listed.cleared()) {
                this->known.erase(fingerprint);
            } else {
                this->known[fingerprint] = listed.quarantined() ? SuspectVerdict::Quarantine
                                                                : SuspectVerdict::RunAlone;
            }
        }
    }

    SuspectVerdict knownVerdict(Fingerprint fingerprint) const
    {
        const std::scoped_lock lock(this->mutex);
        const auto found = this->known.find(fingerprint);
        return found == this->known.end() ? SuspectVerdict::Clear : found->second;
    }

    /// Endpoints of the controllers that reports are sent to; this VM's own is always among them.
    std::vector<std::string> controllers() const
    {
        std::vector<std::string> endpoints{this->ownController};
        const std::scoped_lock lock(this->mutex);
        if (this->fleet) {
            for (const Member &member : this->fleet->members) {
                if (member.state != MemberState::Dead
                    && member.controllerEndpoint != this->ownController) {
                    endpoints.push_back(member.controllerEndpoint);
                }
            }
        }
        return endpoints;
    }

    std::string coordinatorEndpoint(Fingerprint fingerprint) const
    {
        const std::scoped_lock lock(this->mutex);
        const auto coordinator = this->fleet ? suspectCoordinator(fingerprint, this->fleet->members)
                                             : std::optional<Member>();
        return coordinator ? coordinator->controllerEndpoint : this->ownController;
    }

    void recordVerdict(Fingerprint fingerprint, SuspectVerdict verdict)
    {
        const std::scoped_lock lock(this->mutex);
        if (verdict == SuspectVerdict::Clear) {
            this->known.erase(fingerprint);
        } else if (verdict == SuspectVerdict::Quarantine) {
            this->known[fingerprint] = verdict;
        } else {
            this->known.try_emplace(fingerprint, SuspectVerdict::RunAlone);
        }
    }

    MessageClient &messages;
    const std::string ownController;
    std::atomic<bool> stopped{false};
    mutable std::mutex mutex; ///< Guards the two below.
    std::unordered_map<Fingerprint, SuspectVerdict> known;
    std::shared_ptr<const FleetView> fleet;
};

SuspectClient::SuspectClient(MessageClient &messages, std::string ownController)
    : state(std::make_shared<State>(messages, std::move(ownController)))
{ }

SuspectClient::~SuspectClient()
{
    this->state->stopped = true;
}

void SuspectClient::start()
{
    this->state->openFeed();
}

void SuspectClient::update(std::shared_ptr<const FleetView> fleet)
{
    const std::scoped_lock lock(this->state->mutex);
    this->state->fleet = std::move(fleet);
}

SuspectVerdict SuspectClient::knownVerdict(Fingerprint fingerprint) const
{
    return this->state->knownVerdict(fingerprint);
}

void SuspectClient::queryVerdict(Fingerprint fingerprint, const RequestId &request,
                                 std::function<void(SuspectVerdict verdict)> callback)
{
    const SuspectVerdict known = this->state->knownVerdict(fingerprint);
    if (known != SuspectVerdict::RunAlone) {
        callback(known);
        return;
    }
    this->state->messages.request(
            this->state->coordinatorEndpoint(fingerprint),
            reportOf(wire::SuspectReport::QUERY, fingerprint, request), queryTimeout,
            [state = this->state, fingerprint,
             callback = std::move(callback)](const Result<wire::Envelope> &reply) {
                if (!reply || !reply.value().has_suspect_reply()) {
                    callback(SuspectVerdict::Wait);
                    return false;
                }
                const SuspectVerdict verdict = fromWire(reply.value().suspect_reply().verdict());
                state->recordVerdict(fingerprint, verdict);
                callback(verdict);
                return false;
            });
}

void SuspectClient::reportCrash(const std::vector<CrashedRequest> &requests,
                                const BackendServerId &backendServer,
                                std::function<void()> callback)
{
    const std::vector<std::string> endpoints = this->state->controllers();
    if (requests.empty()) {
        callback();
        return;
    }
    const auto countdown
            = std::make_shared<Countdown>(requests.size() * endpoints.size(), std::move(callback));
    for (const CrashedRequest &crashed : requests) {
        this->state->recordVerdict(crashed.fingerprint, SuspectVerdict::RunAlone);
        wire::Envelope message
                = reportOf(wire::SuspectReport::CRASHED, crashed.fingerprint, crashed.request);
        message.mutable_suspect_report()->set_backend_server(backendServer.str());
        for (const std::string &endpoint : endpoints) {
            this->state->messages.request(endpoint, message, reportTimeout,
                                          [countdown](const Result<wire::Envelope> &) {
                                              countdown->countDown();
                                              return false;
                                          });
        }
    }
}

void SuspectClient::reportFinished(Fingerprint fingerprint, const RequestId &request)
{
    if (this->state->knownVerdict(fingerprint) != SuspectVerdict::RunAlone) {
        return;
    }
    this->state->recordVerdict(fingerprint, SuspectVerdict::Clear);
    const wire::Envelope message = reportOf(wire::SuspectReport::FINISHED, fingerprint, request);
    for (const std::string &endpoint : this->state->controllers()) {
        this->state->messages.notify(endpoint, message);
    }
}

void SuspectClient::reportRunEnd(Fingerprint fingerprint, const RequestId &request)
{
    this->state->messages.notify(this->state->coordinatorEndpoint(fingerprint),
                                 reportOf(wire::SuspectReport::RUN_ENDED, fingerprint, request));
}

} // namespace balsamport
