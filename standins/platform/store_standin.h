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

/// @brief A small stand-in of the users' platform's store: items, revisions, watches.
class StoreStandin
{
public:
    /// @brief Serves at an address, IP:PORT.
    /// @return ListenFailed where it cannot be bound
    [[nodiscard]] static Result<std::unique_ptr<StoreStandin>> start(const std::string &address);
    ~StoreStandin();
    StoreStandin(const StoreStandin &) = delete;
    StoreStandin &operator=(const StoreStandin &) = delete;

    /// @brief Writes an item.
    /// @return its revision
    std::uint64_t put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    /// @name Faults
    /// @{
    void setDown(bool down); ///< Answers 503.
    void dropHistory(); ///< Watches from before get 410.
    /// @}

    [[nodiscard]] std::uint64_t calls() const;

private:
    struct Change
    {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        bool deleted = false;
    };
    struct Watch
    {
        std::uint64_t after = 0;
        std::string prefix;
        std::shared_ptr<ResponseWriter> writer;
    };

    StoreStandin() = default;
    void serve(const IncomingRequest &request, const std::shared_ptr<ResponseWriter> &writer);
    [[nodiscard]] HttpResponse list(const std::string &prefix, const std::string &after) const;
    void watch(Watch watch, Millis wait);
    [[nodiscard]] std::string events(const Watch &watch) const;
    void answerWatches();

    mutable std::mutex mutex;
    std::uint64_t revision = 1;
    std::uint64_t forgottenUpTo = 0;
    bool down = false;
    std::uint64_t callCount = 0;
    std::map<std::string, Change> items;
    std::vector<Change> history;
    std::map<std::uint64_t, Watch> watches;
    std::uint64_t nextWatch = 1;
    std::unique_ptr<DelayedTasks> tasks = std::make_unique<DelayedTasks>();
    std::unique_ptr<HttpServer> server;
};

} // namespace balsamport::standins

#endif
