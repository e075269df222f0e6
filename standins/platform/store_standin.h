#ifndef BALSAMPORT_STANDINS_STORE_STANDIN_H
#define BALSAMPORT_STANDINS_STORE_STANDIN_H

#include "delayed_tasks.h"

#include <balsamport/http/http_server.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace balsamport::standins {

/// @brief Minimal stand-in for the store of the users' platform: items, revisions, watches.
class StoreStandin
{
public:
    /// @brief Starts a store that listens on an address, IP:PORT.
    /// @return ListenFailed where it cannot be bound
    [[nodiscard]] static Result<std::unique_ptr<StoreStandin>> start(const std::string &address);
    ~StoreStandin();
    StoreStandin(const StoreStandin &) = delete;
    StoreStandin &operator=(const StoreStandin &) = delete;

    /// @brief Writes an item.
    /// @return the item's revision
    std::uint64_t put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    /// @brief One change of an item.
    struct Change
    {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        bool deleted = false;
    };

    /// @brief Content of the store at one moment.
    struct Copy
    {
        std::map<std::string, Change> items;
        std::vector<Change> history;
        std::uint64_t revision = 0;
        std::uint64_t historyStart = 0;
    };
    [[nodiscard]] Copy copy() const;

    /// @name Faults
    /// @{
    void setDown(bool down); ///< While down, all requests fail with 503.
    void dropHistory(); ///< Watches from an earlier revision fail with 410.
    /// @brief Loses all changes since a copy: revisions go back, and the era rises by one. Waiting
    /// watches are cut with 503; one from a revision that the store does not have gets 410.
    void restore(const Copy &copy);
    /// @}

    /// @brief Stops stating the era in responses, as a store of before does.
    void omitEra();

    /// @return the number of received requests
    [[nodiscard]] std::uint64_t calls() const;

private:
    struct Watch
    {
        std::uint64_t after = 0;
        std::string prefix;
        std::shared_ptr<ResponseWriter> writer;
    };

    StoreStandin() = default;
    void serve(const IncomingRequest &request, const std::shared_ptr<ResponseWriter> &writer);
    /// Builds a response with the header that all responses of the store have.
    [[nodiscard]] HttpResponse response(int status, std::string body = {}) const;
    [[nodiscard]] HttpResponse list(const std::string &prefix, const std::string &after) const;
    void watch(Watch pendingWatch, Millis wait);
    [[nodiscard]] std::string events(const Watch &pendingWatch) const;
    void completeWatches();

    mutable std::mutex mutex;
    Copy content{{}, {}, 1, 0};
    std::uint64_t era = 1;
    bool statesEra = true;
    bool down = false;
    std::uint64_t callCount = 0;
    std::map<std::uint64_t, Watch> watches;
    std::uint64_t nextWatch = 1;
    std::unique_ptr<DelayedTasks> tasks = std::make_unique<DelayedTasks>();
    std::unique_ptr<HttpServer> server;
};

} // namespace balsamport::standins

#endif
