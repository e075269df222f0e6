#ifndef BALSAMPORT_TESTS_HISTORY_ORACLE_H
#define BALSAMPORT_TESTS_HISTORY_ORACLE_H

#include <balsamport/core/clock.h>
#include <balsamport/core/ids.h>
#include <balsamport/policy/outcome.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace balsamport::testing {

/// @brief The kind of an event. The comment lists the fields of Event that it uses.
enum class EventKind : std::uint8_t {
    Offered, ///< A caller sent a request: request, key, adapter, repeatable, chunks.
    Claimed, ///< An attempt won a key: key, attempt.
    Dispatched, ///< The first byte of a request may have been sent: request, key, attempt, server.
    Started, ///< A backend server started to run a request: request, key, server, adapter.
    Ended, ///< A backend server stopped running it, for any reason: request, server, adapter.
    Evicted, ///< A backend server unloaded an adapter: server, adapter.
    Crashed, ///< A request crashed the backend server that ran it: request, body, server.
    OutcomeReported, ///< A caller received an outcome: request, key, outcome.
    Chunk, ///< A caller received a chunk: request, number, source (its real request), adapter.
    Completed, ///< A caller received the regular end of its response: request.
    Failed, ///< A caller received a typed failure: request.
    PlannedStop, ///< A planned stop of a VM or backend server began: server.
    Interrupted, ///< The stop of a process interrupted a request: request, server.
    Draining, ///< A backend server was marked as draining: server.
    ConfigAccepted, ///< A valid revision was published: number.
    ConfigInForce, ///< A VM applies a revision from now on: server, number.
};

/// @brief One event of a history. Fields that a kind does not use stay empty.
struct Event
{
    EventKind kind = EventKind::Offered;
    Millis at;
    std::string request;
    std::string key;
    std::uint64_t attempt = 0;
    std::string server; ///< Backend server or VM.
    std::string adapter;
    /// Of a chunk or revision; for an offered request the number of chunks of its response.
    std::uint64_t number = 0;
    std::uint64_t body = 0; ///< Fingerprint.
    std::string source;
    Outcome outcome = Outcome::Unknown;
    bool repeatable = true;

    bool operator==(const Event &) const = default;
};

/// @brief Creates an event with its other fields empty.
inline Event eventAt(EventKind kind, Millis at)
{
    Event event;
    event.kind = kind;
    event.at = at;
    return event;
}

/// @brief The guarantees of the product; the last one concerns requests that crash backend servers.
enum class Guarantee : std::uint8_t {
    RightAdapter,
    NoEvictionWhileServing,
    CompleteResponse,
    CorrectNotRun,
    AtMostOnce,
    NoWorkForDraining,
    GracefulStop,
    ConfigNeverReverts,
    CrasherCost,
};

constexpr std::string_view guaranteeName(Guarantee guarantee)
{
    constexpr std::string_view names[] = {
            "right-adapter", "no-eviction-while-serving", "whole-answer",  "honest-not-run",
            "at-most-once",  "no-work-for-leaving",       "graceful-stop", "config-never-reverts",
            "crasher-cost"};
    return names[static_cast<std::size_t>(guarantee)];
}

/// @brief A violation of a guarantee in a history.
struct Violation
{
    Guarantee guarantee = Guarantee::RightAdapter;
    std::size_t event = 0; ///< Index of the violating event, or the number of events.
    std::string subject; ///< The request, key, body or server concerned.

    bool operator==(const Violation &) const = default;
};

/// @brief The limits that the guarantees allow.
struct OracleLimits
{
    Millis drainingGrace{5'000}; ///< A draining server gets no new work after this time.
    Millis configGrace{7'000}; ///< A revision is in force on every VM within this time.
    std::uint32_t crashesAllowed = 2;
};

/// @brief Checks a history of events against the guarantees, independently of their implementation.
///
/// Example: `HistoryOracle oracle; oracle.add(event); REQUIRE(oracle.finish().empty());`
class HistoryOracle
{
public:
    explicit HistoryOracle(OracleLimits limits = {})
        : limits(limits)
    { }

    /// @brief Adds the next event of the history, in the order of time.
    void add(const Event &event)
    {
        this->check(event);
        ++this->events;
    }

    /// @return the violations so far
    [[nodiscard]] const std::vector<Violation> &violations() const { return this->reported; }

    /// @brief Ends the history: a response that began must have ended by now.
    std::vector<Violation> finish()
    {
        for (const auto &[name, request] : this->requests) {
            if (request.nextChunk > 0 && !request.ended) {
                this->report(Guarantee::CompleteResponse, name);
            }
        }
        return this->reported;
    }

    [[nodiscard]] std::size_t size() const { return this->events; }

private:
    struct Request
    {
        std::string key;
        std::string adapter;
        std::uint64_t chunks = 0; ///< Of the complete response; 0 if unknown.
        std::uint64_t nextChunk = 0;
        bool repeatable = true;
        bool ended = false;
    };
    struct Key
    {
        std::uint32_t runs = 0;
        std::uint32_t dispatches = 0;
        std::set<std::uint64_t> winners;
        bool reportedNotRun = false;
    };

    void report(Guarantee guarantee, const std::string &subject)
    {
        this->reported.push_back({guarantee, this->events, subject});
    }

    void check(const Event &event)
    {
        switch (event.kind) {
        case EventKind::Offered:
            this->requests[event.request]
                    = {event.key, event.adapter, event.number, 0, event.repeatable, false};
            break;
        case EventKind::Claimed:
        case EventKind::Dispatched:
        case EventKind::Started:
        case EventKind::OutcomeReported:
            this->checkRun(event);
            break;
        case EventKind::Ended:
        case EventKind::Evicted:
            this->checkEviction(event);
            break;
        case EventKind::Crashed:
            if (++this->crashes[event.body] > this->limits.crashesAllowed) {
                this->report(Guarantee::CrasherCost, std::to_string(event.body));
            }
            break;
        case EventKind::Chunk:
        case EventKind::Completed:
        case EventKind::Failed:
            this->checkResponse(event);
            break;
        case EventKind::PlannedStop:
            this->stopping.insert(event.server);
            break;
        case EventKind::Interrupted:
            if (this->stopping.contains(event.server)) {
                this->report(Guarantee::GracefulStop, event.request);
            }
            break;
        case EventKind::Draining:
            this->drainingSince.try_emplace(event.server, event.at);
            break;
        case EventKind::ConfigAccepted:
        case EventKind::ConfigInForce:
            this->checkConfig(event);
            break;
        }
    }

    void checkRun(const Event &event)
    {
        if (event.kind == EventKind::Dispatched) {
            this->checkDraining(event);
        }
        if (event.kind == EventKind::Started) {
            this->checkStart(event);
        }
        const auto found = this->requests.find(event.request);
        const bool repeatable = found == this->requests.end() || found->second.repeatable;
        if (repeatable || event.key.empty()) {
            return;
        }
        Key &key = this->keys[event.key];
        if (event.kind == EventKind::Claimed) {
            key.winners.insert(event.attempt);
        } else if (event.kind == EventKind::Dispatched) {
            ++key.dispatches;
        } else if (event.kind == EventKind::Started) {
            ++key.runs;
        } else if (event.outcome == Outcome::NotRun) {
            key.reportedNotRun = true;
        }
        this->checkKey(key, event.key);
    }

    void checkKey(const Key &key, const std::string &name)
    {
        if (key.runs > 1 || key.dispatches > 1 || key.winners.size() > 1) {
            this->report(Guarantee::AtMostOnce, name);
        }
        // A dispatched request may still run, so after not-run no dispatch is allowed either.
        if (key.reportedNotRun && key.runs + key.dispatches > 0) {
            this->report(Guarantee::CorrectNotRun, name);
        }
    }

    void checkStart(const Event &event)
    {
        const auto found = this->requests.find(event.request);
        if (found != this->requests.end() && found->second.adapter != event.adapter) {
            this->report(Guarantee::RightAdapter, event.request);
        }
        ++this->running[{event.server, event.adapter}];
    }

    void checkEviction(const Event &event)
    {
        std::uint32_t &count = this->running[{event.server, event.adapter}];
        if (event.kind == EventKind::Evicted) {
            if (count > 0) {
                this->report(Guarantee::NoEvictionWhileServing, event.server + "/" + event.adapter);
            }
        } else if (count > 0) {
            --count;
        }
    }

    void checkResponse(const Event &event)
    {
        Request &request = this->requests[event.request];
        if (event.kind == EventKind::Failed) {
            request.ended = true;
            return;
        }
        if (event.kind == EventKind::Completed) {
            const bool isComplete = request.chunks == 0 || request.nextChunk == request.chunks;
            if (!isComplete || request.ended) {
                this->report(Guarantee::CompleteResponse, event.request);
            }
            request.ended = true;
            return;
        }
        if (event.number != request.nextChunk || event.source != event.request || request.ended) {
            this->report(Guarantee::CompleteResponse, event.request);
        }
        if (event.adapter != request.adapter) {
            this->report(Guarantee::RightAdapter, event.request);
        }
        ++request.nextChunk;
    }

    void checkDraining(const Event &event)
    {
        const auto found = this->drainingSince.find(event.server);
        if (found != this->drainingSince.end()
            && event.at > found->second + this->limits.drainingGrace) {
            this->report(Guarantee::NoWorkForDraining, event.server);
        }
    }

    void checkConfig(const Event &event)
    {
        if (event.kind == EventKind::ConfigAccepted) {
            this->accepted[event.number] = event.at;
            return;
        }
        const auto before = this->inForce.find(event.server);
        if (before != this->inForce.end() && event.number < before->second) {
            this->report(Guarantee::ConfigNeverReverts, event.server);
        }
        // Every revision that had to be in force by now must be this one or an earlier one.
        for (const auto &[revision, at] : this->accepted) {
            if (revision > event.number && event.at > at + this->limits.configGrace) {
                this->report(Guarantee::ConfigNeverReverts, event.server);
                break;
            }
        }
        this->inForce[event.server] = event.number;
    }

    OracleLimits limits;
    std::size_t events = 0;
    std::vector<Violation> reported;
    std::map<std::string, Request> requests;
    std::map<std::string, Key> keys;
    std::map<std::pair<std::string, std::string>, std::uint32_t> running;
    std::map<std::uint64_t, std::uint32_t> crashes;
    std::set<std::string> stopping;
    std::map<std::string, Millis> drainingSince;
    std::map<std::uint64_t, Millis> accepted;
    std::map<std::string, std::uint64_t> inForce;
};

} // namespace balsamport::testing

#endif
