#ifndef BALSAMPORT_STANDINS_STANDIN_H
#define BALSAMPORT_STANDINS_STANDIN_H

#include <balsamport/core/clock.h>
#include <balsamport/http/http_server.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <boost/program_options.hpp>
#include <rapidjson/document.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace balsamport::standin {

/// @brief Runs functions later, one after another, on one thread of its own.
class Timer
{
public:
    Timer();
    ~Timer(); ///< Discards pending functions.
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /// @brief Runs a function once, after a delay.
    void after(Millis delay, std::function<void()> task);

    /// @brief Runs a function periodically until the timer is destroyed.
    void every(Millis period, std::function<void()> task);

private:
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::thread thread;
};

using Options = boost::program_options::variables_map;
using OptionsDescription = boost::program_options::options_description;
using Request = std::shared_ptr<const IncomingRequest>;
using Writer = std::shared_ptr<ResponseWriter>;

/// The options of each stand-in, and its handler, which several threads may call at once.
OptionsDescription platformOptions();
OptionsDescription engineOptions();
OptionsDescription serviceOptions();
HttpHandler makePlatform(const Options &options);
HttpHandler makeEngine(const Options &options);
HttpHandler makeService(const Options &options);

/// @brief Constructs a stand-in and returns its handler.
template<typename T>
HttpHandler handlerOf(const Options &options)
{
    return [standin = std::make_shared<T>(options)](const Request &request, const Writer &writer) {
        standin->handle(request, writer);
    };
}

/// @brief Sends a complete JSON response.
void sendJson(ResponseWriter &writer, int status, const std::string &body,
              HttpHeaders headers = {});

/// @brief Sends an error in OpenAI's form, {"error":{"code":..,"message":..}}.
void sendError(ResponseWriter &writer, int status, std::string_view code,
               std::string_view message = {});

/// @brief Finds a numeric parameter of a query such as "a=1&b=2".
/// @return the parameter's value; the fallback where it is absent or not a number
std::int64_t queryNumber(std::string_view query, std::string_view name, std::int64_t fallback);

/// @brief Reads a member of a JSON object.
/// @return the member's value; the fallback where it is absent or has another type
template<typename T>
T member(const rapidjson::Value &object, const char *name, T fallback)
{
    if (!object.IsObject()) {
        return fallback;
    }
    const auto found = object.FindMember(name);
    const bool fits = found != object.MemberEnd() && found->value.template Is<T>();
    return fits ? found->value.template Get<T>() : fallback;
}

inline std::string stringMember(const rapidjson::Value &object, const char *name)
{
    return member<const char *>(object, name, "");
}

/// @brief Formats a text as a JSON string, with its quotation marks.
std::string jsonString(std::string_view text);

} // namespace balsamport::standin

#endif
