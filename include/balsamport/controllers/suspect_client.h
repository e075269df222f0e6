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

/// @brief One request that was in progress on a backend server that died.
struct CrashedRequest
{
    Fingerprint fingerprint;
    RequestId request;

    bool operator==(const CrashedRequest &) const = default;
};

/// @brief A gateway's knowledge of suspects.
///
/// Keeps a copy of the suspects that its own controller knows, so that a request that nobody
/// suspects costs no message. All functions may be called from any thread; callbacks run on the
/// message client's thread, or at once on the caller's.
///
/// Use: queryVerdict() before a request is dispatched; reportCrash() when its backend server died,
/// and go on (retry, or answer the caller) only in its callback, so that a resend through any
/// gateway finds the news; reportFinished() when its whole answer came; reportRunEnd() when it
/// ended in another way.
class SuspectClient
{
public:
    /// @param messages must outlive this object
    /// @param ownController controller of this VM; tcp://IP:PORT
    SuspectClient(MessageClient &messages, std::string ownController);
    ~SuspectClient();
    SuspectClient(const SuspectClient &) = delete;
    SuspectClient &operator=(const SuspectClient &) = delete;

    /// @brief Opens the feed from this VM's own controller and keeps it open.
    void start();

    /// @brief Takes the fleet that news is sent to.
    void update(std::shared_ptr<const FleetView> fleet);

    /// @brief Tells what is known here: Clear, RunAlone where it is suspected, Quarantine. Sends
    /// nothing.
    [[nodiscard]] SuspectVerdict knownVerdict(Fingerprint fingerprint) const;

    /// @brief Asks whether a request may run. A request that is not suspected is cleared at once.
    /// @param callback gets Wait where the VM that lends the right cannot be reached
    void queryVerdict(Fingerprint fingerprint, const RequestId &request,
                      std::function<void(SuspectVerdict verdict)> callback);

    /// @brief Reports the requests that were in progress on a backend server that died.
    /// @param callback called once every controller has acknowledged, or after 300 ms
    void reportCrash(const std::vector<CrashedRequest> &requests,
                     const BackendServerId &backendServer, std::function<void()> callback);

    /// @brief Reports that a request's whole answer came. Sends nothing where it is not suspected.
    void reportFinished(Fingerprint fingerprint, const RequestId &request);

    /// @brief Reports that a run alone ended otherwise, so that the next one may go.
    void reportRunEnd(Fingerprint fingerprint, const RequestId &request);

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace balsamport

#endif
