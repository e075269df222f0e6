#ifndef BALSAMPORT_TESTS_SCRIPTED_SERVICE_H
#define BALSAMPORT_TESTS_SCRIPTED_SERVICE_H

#include "edge_world.h"
#include "socket_server.h"

#include <fmt/format.h>

#include <memory>
#include <string>
#include <vector>

namespace balsamport::testing {

/// @return the events FIRST to LAST of the run of a request
inline std::string eventsOf(const std::string &id, int first, int last)
{
    std::string text;
    for (int i = first; i <= last; ++i) {
        text += fmt::format("id: {}\ndata: {} {}\n\n", i, id, i);
    }
    return text;
}

/// @return a chunk of a chunked body
inline std::string chunk(const std::string &text)
{
    return fmt::format("{:x}\r\n{}\r\n", text.size(), text);
}

/// @brief Two plain replicas of one service, published in the store of a world, whose responses a
/// handler writes byte by byte.
class ScriptedService
{
public:
    /// @param idPrefix begins the replicas' ids, which are unique in a world
    ScriptedService(EdgeWorld &world, const std::string &service,
                    const SocketServer::Handler &handler, const std::string &idPrefix = "r")
    {
        for (const char *number : {"1", "2"}) {
            standins::ReplicaOptions options;
            options.id = idPrefix + number;
            options.service = service;
            options.dataCentre = "a";
            options.address = freeAddress(); // Of the stand-in; it gets no requests.
            options.advertisedAddress = freeAddress();
            this->servers.push_back(
                    std::make_unique<SocketServer>(options.advertisedAddress, handler));
            this->descriptions.push_back(standins::ReplicaStandin::start(options).value());
            world.store->put(this->descriptions.back()->key(),
                             this->descriptions.back()->description(false));
        }
    }

private:
    std::vector<std::unique_ptr<standins::ReplicaStandin>> descriptions;
    std::vector<std::unique_ptr<SocketServer>> servers;
};

} // namespace balsamport::testing

#endif
