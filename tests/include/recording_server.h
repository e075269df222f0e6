#ifndef BALSAMPORT_TESTS_RECORDING_SERVER_H
#define BALSAMPORT_TESTS_RECORDING_SERVER_H

#include "raw_caller.h"

#include <balsamport/http/http_server.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>

namespace balsamport::testing {

/// @brief A server that responds with 200 to every request, and tells what its handler got.
class RecordingServer
{
public:
    explicit RecordingServer(const std::string &listenAddress)
    {
        HttpServerSettings settings;
        settings.address = listenAddress;
        this->server = HttpServer::start(settings, [this](const auto &request, const auto &writer) {
                           this->record(*request);
                           writer->send(HttpResponse{200, {}, "ok"});
                       }).value();
    }

    /// @brief Sends bytes on a connection of their own and reads the response.
    [[nodiscard]] RawResponse call(const std::string &address, const std::string &bytes)
    {
        this->handled = 0;
        RawReading reading;
        reading.limit = Millis(700);
        reading.afterComplete = Millis(5);
        return callRaw(address, bytes, reading);
    }

    /// @return the last request: its method, target and body, then each field as NAME|VALUE
    [[nodiscard]] std::string seen()
    {
        const std::lock_guard lock(this->mutex);
        return this->last;
    }

    std::atomic<int> handled{0}; ///< Requests since the last call().

private:
    void record(const IncomingRequest &request)
    {
        const std::lock_guard lock(this->mutex);
        this->last = request.method + " " + request.target + " " + request.body + "\n";
        for (const HttpHeader &header : request.headers) {
            this->last += header.name + "|" + header.value + "\n";
        }
        ++this->handled;
    }

    std::mutex mutex;
    std::string last;
    std::unique_ptr<HttpServer> server; ///< Ends before what its threads use.
};

} // namespace balsamport::testing

#endif
