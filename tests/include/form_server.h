#ifndef BALSAMPORT_TESTS_FORM_SERVER_H
#define BALSAMPORT_TESTS_FORM_SERVER_H

#include "socket_server.h"

#include <balsamport/http/http_client.h>

#include <cstdint>
#include <set>
#include <utility>

namespace balsamport::testing {

/// @brief A server that sends the same bytes in response to each request.
class FormServer
{
public:
    FormServer(const std::string &address, std::string ownedBytes)
        : bytes(std::move(ownedBytes))
        , server(address, [this](const ReceivedRequest &request, ServerConnection &connection) {
            this->respond(request, connection);
        })
    { }

    [[nodiscard]] std::size_t connections()
    {
        const std::lock_guard lock(this->mutex);
        return this->ports.size();
    }

    /// Waits until the client has closed a connection after the response.
    [[nodiscard]] bool sawEnd()
    {
        const Millis until = monotonicNow() + Millis(1'000);
        while (!this->ended && monotonicNow() < until) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return this->ended;
    }

    bool watchEnd = false; ///< Set before the first request.
    std::size_t splitAt = 0; ///< Sends the bytes in two parts; 0 for one.

private:
    void respond(const ReceivedRequest & /*request*/, ServerConnection &connection)
    {
        asio::error_code ignored;
        {
            const std::lock_guard lock(this->mutex);
            this->ports.insert(connection.socket.remote_endpoint(ignored).port());
        }
        if (this->splitAt != 0) {
            connection.write(this->bytes.substr(0, this->splitAt));
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        connection.write(this->bytes.substr(this->splitAt));
        if (this->watchEnd) {
            char byte = 0;
            connection.socket.read_some(asio::buffer(&byte, 1), connection.failure);
            this->ended = static_cast<bool>(connection.failure);
        } else if (this->bytes.find("Connection: close") != std::string::npos
                   || this->bytes.rfind("HTTP/1.0", 0) == 0) {
            connection.close();
        }
    }

    std::string bytes;
    std::mutex mutex;
    std::set<std::uint16_t> ports;
    std::atomic<bool> ended{false};
    SocketServer server; ///< Ends before what its threads use.
};

inline OutgoingRequest requestTo(const std::string &address, const std::string &method = "GET")
{
    OutgoingRequest request;
    request.method = method;
    request.url = "http://" + address + "/";
    request.timeout = Millis(2'000);
    return request;
}

} // namespace balsamport::testing

#endif
