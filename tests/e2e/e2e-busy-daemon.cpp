#include "edge_world.h"
#include "processor_quota.h"

#include <balsamport/core/http_status.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

using namespace balsamport;
using namespace balsamport::testing;

namespace {

constexpr Millis startTimeout{10'000};
/// A VM of the smallest kind: 0.12 of a core.
constexpr Millis processorQuota{12};
/// Time-out of the route for bookings (EdgeWorld::republishConfig).
constexpr Millis routeTimeout{1'000};
/// Source: the users' rule on requests that are held beyond their route's time-out.
constexpr Millis allowedDelay{500};
constexpr std::size_t allowedHeld = 8;

/// Sends requests at a fixed rate, whether or not those before were answered, and records when
/// their responses are complete.
class OpenLoopCallers
{
public:
    struct Answer
    {
        Millis sentAt;
        std::optional<Millis> answeredAt;
        int status = 0;
        bool hasRetryAfter = false;
    };

    explicit OpenLoopCallers(EdgeWorld &edgeWorld)
        : world(edgeWorld)
    { }

    void send(const std::string &id, const std::string &prefix = "/book/")
    {
        const std::size_t index = this->begin();
        ExchangeHandlers handlers;
        handlers.onHead = [this, index](const ResponseHead &head) {
            const std::lock_guard lock(this->mutex);
            this->answers[index].status = head.status;
            this->answers[index].hasRetryAfter
                    = findHeader(head.headers, "Retry-After").has_value();
        };
        handlers.onDone = [this, index](const Result<void> & /*result*/) {
            const std::lock_guard lock(this->mutex);
            this->answers[index].answeredAt = monotonicNow();
        };
        this->world.http.start(this->world.request(0, prefix + id, id, {}), std::move(handlers));
    }

    /// @param perSecond requests a second
    void sendFor(Millis duration, double perSecond)
    {
        const Millis start = monotonicNow();
        const std::size_t before = this->all().size();
        for (std::size_t sent = 0; monotonicNow() < start + duration;) {
            const auto elapsed = static_cast<double>((monotonicNow() - start).count());
            for (; static_cast<double>(sent) < elapsed * perSecond / 1'000; ++sent) {
                this->send("o" + std::to_string(before + sent));
            }
            sleepFor(Millis(1));
        }
    }

    [[nodiscard]] std::vector<Answer> all()
    {
        const std::lock_guard lock(this->mutex);
        return this->answers;
    }

    /// Forgets the answers. No request may be unanswered.
    void clear()
    {
        const std::lock_guard lock(this->mutex);
        this->answers.clear();
    }

    [[nodiscard]] bool allAnswered()
    {
        const std::vector<Answer> seen = this->all();
        return std::all_of(seen.begin(), seen.end(),
                           [](const Answer &answer) { return answer.answeredAt.has_value(); });
    }

private:
    std::size_t begin()
    {
        const std::lock_guard lock(this->mutex);
        this->answers.push_back(Answer{monotonicNow(), std::nullopt, 0, false});
        return this->answers.size() - 1;
    }

    EdgeWorld &world;
    std::mutex mutex;
    std::vector<Answer> answers;
};

/// @return the bookings a second that callers get who each wait for their answer
double measuredThroughput(EdgeWorld &world)
{
    constexpr std::size_t callers = 16;
    constexpr Millis duration{2'000};
    std::atomic<std::uint32_t> served{0};
    std::vector<std::thread> threads;
    const Millis end = monotonicNow() + duration;
    for (std::size_t caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            for (int i = 0; monotonicNow() < end; ++i) {
                const std::string id = "c" + std::to_string(caller) + "-" + std::to_string(i);
                served += world.call(0, "/book/" + id, id).status == httpstatus::ok ? 1 : 0;
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    constexpr double millisPerSecond = 1'000;
    return served * millisPerSecond / static_cast<double>(duration.count());
}

} // namespace

// Guards against a daemon that counts a route's time-out only from when it gets to a request:
// callers then wait for as long as its queues are, beyond the time-out.
TEST_CASE("a daemon that gets more than its processor can handle holds no request beyond its "
          "route's time-out")
{
    EdgeWorld world(1);
    world.startAll();
    world.publishConfig();
    REQUIRE(eventually(startTimeout, [&] { return world.allReady(); }));
    REQUIRE(eventually(startTimeout, [&] {
        static int attempt = 0;
        const std::string id = "first" + std::to_string(attempt++);
        return world.call(0, "/book/" + id, id).status == httpstatus::ok;
    }));
    OpenLoopCallers callers(world);
    SECTION("whose callers open their connections as they need them") { }
    SECTION("whose callers' connections are open before")
    {
        constexpr std::size_t connections = 1'500;
        for (std::size_t i = 0; i < connections; ++i) {
            callers.send("w" + std::to_string(i), "/unknown/");
        }
        REQUIRE(eventually(Millis(15'000), [&] { return callers.allAnswered(); }));
        callers.clear();
    }
    const ProcessorQuota quota(*world.edges[0].process, processorQuota);
    const double throughput = measuredThroughput(world);
    constexpr double overload = 2.5;
    constexpr Millis duration{6'000};
    callers.sendFor(duration, throughput * overload);
    REQUIRE(eventually(Millis(15'000), [&] { return callers.allAnswered(); }));

    std::size_t reached = 0;
    std::size_t held = 0;
    std::size_t served = 0;
    std::size_t refused = 0;
    std::size_t withoutTime = 0;
    std::map<int, std::size_t> byStatus;
    for (const OpenLoopCallers::Answer &answer : callers.all()) {
        const Millis took = *answer.answeredAt - answer.sentAt;
        ++byStatus[answer.status];
        reached += took > routeTimeout ? 1 : 0;
        held += took > routeTimeout + allowedDelay ? 1 : 0;
        served += answer.status == httpstatus::ok ? 1 : 0;
        refused += answer.status == httpstatus::unavailable ? 1 : 0;
        withoutTime += answer.status == httpstatus::unavailable && !answer.hasRetryAfter ? 1 : 0;
    }
    std::string statuses;
    for (const auto &[status, count] : byStatus) {
        statuses += std::to_string(status) + ": " + std::to_string(count) + "; ";
    }
    CAPTURE(throughput, callers.all().size(), reached, held, served, refused, withoutTime,
            statuses);
    constexpr std::size_t allowedPart = 4; // One in four of those that reach the time-out.
    CHECK((held < allowedHeld || held * allowedPart <= reached));
    CHECK(withoutTime == 0);
    constexpr double minUse = 0.5;
    constexpr double millisPerSecond = 1'000;
    REQUIRE(static_cast<double>(served)
            >= minUse * throughput * static_cast<double>(duration.count()) / millisPerSecond);
}
