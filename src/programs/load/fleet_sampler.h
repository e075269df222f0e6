#ifndef BALSAMPORT_LOAD_FLEET_SAMPLER_H
#define BALSAMPORT_LOAD_FLEET_SAMPLER_H

#include <balsamport/http/http_client.h>
#include <balsamport/tools/load_report.h>

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace balsamport {

/// @brief Reads the gateways' metrics and the engines' load reports once a second, on its own
/// thread.
class FleetSampler
{
public:
    FleetSampler(std::vector<std::string> gateways, std::vector<std::string> engines);
    ~FleetSampler();
    FleetSampler(const FleetSampler &) = delete;
    FleetSampler &operator=(const FleetSampler &) = delete;

    void start();

    /// @brief Stops the thread.
    /// @return the samples taken since start()
    std::vector<FleetSample> stop();

private:
    void run();
    void sample(Millis at);
    [[nodiscard]] double readBatchFill();
    [[nodiscard]] double readLoadStall();
    [[nodiscard]] std::string get(const std::string &address, const std::string &path);

    const std::vector<std::string> gateways;
    const std::vector<std::string> engines;
    HttpClient client;
    std::mutex mutex;
    std::condition_variable stopChanged;
    bool stopping = false;
    std::vector<FleetSample> samples;
    std::thread thread;
};

} // namespace balsamport

#endif
