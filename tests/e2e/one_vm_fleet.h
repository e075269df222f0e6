#ifndef BALSAMPORT_TESTS_ONE_VM_FLEET_H
#define BALSAMPORT_TESTS_ONE_VM_FLEET_H

#include "process_fixture.h"

namespace balsamport::testing {

/// @brief One VM with its gateway, one engine and one service, for tests of the callers' side.
class OneVmFleet
{
public:
    /// @param firstPort five ports from here on are used
    explicit OneVmFleet(std::uint16_t firstPort, const std::vector<std::string> &engineOptions,
                        const std::string &limits = "")
        : fleet(firstPort)
        , gatewayIp("127.0.0.1:" + std::to_string(firstPort + 2))
        , engineIp("127.0.0.1:" + std::to_string(firstPort + 3))
        , serviceIp("127.0.0.1:" + std::to_string(firstPort + 4))
    {
        this->fleet.addVm({"vm1", "dc1", static_cast<std::uint16_t>(firstPort + 1),
                           static_cast<std::uint16_t>(firstPort + 2)});
        this->fleet.list({"vm1"});
        this->fleet.writeConfig("10-base.ini", this->configText() + limits);
        this->fleet.startPlatform();
        this->fleet.startBackendServer("engine", "e1", static_cast<std::uint16_t>(firstPort + 3),
                                       engineOptions);
        this->fleet.startBackendServer("service", "b1", static_cast<std::uint16_t>(firstPort + 4));
        this->fleet.startController("vm1");
        this->fleet.startGateway("vm1");
    }

    /// @return true once a request through the gateway is answered
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
        request.url = "http://" + this->gatewayIp + path;
        request.headers = std::move(headers);
        request.body = body;
        const auto answer = this->fleet.http().fetch(std::move(request));
        return answer.has_value() ? answer.value() : HttpResponse{};
    }

    FleetFixture fleet;
    const std::string gatewayIp; ///< IP:PORT
    const std::string engineIp;
    const std::string serviceIp;

private:
    [[nodiscard]] std::string configText() const
    {
        return "[data-centre dc1]\nregion = r1\nhas-weight-store = true\n"
               "[backend-server e1]\naddress = "
                + this->engineIp
                + "\ndata-centre = dc1\nbase = citrus\nslots = 8\nbatch-width = 2048\n"
                  "[backend-server b1]\nkind = service\naddress = "
                + this->serviceIp
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
