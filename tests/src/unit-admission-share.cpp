#include <balsamport/edge/admission_share.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <deque>

using namespace balsamport;

namespace {

/// A daemon that works on one request after the other, as many a second as its processor allows.
struct BusyDaemon
{
    double capacity = 0; ///< Requests a second.
    AdmissionShare admission;
    std::deque<Millis> queue; ///< When the requests that wait were admitted.
    double ready = 0; ///< Requests that the processor has time for.
    std::size_t served = 0;
    std::size_t refused = 0;
    Millis longestWait{0};

    void run(Millis from, Millis to, double offeredPerSecond)
    {
        constexpr double millisPerSecond = 1'000;
        double due = 0;
        for (Millis now = from; now < to; now += Millis(1)) {
            this->ready = this->queue.empty() ? 0 : this->ready + this->capacity / millisPerSecond;
            for (; this->ready >= 1 && !this->queue.empty(); this->ready -= 1) {
                this->longestWait = std::max(this->longestWait, now - this->queue.front());
                this->queue.pop_front();
                ++this->served;
            }
            for (due += offeredPerSecond / millisPerSecond; due >= 1; due -= 1) {
                const Millis delay = this->queue.empty() ? Millis(0) : now - this->queue.front();
                if (admitRequest(this->admission, delay, now)) {
                    this->queue.push_back(now);
                } else {
                    ++this->refused;
                }
            }
        }
    }
};

} // namespace

// Guards against a daemon that admits more than it can handle, so that all of its callers wait
// until their time-outs.
TEST_CASE("a daemon admits about as many requests as it can handle")
{
    BusyDaemon daemon{};
    daemon.capacity = 500;

    SECTION("all of them while nothing waits for long")
    {
        daemon.run(Millis(0), Millis(10'000), 450);
        REQUIRE(daemon.refused == 0);
    }

    SECTION("and keeps its processor busy and its queue short under several times its capacity")
    {
        const double overload = GENERATE(1.3, 2.5, 6.0);
        daemon.run(Millis(0), Millis(4'000), daemon.capacity * overload);
        daemon.served = 0;
        daemon.longestWait = Millis(0);
        daemon.run(Millis(4'000), Millis(14'000), daemon.capacity * overload);
        CAPTURE(overload, daemon.served, daemon.longestWait.count());
        REQUIRE(daemon.served >= 4'000);
        REQUIRE(daemon.longestWait <= Millis(500));

        SECTION("until it is over: soon everything is admitted again")
        {
            daemon.run(Millis(14'000), Millis(18'000), 250);
            daemon.refused = 0;
            daemon.run(Millis(18'000), Millis(22'000), 450);
            REQUIRE(daemon.refused == 0);
        }
    }

    SECTION("a single pause of the process refuses few")
    {
        daemon.run(Millis(0), Millis(2'000), 100);
        REQUIRE(admitRequest(daemon.admission, Millis(900), Millis(2'000)));
        daemon.run(Millis(2'001), Millis(4'000), 100);
        REQUIRE(daemon.refused <= 60);
    }
}
