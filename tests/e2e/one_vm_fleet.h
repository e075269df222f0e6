#ifndef BALSAMPORT_TESTS_ONE_VM_FLEET_H
#define BALSAMPORT_TESTS_ONE_VM_FLEET_H

#include "process_fixture.h"

namespace balsamport::testing {

/// @brief A fleet of one VM with its gateway, one engine and one service, for tests of requests of
/// callers.
class OneVmFleet
{
public:
    /// @param firstPort first of five ports that the fleet uses
    explicit OneVmFleet(std::uint16_t firstPort, const std::vector<std::string> &engineOptions,
                        const std::string &limits = "")
        : fleet(firstPort)
        , gatewayAddress("127.0.0.1:" + std::to_string(firstPort + 2))
        , engineAddress("127.0.0.1:" + std::to_string(firstPort + 3))
        , serviceAddress("127.0.0.1:" + std::to_string(firstPort + 4))
    {
        this->fleet.addVm({"vm1", "dc1", static_cast<std::uint16_t>(firstPort + 1),
                           static_cast<std::uint16_t>(firstPort + 2)});
        this->fleet.setVmList({"vm1"});
        this->fleet.writeConfig("10-base.ini", this->configText() + limits);
        this->fleet.startPlatform();
        this->fleet.startBackendServer("engine", "e1", static_cast<std::uint16_t>(firstPort + 3),
                                       engineOptions);
        this->fleet.startBackendServer("service", "b1", static_cast<std::uint16_t>(firstPort + 4));
        this->fleet.startController("vm1");
        this->fleet.startGateway("vm1");
    }

    /// Waits up to 20 s for a successful response through the gateway.
    /// @return false where there was none
    bool waitUntilServing()
    {
        return eventually(Millis(20'000), [this] {
            return this->post("/v1/chat/completions", this->chat(1, false)).status == 200;
        });
    }

    static std::string chat(int tokens, bool stream)
    {
        return R"({"model":"burn-plan","max_tokens":)" + std::to_string(tokens)
                + (stream ? R"(,"stream":true)" : "")
                + R"(,"messages":[{"role":"user","content":"frost tonight?"}]})";
    }

    HttpResponse post(const std::string &path, const std::string &body, HttpHeaders headers = {})
    {
        OutgoingRequest request;
        request.method = "POST";
        request.url = "http://" + this->gatewayAddress + path;
        request.headers = std::move(headers);
        request.body = body;
        const auto response = this->fleet.http().fetch(std::move(request));
        return response.has_value() ? response.value() : HttpResponse{};
    }

    FleetFixture fleet;
    const std::string gatewayAddress; ///< IP:PORT
    const std::string engineAddress;
    const std::string serviceAddress;

private:
    [[nodiscard]] std::string configText() const
    {
        return "[data-centre dc1]\nregion = r1\nhas-weight-store = true\n"
               "[backend-server e1]\naddress = "
                + this->engineAddress
                + "\ndata-centre = dc1\nbase = citrus\nslots = 8\nbatch-width = 2048\n"
                  "[backend-server b1]\nkind = service\naddress = "
                + this->serviceAddress
                + "\ndata-centre = dc1\nservice = lots\nbatch-width = 2048\n"
                  "[adapter burn-plan]\nbase = citrus\nversions = 1\n"
                  "[route burn-plan]\ntarget = burn-plan@1\n"
                  "[service lots]\nnon-repeatable = POST /bookings\n";
    }
};

/// @brief Reads a number of kilobytes from /proc/PID/status, for example VmRSS or VmHWM.
inline std::uint64_t processKilobytes(pid_t process, const std::string &field)
{
    std::ifstream stream("/proc/" + std::to_string(process) + "/status");
    std::string line;
    while (std::getline(stream, line)) {
        if (line.rfind(field + ":", 0) == 0) {
            return std::stoull(line.substr(field.size() + 1));
        }
    }
    return 0;
}

} // namespace balsamport::testing

#endif
