#ifndef BALSAMPORT_CONTROLLERS_FLEET_CLIENT_H
#define BALSAMPORT_CONTROLLERS_FLEET_CLIENT_H

#include <balsamport/config/files.h>
#include <balsamport/config/snapshot.h>
#include <balsamport/policy/members.h>
#include <balsamport/wire/message_client.h>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace balsamport {

/// @brief The gateway's copy of configuration and fleet view, pulled from the controller of its
/// own VM every 200 ms. While the controller is unreachable the last copy stays.
///
/// Owns one thread. All functions may be called from any thread.
/// Example: `FleetClient fleet(client, "tcp://10.0.0.1:7000"); fleet.start();`
class FleetClient
{
public:
    using ChangeHandler = std::function<void(const SnapshotPtr &snapshot,
                                             const std::shared_ptr<const FleetView> &fleet)>;

    FleetClient(MessageClient &client, std::string controllerEndpoint);
    ~FleetClient();
    FleetClient(const FleetClient &) = delete;
    FleetClient &operator=(const FleetClient &) = delete;

    /// @brief Sets the handler of changes, which is called on the client's thread. Call before
    /// start().
    void onChange(ChangeHandler handler);

    void start();
    void stop();

    /// @return the configuration in force; nullptr before the first
    [[nodiscard]] SnapshotPtr snapshot() const;
    /// @return the fleet view; nullptr before the first
    [[nodiscard]] std::shared_ptr<const FleetView> fleet() const;

private:
    void run();
    [[nodiscard]] bool pullConfig();
    [[nodiscard]] bool pullMembers();

    MessageClient &client;
    const std::string controllerEndpoint;
    ChangeHandler changeHandler;
    mutable std::mutex mutex;
    std::condition_variable wakeup;
    bool stopping = false;
    SnapshotPtr currentSnapshot;
    std::shared_ptr<const FleetView> currentFleet;
    std::vector<SourceFile> files; ///< Used by the thread only.
    std::uint64_t membersDigest = 0; ///< Used by the thread only.
    std::thread thread;
};

} // namespace balsamport

#endif
