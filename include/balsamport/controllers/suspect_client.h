#ifndef BALSAMPORT_CONTROLLERS_SUSPECT_CLIENT_H
#define BALSAMPORT_CONTROLLERS_SUSPECT_CLIENT_H

#include <balsamport/policy/members.h>
#include <balsamport/policy/suspects.h>
#include <balsamport/wire/message_client.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace balsamport {

/// @brief A request that was in progress on a backend server when it crashed.
struct CrashedRequest
{
    Fingerprint fingerprint;
    RequestId request;

    bool operator==(const CrashedRequest &) const = default;
};

/// @brief A gateway's copy of the table of suspects.
///
/// Follows the table of this VM's own controller, so that a request that is not suspected costs no
/// message. All functions may be called from any thread; callbacks run on the message client's
/// thread, or on the calling thread before the function returns.
///
/// Use: queryVerdict() before a request is dispatched; reportCrash() when its backend server
/// crashed, and continue (retry, or respond to the caller) only in its callback, so that the report
/// precedes a resend through any gateway; reportFinished() when its complete response arrived;
/// reportRunEnd() when it ended otherwise.
class SuspectClient
{
public:
    /// @param messages must outlive this object
    /// @param ownController controller of this VM; tcp://IP:PORT
    SuspectClient(MessageClient &messages, std::string ownController);
    ~SuspectClient();
    SuspectClient(const SuspectClient &) = delete;
    SuspectClient &operator=(const SuspectClient &) = delete;

    /// @brief Opens the feed of this VM's own controller and reopens it after a failure.
    void start();

    /// @brief Sets the fleet whose controllers reports are sent to.
    void update(std::shared_ptr<const FleetView> fleet);

    /// @brief Reads the verdict from the local copy, without a message.
    /// @return Clear, RunAlone where the request is suspected, or Quarantine
    [[nodiscard]] SuspectVerdict knownVerdict(Fingerprint fingerprint) const;

    /// @brief Queries whether a request may run. One that is not suspected needs no message.
    /// @param callback gets Wait where the VM that grants the lease can't be reached
    void queryVerdict(Fingerprint fingerprint, const RequestId &request,
                      std::function<void(SuspectVerdict verdict)> callback);

    /// @brief Reports the requests that were in progress on a backend server that crashed.
    /// @param callback called when every controller has acknowledged, after 300 ms at the latest
    void reportCrash(const std::vector<CrashedRequest> &requests,
                     const BackendServerId &backendServer, std::function<void()> callback);

    /// @brief Reports that the complete response of a request arrived. Sends nothing where the
    /// request is not suspected.
    void reportFinished(Fingerprint fingerprint, const RequestId &request);

    /// @brief Reports that a run alone ended otherwise, so that the next one may start.
    void reportRunEnd(Fingerprint fingerprint, const RequestId &request);

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace balsamport

#endif
