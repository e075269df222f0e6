#include "standin.h"

#include <balsamport/core/hash.h>
#include <balsamport/core/log.h>

#include <fmt/format.h>

#include <map>
#include <mutex>
#include <random>

namespace po = boost::program_options;

namespace balsamport::standin {

namespace {

constexpr std::string_view stockPath = "/stock/";
constexpr std::uint64_t stockLevels = 40;
constexpr int percentRange = 100;

/// A booking service that counts how often each idempotency key ran.
class Service
{
public:
    explicit Service(const Options &options)
        : name(options["id"].as<std::string>())
        , responseDelay(options["delay-ms"].as<std::int64_t>())
        , lostReplyPercent(options["lose-replies"].as<int>())
        , random(options["seed"].as<std::uint32_t>())
    { }

    void handle(const Request &request, const Writer &writer)
    {
        if (request->method == "POST") {
            this->book(*request, writer);
        } else if (request->path == "/ledger") {
            sendJson(*writer, 200, this->ledger());
        } else if (request->path.starts_with(stockPath)) {
            const std::string item = request->path.substr(stockPath.size());
            this->sendDelayed(writer, 200, this->stock(item));
        } else {
            sendError(*writer, 404, "not_found");
        }
    }

private:
    void book(const IncomingRequest &request, const Writer &writer)
    {
        const std::string key = findHeader(request.headers, "Idempotency-Key").value_or("");
        std::uint64_t number = 0;
        bool loseReply = false;
        {
            const std::lock_guard lock(this->mutex);
            number = ++this->bookings;
            ++this->runs[key];
            loseReply = std::uniform_int_distribution(0, percentRange - 1)(this->random)
                    < this->lostReplyPercent;
        }
        LOG(INFO) << logprefix::standin << "Booking ran. service=" << this->name << " key=" << key
                  << " path=" << request.path;
        if (loseReply) {
            this->timer.after(this->responseDelay, [writer] { writer->abort(); });
            return;
        }
        const std::string body = fmt::format(R"({{"booking":"{}-{}","key":{}}})", this->name,
                                             number, jsonString(key));
        this->sendDelayed(writer, 201, body);
    }

    void sendDelayed(const Writer &writer, int status, const std::string &body)
    {
        if (this->responseDelay == Millis(0)) {
            sendJson(*writer, status, body);
            return;
        }
        this->timer.after(this->responseDelay, [=] { sendJson(*writer, status, body); });
    }

    [[nodiscard]] std::string stock(const std::string &item) const
    {
        return fmt::format(R"({{"item":{},"in_stock":{},"service":"{}"}})", jsonString(item),
                           hash64(item) % stockLevels, this->name);
    }

    std::string ledger()
    {
        const std::lock_guard lock(this->mutex);
        std::vector<std::string> counts;
        for (const auto &[key, count] : this->runs) {
            counts.push_back(jsonString(key) + ":" + std::to_string(count));
        }
        return fmt::format(R"({{"runs":{{{}}}}})", fmt::join(counts, ","));
    }

    const std::string name;
    const Millis responseDelay;
    const int lostReplyPercent;
    std::mutex mutex;
    std::mt19937 random;
    std::uint64_t bookings = 0;
    std::map<std::string, std::uint64_t> runs;
    Timer timer;
};

} // namespace

OptionsDescription serviceOptions()
{
    OptionsDescription options("service");
    auto add = options.add_options();
    add("id", po::value<std::string>()->required(), "name in its answers");
    add("delay-ms", po::value<std::int64_t>()->default_value(0), "time that an answer takes");
    add("lose-replies", po::value<int>()->default_value(0),
        "percentage of bookings that run and then break the connection");
    add("seed", po::value<std::uint32_t>()->default_value(1), "seed of the random choices");
    return options;
}

HttpHandler makeService(const Options &options)
{
    return handlerOf<Service>(options);
}

} // namespace balsamport::standin
