#include "standin.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <fmt/format.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <charconv>
#include <chrono>

namespace balsamport::standin {

namespace {

using SteadyTimer = asio::steady_timer;

/// Waits for the next multiple of the period, so that late wake-ups do not accumulate.
void repeat(const std::shared_ptr<SteadyTimer> &timer, std::chrono::milliseconds period,
            const std::function<void()> &task)
{
    timer->expires_at(timer->expiry() + period);
    timer->async_wait([timer, period, task](const std::error_code &error) {
        if (!error) {
            task();
            repeat(timer, period, task);
        }
    });
}

} // namespace

Timer::Timer()
    : work(asio::make_work_guard(this->context))
    , thread([this] { this->context.run(); })
{ }

Timer::~Timer()
{
    this->context.stop();
    this->thread.join();
}

void Timer::after(Millis delay, std::function<void()> task)
{
    auto timer = std::make_shared<SteadyTimer>(this->context,
                                               std::chrono::milliseconds(delay.count()));
    timer->async_wait([timer, task = std::move(task)](const std::error_code &error) {
        if (!error) {
            task();
        }
    });
}

void Timer::every(Millis period, std::function<void()> task)
{
    auto timer = std::make_shared<SteadyTimer>(this->context, std::chrono::milliseconds(0));
    asio::post(this->context, [timer, period, task = std::move(task)] {
        repeat(timer, std::chrono::milliseconds(period.count()), task);
    });
}

void sendJson(ResponseWriter &writer, int status, const std::string &body, HttpHeaders headers)
{
    headers.push_back({"Content-Type", "application/json"});
    writer.send(HttpResponse{status, std::move(headers), body});
}

void sendError(ResponseWriter &writer, int status, std::string_view code, std::string_view message)
{
    sendJson(writer, status,
             fmt::format(R"({{"error":{{"code":"{}","message":"{}"}}}})", code, message));
}

std::int64_t queryNumber(std::string_view query, std::string_view name, std::int64_t fallback)
{
    const std::string prefix = std::string(name) + "=";
    while (!query.empty()) {
        const std::size_t end = std::min(query.find('&'), query.size());
        std::int64_t number = 0;
        if (query.starts_with(prefix)
            && std::from_chars(query.data() + prefix.size(), query.data() + end, number).ptr
                    == query.data() + end) {
            return number;
        }
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return fallback;
}

std::string jsonString(std::string_view text)
{
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
    return buffer.GetString();
}

} // namespace balsamport::standin
