#ifndef BALSAMPORT_PROGRAMS_CONTROLLER_DAEMON_H
#define BALSAMPORT_PROGRAMS_CONTROLLER_DAEMON_H

#include "controller_settings.h"

#include <balsamport/controllers/config_controller.h>
#include <balsamport/controllers/grant_controller.h>
#include <balsamport/controllers/membership_controller.h>
#include <balsamport/controllers/ownership_controller.h>
#include <balsamport/controllers/platform_watcher.h>
#include <balsamport/controllers/suspect_controller.h>
#include <balsamport/controllers/witness_controller.h>
#include <balsamport/http/http_client.h>
#include <balsamport/wire/message_client.h>
#include <balsamport/wire/message_server.h>

#include <atomic>
#include <memory>
#include <thread>

namespace balsamport {

/// @brief The controllers of one VM, the sockets they use and the thread that calls their ticks.
class ControllerDaemon
{
public:
    /// @return the daemon, ListenFailed, or an error of the key files
    [[nodiscard]] static Result<std::unique_ptr<ControllerDaemon>>
    start(const ControllerSettings &settings);
    ~ControllerDaemon();
    ControllerDaemon(const ControllerDaemon &) = delete;
    ControllerDaemon &operator=(const ControllerDaemon &) = delete;

    /// @brief Announces to the fleet that this VM is draining, and waits for
    /// ControllerSettings::drainWait so that other VMs take over.
    void drain();

private:
    ControllerDaemon(const ControllerSettings &settings, const CurveKeys &keys);
    [[nodiscard]] Result<void> listen(const CurveKeys &keys);
    void handle(const wire::Envelope &message, const ReplySender &reply);
    void runTicks();
    void tick(Millis now);
    void sendStatus(const ReplySender &reply);
    void sendExplanation(const wire::ExplainRequest &request, const ReplySender &reply);

    const ControllerSettings settings;
    // The message client is constructed before the controllers, which refer to it; the destructor
    // stops it before they are destroyed, because its handlers refer to them.
    std::unique_ptr<MessageClient> messages;
    std::unique_ptr<HttpClient> platformHttp;
    std::unique_ptr<HttpClient> engineHttp;
    MembershipController membership;
    OwnershipController ownership;
    GrantController grants;
    WitnessController witness;
    SuspectController suspects;
    ConfigController config;
    PlatformClient platform;
    std::unique_ptr<PlatformWatcher> watcher;
    std::unique_ptr<MessageServer> server;
    std::atomic<bool> stopping{false};
    std::thread ticker;
};

} // namespace balsamport

#endif
