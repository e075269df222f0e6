#ifndef BALSAMPORT_TESTS_CLAIM_WORLD_H
#define BALSAMPORT_TESTS_CLAIM_WORLD_H

#include "history_oracle.h"
#include "world_random.h"

#include <balsamport/policy/claim_key.h>
#include <balsamport/policy/claim_round.h>
#include <balsamport/policy/retry.h>
#include <balsamport/policy/ticket_table.h>
#include <balsamport/policy/witness_slots.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace balsamport::testing {

/// @brief Faults that a history holds; counted.
enum class Fault : std::uint8_t {
    MessageLost,
    MessageLate,
    MessageTwice,
    ReplyLost,
    ControllerPaused,
    ControllerRestarted,
    GatewayPaused,
    GatewayKilled,
    DataCentreCutOff,
    PlatformDown,
    ListChanged,
    CallerClockWrong,
    WitnessClockOff,
    KeyForgotten,
    ServiceDown,
    SameKeyAgain,
    OtherBody,
    Count,
};

constexpr std::array<const char *, static_cast<std::size_t>(Fault::Count)> faultNames{
        "message-lost",      "message-late",       "message-twice",  "reply-lost",
        "controller-paused", "controller-restart", "gateway-paused", "gateway-killed",
        "data-centre-cut",   "platform-down",      "list-changed",   "caller-clock-wrong",
        "witness-clock-off", "key-forgotten",      "service-down",   "same-key-again",
        "other-body"};

using FaultCounts = std::array<std::uint64_t, static_cast<std::size_t>(Fault::Count)>;

/// @brief A fault planted in the system itself, that the oracle must find.
enum class ClaimDefect : std::uint8_t {
    None,
    WitnessGrantsTwice, ///< A witness gives a key to everyone who asks.
    WitnessForgetsAtRestart, ///< A fresh witness trusts its empty memory.
    WitnessForgetsWhenFull, ///< A full table forgets without a watermark.
    StaleViewGrants, ///< A witness grants without a confirmed view, and takes a seat at once.
    NoHandoverWait, ///< A new holder of a seat grants at once.
    LapseIgnored, ///< A holder that was paused past its view goes on as before.
    FutureKeysTaken, ///< A witness takes keys from the future.
    RetryAfterDispatch, ///< A lost reply is answered by sending again.
    FalseNotRun, ///< A claim without a majority is told as not run.
    DispatchAfterNotRun, ///< A gateway tells not-run and sends all the same.
};

/// @brief Gateways, controllers, a service and callers in virtual time.
///
/// Drives the policies that the daemons use: claim tables, tickets, rounds, outcomes and retries.
/// Everything else is a few lines of fake: processes that pause, restart and cut off data centres,
/// and messages that are lost, late or come twice.
class ClaimWorld
{
public:
    struct Shape
    {
        std::uint32_t dataCentres = 3;
        std::uint32_t vmsEach = 2;
        std::size_t tableSize = 1'000;
        Millis clockSkew{2'000};
        ClaimDefect defect = ClaimDefect::None;
    };

    ClaimWorld(const Shape &shape, std::uint64_t seed)
        : random(seed)
        , shape(shape)
    {
        this->limits.capacity = shape.tableSize;
        this->limits.clockSkew = shape.clockSkew;
        this->limits.retryHorizon = Millis(10'000);
        for (std::uint32_t i = 0; i < shape.dataCentres; ++i) {
            this->dcs.emplace_back("dc" + std::to_string(i));
        }
        const std::uint32_t count = shape.dataCentres * shape.vmsEach;
        this->cutUntil.resize(shape.dataCentres);
        this->controllers.resize(count);
        this->gateways.resize(count);
        this->leaving.resize(count);
        for (std::uint32_t i = 0; i < count; ++i) {
            this->order.push_back(i);
        }
        this->publish();
        for (std::uint32_t i = 0; i < count; ++i) {
            this->startController(i);
            this->refresh(i);
        }
        this->advance(Millis(20'000)); // The first seats settle.
    }

    const HistoryOracle &oracle() const { return this->history; }
    const FaultCounts &faults() const { return this->counts; }
    std::uint64_t won() const { return this->wonCount; }
    std::uint64_t reportedNotRun() const { return this->notRunCount; }

    /// @name What callers do
    /// @{
    void newKey(std::uint64_t slot)
    {
        Key &key = this->keys[slot % this->keys.size()];
        key = Key{};
        key.bornAt = this->now;
        const std::uint64_t kind = this->random.below(10);
        const std::string name = "k" + std::to_string(++this->names);
        if (kind < 2) {
            const std::size_t vm = this->random.below(this->controllers.size());
            if (!this->isDown(this->controllers[vm])) {
                key.name = formatTicket(this->controllers[vm].tickets->issue());
                return;
            }
        }
        key.name = RequestKey(name);
        if (kind < 7) {
            key.firstSent = this->wall() + this->callerClockError();
        }
    }

    void send(std::uint64_t slot, std::uint64_t gateway)
    {
        Key &key = this->keys[slot % this->keys.size()];
        if (key.name.empty()) {
            this->newKey(slot);
        }
        const bool ageUnknown = !key.firstSent && !parseTicket(key.name.str());
        const Millis latest = this->limits.retryHorizon - Millis(200);
        if (ageUnknown && this->now > key.bornAt + latest) {
            return; // Callers promise to repeat keys of unknown age no longer.
        }
        Request request;
        request.name = "r" + std::to_string(++this->names);
        request.key = key.name;
        request.firstSent = key.firstSent;
        request.ageUnknown = ageUnknown;
        request.body = this->random.percent(10) ? 2 : 1;
        this->count(Fault::OtherBody, request.body == 2);
        this->count(Fault::SameKeyAgain, key.sent > 0);
        ++key.sent;
        Event offered = eventAt(EventKind::Offered, this->now);
        offered.request = request.name;
        offered.key = key.name.str();
        offered.repeatable = false;
        this->history.add(offered);
        const std::size_t to = gateway % this->gateways.size();
        const std::uint64_t incarnation = this->gateways[to].incarnation;
        this->schedule(Millis(1 + static_cast<std::int64_t>(this->random.below(100))),
                       [this, to, incarnation, request] {
                           this->atGateway(to, incarnation,
                                           [this, to, request] { this->receive(to, request); });
                       });
    }

    void advance(Millis time)
    {
        const Millis end = this->now + time;
        while (!this->agenda.empty() && this->agenda.top().at <= end) {
            const Item item = this->agenda.top();
            this->agenda.pop();
            this->now = std::max(this->now, item.at);
            item.action();
        }
        this->now = end;
    }
    /// @}

    /// @name Faults
    /// @{
    void pauseController(std::uint64_t vm, Millis time)
    {
        Controller &controller = this->controllers[vm % this->controllers.size()];
        controller.pausedUntil = std::max(controller.pausedUntil, this->now + time);
        this->count(Fault::ControllerPaused);
    }
    void pauseGateway(std::uint64_t vm, Millis time)
    {
        Gateway &gateway = this->gateways[vm % this->gateways.size()];
        gateway.pausedUntil = std::max(gateway.pausedUntil, this->now + time);
        this->count(Fault::GatewayPaused);
    }
    void restartController(std::uint64_t vm, Millis down)
    {
        const std::size_t index = vm % this->controllers.size();
        Controller &controller = this->controllers[index];
        ++controller.incarnation; // Whatever was under way is lost.
        controller.downUntil = this->now + down;
        controller.pausedUntil = Millis(0);
        const std::uint64_t incarnation = controller.incarnation;
        this->schedule(down, [this, index, incarnation] {
            if (this->controllers[index].incarnation == incarnation) {
                this->startController(index);
                this->refresh(index);
            }
        });
        this->count(Fault::ControllerRestarted);
    }
    void killGateway(std::uint64_t vm)
    {
        Gateway &gateway = this->gateways[vm % this->gateways.size()];
        ++gateway.incarnation;
        gateway.pausedUntil = Millis(0);
        this->count(Fault::GatewayKilled);
    }
    void cutOff(std::uint64_t dataCentre, Millis time)
    {
        this->cutUntil[dataCentre % this->cutUntil.size()] = this->now + time;
        this->count(Fault::DataCentreCutOff);
    }
    void platformDown(Millis time)
    {
        this->platformDownUntil = this->now + time;
        this->count(Fault::PlatformDown);
    }
    void changeList(std::uint64_t choice)
    {
        const std::size_t vm = choice % this->leaving.size();
        if (choice % 3 == 0) {
            this->leaving[vm] = !this->leaving[vm];
        } else {
            const auto found = std::find(this->order.begin(), this->order.end(), vm);
            std::rotate(this->order.begin(), found, found + 1);
        }
        this->publish();
        this->count(Fault::ListChanged);
    }
    void setChaos(std::uint64_t lossPercent, std::uint64_t latePercent)
    {
        this->lossPercent = lossPercent % 40;
        this->latePercent = latePercent % 40;
    }
    void serviceDown(Millis time)
    {
        this->serviceDownUntil = this->now + time;
        this->count(Fault::ServiceDown);
    }
    /// @}

    /// @name Faults that come together, at times that hurt most
    /// @{

    /// Seats move while their holders are paused for about the lifetime of a view, and a key is
    /// sent to gateways that see the list before and after.
    void raceHandover(std::uint64_t slot)
    {
        const std::vector<std::size_t> holders = this->moveAllSeats();
        for (const std::size_t vm : holders) {
            this->pauseController(vm, this->anyMillis(800, 2'200));
        }
        this->advance(this->anyMillis(300, 2'600));
        this->newKey(slot);
        for (std::uint64_t i = 0; i < 4; ++i) {
            this->send(slot, this->random.next());
            this->advance(this->anyMillis(0, 400));
        }
    }

    /// A majority of each data centre is paused while its seat moves to another VM, and wakes with
    /// the old list once the platform is down.
    void raceLapse(std::uint64_t slot)
    {
        this->moveAllSeats();
        const auto newest = static_cast<int>(this->lists.size()) - 1;
        const Millis pause = this->anyMillis(6'000, 12'000);
        for (std::size_t vm = 0; vm < this->controllers.size(); ++vm) {
            if (this->holderOf({this->dcs[this->dcOf(vm)], 0}, newest) != static_cast<int>(vm)) {
                this->pauseController(vm, pause);
            }
        }
        this->advance(this->anyMillis(4'200, 6'000));
        this->newKey(slot);
        this->send(slot, this->random.next());
        this->advance(this->anyMillis(100, 700));
        this->platformDown(this->anyMillis(8'000, 16'000));
        this->advance(pause);
        for (std::uint64_t i = 0; i < 4; ++i) {
            this->send(slot, this->random.next());
            this->advance(this->anyMillis(0, 400));
        }
    }
    /// @}

    /// @brief Lets everything that is under way come to its end.
    std::vector<Violation> finish()
    {
        this->advance(Millis(120'000));
        return this->history.finish();
    }

private:
    struct Key
    {
        RequestKey name;
        std::optional<Millis> firstSent;
        Millis bornAt;
        int sent = 0;
    };
    struct Request
    {
        std::string name;
        RequestKey key;
        std::optional<Millis> firstSent;
        bool ageUnknown = false;
        std::uint64_t body = 1;
    };
    struct SeatMemory
    {
        WitnessState state;
        std::unique_ptr<ClaimTable> table = std::make_unique<ClaimTable>();
    };
    struct Controller
    {
        std::uint64_t incarnation = 1;
        Millis downUntil;
        Millis pausedUntil;
        Millis skew;
        int view = -1; ///< Version of the list.
        std::map<std::string, SeatMemory> seats;
        std::unique_ptr<TicketTable> tickets;
    };
    struct Gateway
    {
        std::uint64_t incarnation = 1;
        Millis pausedUntil;
        Millis wokeAt{-1'000'000};
        int view = 0;
    };
    struct Attempt
    {
        Request request;
        std::size_t gateway = 0;
        std::uint64_t incarnation = 0;
        AttemptId id;
        ClaimRound round;
        std::vector<std::string> seats;
        std::vector<int> holders; ///< VM of each seat; -1 for none.
        std::array<std::vector<bool>, 2> answered; ///< Of claims, and of requests to close.
        Millis arrivedAt;
        std::uint32_t dispatches = 0;
        bool told = false;
        bool sent = false;
        bool timedOut = false; ///< Of the service's reply.
    };
    using AttemptPtr = std::shared_ptr<Attempt>;
    struct Item
    {
        Millis at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const Item &other) const
        {
            return this->at != other.at ? this->at > other.at : this->order > other.order;
        }
    };

    static constexpr Millis viewLifetime{2'000};
    static constexpr Millis refreshInterval{500};
    static constexpr Millis replyTimeout{150};
    static constexpr int triesPerSeat = 3;
    static constexpr Millis serviceTimeout{10'000};
    static constexpr Millis requestTimeout{60'000};
    static constexpr Millis afterPause{2'000};
    static constexpr Millis wallBase{1'700'000'000'000};

    void count(Fault fault, bool happened = true)
    {
        this->counts[static_cast<std::size_t>(fault)] += happened ? 1 : 0;
    }
    Millis wall() const { return wallBase + this->now; }
    std::size_t dcOf(std::size_t vm) const { return vm % this->shape.dataCentres; }
    bool isCut(std::size_t dc) const { return this->now < this->cutUntil[dc]; }
    bool isDown(const Controller &controller) const { return this->now < controller.downUntil; }
    bool hasDefect(ClaimDefect defect) const { return this->shape.defect == defect; }

    Millis callerClockError()
    {
        constexpr std::array<std::int64_t, 8> errors{0, 0, 0, 400, -1'500, 1'900, -20'000, 60'000};
        const std::int64_t error = errors[this->random.below(errors.size())];
        this->count(Fault::CallerClockWrong, error != 0);
        return Millis(error);
    }

    void schedule(Millis delay, std::function<void()> action)
    {
        this->agenda.push({this->now + delay, ++this->sequence, std::move(action)});
    }

    /// Runs an action in a gateway once it is awake; not at all in a later incarnation.
    void atGateway(std::size_t vm, std::uint64_t incarnation, const std::function<void()> &action)
    {
        Gateway &gateway = this->gateways[vm];
        if (gateway.incarnation != incarnation) {
            return;
        }
        if (this->now < gateway.pausedUntil) {
            const Millis wake = gateway.pausedUntil;
            this->schedule(wake - this->now, [this, vm, incarnation, action, wake] {
                this->gateways[vm].wokeAt = wake;
                this->atGateway(vm, incarnation, action);
            });
            return;
        }
        action();
    }

    void atController(std::size_t vm, std::uint64_t incarnation,
                      const std::function<void()> &action)
    {
        Controller &controller = this->controllers[vm];
        if (controller.incarnation != incarnation || this->isDown(controller)) {
            return;
        }
        if (this->now < controller.pausedUntil) {
            this->schedule(controller.pausedUntil - this->now, [this, vm, incarnation, action] {
                this->atController(vm, incarnation, action);
            });
            return;
        }
        action();
    }

    /// Carries a message between two VMs, or loses, delays or doubles it.
    void carry(std::size_t from, std::size_t to, const std::function<void()> &arrive)
    {
        const bool cut = this->dcOf(from) != this->dcOf(to)
                && (this->isCut(this->dcOf(from)) || this->isCut(this->dcOf(to)));
        if (cut) {
            return;
        }
        if (this->random.percent(this->lossPercent)) {
            this->count(Fault::MessageLost);
            return;
        }
        const std::uint64_t copies = this->random.percent(3) ? 2 : 1;
        this->count(Fault::MessageTwice, copies == 2);
        for (std::uint64_t i = 0; i < copies; ++i) {
            Millis delay(1 + static_cast<std::int64_t>(this->random.below(30)));
            if (this->random.percent(this->latePercent)) {
                delay = Millis(static_cast<std::int64_t>(this->random.below(20'000)));
                this->count(Fault::MessageLate);
            }
            this->schedule(delay, arrive);
        }
    }

    Millis anyMillis(std::uint64_t from, std::uint64_t to)
    {
        return Millis(static_cast<std::int64_t>(from + this->random.below(to - from + 1)));
    }

    // --- The list of VMs and the seats ---

    /// Publishes a list in which every data centre's first VM comes last.
    /// @return the VMs that were first
    std::vector<std::size_t> moveAllSeats()
    {
        for (Gateway &gateway : this->gateways) {
            gateway.view = static_cast<int>(this->lists.size()) - 1;
        }
        std::vector<std::size_t> firsts;
        for (const DataCentreId &dc : this->dcs) {
            const int holder = this->holderOf({dc, 0}, static_cast<int>(this->lists.size()) - 1);
            if (holder >= 0) {
                firsts.push_back(static_cast<std::size_t>(holder));
            }
        }
        for (const std::size_t vm : firsts) {
            this->order.erase(std::find(this->order.begin(), this->order.end(), vm));
            this->order.push_back(vm);
        }
        this->publish();
        this->count(Fault::ListChanged);
        return firsts;
    }

    void publish()
    {
        FleetView view;
        for (std::size_t i = 0; i < this->order.size(); ++i) {
            Member member;
            member.instance = {VmId("vm" + std::to_string(i)), Incarnation(1)};
            member.dataCentre = this->dcs[this->dcOf(i)];
            member.state = this->leaving[i] ? MemberState::Leaving : MemberState::Alive;
            view.members.push_back(member);
        }
        std::sort(view.members.begin(), view.members.end());
        for (const std::size_t vm : this->order) {
            view.listedVms.emplace_back("vm" + std::to_string(vm));
        }
        this->lists.push_back(std::move(view));
    }

    int holderOf(const WitnessSlot &seat, int view) const
    {
        const auto holder = witnessOf(seat, this->lists[static_cast<std::size_t>(view)]);
        return holder ? std::stoi(holder->instance.vm.str().substr(2)) : -1;
    }

    void startController(std::size_t vm)
    {
        Controller &controller = this->controllers[vm];
        const std::int64_t spread = this->limits.clockSkew.count();
        controller.skew
                = Millis(static_cast<std::int64_t>(this->random.below(spread + 1)) - spread / 2);
        this->count(Fault::WitnessClockOff, controller.skew != Millis(0));
        controller.view = -1;
        controller.seats.clear();
        controller.tickets = std::make_unique<TicketTable>(
                VmInstance{VmId("vm" + std::to_string(vm)), Incarnation(controller.incarnation)});
    }

    bool reachesPlatform(std::size_t vm) const
    {
        return this->now >= this->platformDownUntil && !this->isCut(this->dcOf(vm));
    }

    /// A majority of the VMs of the data centre is awake and holds the same list.
    bool hasMajority(std::size_t vm) const
    {
        std::size_t same = 0;
        std::size_t all = 0;
        for (std::size_t i = this->dcOf(vm); i < this->controllers.size();
             i += this->shape.dataCentres) {
            const Controller &other = this->controllers[i];
            ++all;
            const bool awake = !this->isDown(other) && this->now >= other.pausedUntil;
            same += awake && other.view == this->controllers[vm].view ? 1 : 0;
        }
        return same * 2 > all;
    }

    /// Asks the platform, or the other VMs of the data centre, which list is in force. The answer
    /// takes its time; what it confirms counts from when it was asked.
    void refresh(std::size_t vm)
    {
        const std::uint64_t incarnation = this->controllers[vm].incarnation;
        Controller &controller = this->controllers[vm];
        const bool fromPlatform = this->reachesPlatform(vm);
        if (!fromPlatform && controller.view < 0) {
            this->askPeerForList(vm);
        }
        const bool confirmed = fromPlatform || (controller.view >= 0 && this->hasMajority(vm));
        const int view = fromPlatform ? static_cast<int>(this->lists.size()) - 1 : controller.view;
        const Millis askedAt = this->now;
        this->schedule(this->anyMillis(1, 200), [this, vm, incarnation, confirmed, view, askedAt] {
            this->atController(vm, incarnation, [this, vm, confirmed, view, askedAt] {
                this->controllers[vm].view = std::max(this->controllers[vm].view, view);
                if (this->controllers[vm].view >= 0) {
                    this->takeSeats(vm, confirmed, askedAt);
                }
            });
        });
        this->schedule(refreshInterval, [this, vm, incarnation] {
            this->atController(vm, incarnation, [this, vm] { this->refresh(vm); });
        });
    }

    void askPeerForList(std::size_t vm)
    {
        for (std::size_t i = this->dcOf(vm); i < this->controllers.size();
             i += this->shape.dataCentres) {
            const Controller &peer = this->controllers[i];
            if (!this->isDown(peer) && this->now >= peer.pausedUntil) {
                this->controllers[vm].view = std::max(this->controllers[vm].view, peer.view);
            }
        }
    }

    void takeSeats(std::size_t vm, bool confirmed, Millis askedAt)
    {
        Controller &controller = this->controllers[vm];
        for (const WitnessSlot &seat : allWitnessSlots(this->dcs)) {
            const bool held = this->holderOf(seat, controller.view) == static_cast<int>(vm);
            if (!held && !controller.seats.contains(seat.str())) {
                continue;
            }
            SeatMemory &memory = controller.seats[seat.str()];
            SeatView news;
            news.held = held;
            news.confirmedUntil = memory.state.confirmedUntil;
            if (confirmed) {
                news.confirmedUntil = std::max(news.confirmedUntil, askedAt + viewLifetime);
            }
            if (this->hasDefect(ClaimDefect::LapseIgnored) && memory.state.held) {
                memory.state.confirmedUntil = this->now + Millis(1);
            }
            memory.state = updatedWitnessState(memory.state, news, this->now,
                                               this->wall() + controller.skew);
        }
    }

    // --- Witnesses ---

    ClaimVerdict decide(std::size_t vm, const std::string &seat, const WitnessRequest &ask)
    {
        Controller &controller = this->controllers[vm];
        if (const auto ticket = parseTicket(ask.key.str())) {
            if (this->hasDefect(ClaimDefect::WitnessGrantsTwice)) {
                return {ask.claimant, std::nullopt};
            }
            return controller.tickets->decide(*ticket, ask.claimant, this->limits.capacity);
        }
        const auto found = controller.seats.find(seat);
        if (found == controller.seats.end()) {
            return {std::nullopt, ErrorCode::WitnessUnavailable};
        }
        SeatMemory &memory = found->second;
        WitnessState state = memory.state;
        state.now = this->now;
        state.nowWall = this->wall() + controller.skew;
        ClaimLimits used = this->limits;
        this->applyDefect(state, used);
        const std::size_t before = memory.table->size();
        if (this->hasDefect(ClaimDefect::WitnessGrantsTwice)) {
            return {ask.claimant, std::nullopt};
        }
        ClaimVerdict verdict = memory.table->decide(ask, state, used);
        const bool full = before >= used.capacity && memory.table->size() == before;
        this->count(Fault::KeyForgotten,
                    full && verdict.holder && verdict.holder->attempt == ask.claimant.attempt);
        if (this->hasDefect(ClaimDefect::WitnessForgetsWhenFull)
            && memory.table->size() >= used.capacity) {
            memory.table = std::make_unique<ClaimTable>();
        }
        return verdict;
    }

    void applyDefect(WitnessState &state, ClaimLimits &used) const
    {
        if (this->hasDefect(ClaimDefect::WitnessForgetsAtRestart)) {
            used.handoverWait = Millis(0);
            used.clockSkew = Millis(100'000);
            used.retryHorizon = Millis(-100'000);
            state.heldSinceWall = Millis(0);
        }
        if (this->hasDefect(ClaimDefect::NoHandoverWait)) {
            used.handoverWait = Millis(0);
        }
        if (this->hasDefect(ClaimDefect::FutureKeysTaken)) {
            state.nowWall += Millis(100'000);
        }
        if (this->hasDefect(ClaimDefect::StaleViewGrants)) {
            state.held = true;
            state.heldSince = Millis(0) - Millis(1'000'000);
            state.heldSinceWall = Millis(0);
            state.confirmedUntil = this->now + Millis(1);
        }
    }

    // --- Gateways ---

    void receive(std::size_t vm, const Request &request)
    {
        Gateway &gateway = this->gateways[vm];
        if (this->reachesPlatform(vm) && this->random.percent(70)) {
            gateway.view = static_cast<int>(this->lists.size()) - 1; // Else it lags behind.
        }
        auto attempt = std::make_shared<Attempt>();
        attempt->request = request;
        attempt->gateway = vm;
        attempt->incarnation = gateway.incarnation;
        attempt->id = AttemptId(++this->names);
        attempt->arrivedAt = this->now;
        const bool pausedLately = this->now < gateway.wokeAt + afterPause;
        if (!(request.ageUnknown && pausedLately)) {
            this->findSeats(*attempt, gateway.view);
        }
        attempt->round = startRound(attempt->id, Fingerprint(request.body), attempt->seats.size(),
                                    !request.ageUnknown, false);
        for (auto &answered : attempt->answered) {
            answered.assign(attempt->seats.size(), false);
        }
        if (attempt->seats.empty()) {
            this->finishClaim(attempt);
            return;
        }
        this->askAll(attempt, false);
    }

    void findSeats(Attempt &attempt, int view)
    {
        if (const auto ticket = parseTicket(attempt.request.key.str())) {
            attempt.seats.emplace_back("ticket");
            attempt.holders.push_back(std::stoi(ticket->witness.vm.str().substr(2)));
            return;
        }
        for (const WitnessSlot &seat : witnessSlotsForKey(attempt.request.key, this->dcs)) {
            attempt.seats.push_back(seat.str());
            attempt.holders.push_back(this->holderOf(seat, view));
        }
    }

    void askAll(const AttemptPtr &attempt, bool close)
    {
        for (std::size_t seat = 0; seat < attempt->seats.size(); ++seat) {
            this->ask(attempt, seat, close, triesPerSeat);
        }
    }

    void ask(const AttemptPtr &attempt, std::size_t seat, bool close, int triesLeft)
    {
        if (attempt->answered[close ? 1 : 0][seat]) {
            return;
        }
        if (attempt->holders[seat] < 0 || triesLeft == 0) {
            this->answer(attempt, seat, close, {std::nullopt, ErrorCode::WitnessUnavailable});
            return;
        }
        const auto witness = static_cast<std::size_t>(attempt->holders[seat]);
        WitnessRequest question{attempt->request.key, {}, attempt->request.firstSent};
        if (!close) {
            question.claimant = {attempt->id,
                                 {VmId("vm" + std::to_string(attempt->gateway)), Incarnation(1)},
                                 Fingerprint(attempt->request.body)};
        }
        this->carry(attempt->gateway, witness, [this, attempt, seat, close, witness, question] {
            const std::uint64_t incarnation = this->controllers[witness].incarnation;
            this->atController(
                    witness, incarnation, [this, attempt, seat, close, witness, question] {
                        const ClaimVerdict verdict
                                = this->decide(witness, attempt->seats[seat], question);
                        this->carry(
                                witness, attempt->gateway, [this, attempt, seat, close, verdict] {
                                    this->atGateway(attempt->gateway, attempt->incarnation,
                                                    [this, attempt, seat, close, verdict] {
                                                        this->answer(attempt, seat, close, verdict);
                                                    });
                                });
                    });
        });
        this->schedule(replyTimeout, [this, attempt, seat, close, triesLeft] {
            this->atGateway(attempt->gateway, attempt->incarnation,
                            [this, attempt, seat, close, triesLeft] {
                                this->ask(attempt, seat, close, triesLeft - 1);
                            });
        });
    }

    void answer(const AttemptPtr &attempt, std::size_t seat, bool close,
                const ClaimVerdict &verdict)
    {
        if (attempt->answered[close ? 1 : 0][seat] || attempt->round.done) {
            return;
        }
        attempt->answered[close ? 1 : 0][seat] = true;
        const ClaimStep step = applyReply(attempt->round, seat, close, verdict);
        if (step == ClaimStep::CloseAll) {
            this->askAll(attempt, true);
        } else if (step == ClaimStep::Finish) {
            this->finishClaim(attempt);
        }
    }

    void finishClaim(const AttemptPtr &attempt)
    {
        const ClaimOutcome outcome = roundOutcome(attempt->round, attempt->arrivedAt,
                                                  attempt->arrivedAt + requestTimeout, this->now);
        if (outcome.standing == ClaimStanding::Won) {
            ++this->wonCount;
            this->note(EventKind::Claimed, *attempt);
            this->dispatch(attempt, outcome, 1);
            return;
        }
        AttemptResult end;
        end.stage = AttemptStage::ClaimFailed;
        end.provenNotRun = outcome.provenNotRun || this->hasDefect(ClaimDefect::FalseNotRun);
        end.failure = outcome.failure;
        this->tell(*attempt, end);
    }

    void dispatch(const AttemptPtr &attempt, const ClaimOutcome &outcome, std::uint32_t tries)
    {
        const bool late = this->now >= outcome.dispatchDeadline;
        const bool connected = this->now >= this->serviceDownUntil;
        if (!late && connected) {
            this->run(attempt);
            return;
        }
        FailedAttempt failed;
        failed.failure = ErrorCode::ConnectFailed;
        failed.sent = false;
        failed.attempts = tries;
        failed.now = this->now;
        failed.deadline = outcome.dispatchDeadline;
        const RetryDecision decision = decideRetry(failed, RetryBudget{}, 0.5);
        if (!late && decision.action == RetryAction::TryAnother) {
            this->schedule(decision.delay, [this, attempt, outcome, tries] {
                this->atGateway(attempt->gateway, attempt->incarnation,
                                [this, attempt, outcome, tries] {
                                    this->dispatch(attempt, outcome, tries + 1);
                                });
            });
            return;
        }
        AttemptResult end;
        end.stage = AttemptStage::Claimed;
        end.provenNotRun = outcome.provenNotRun;
        end.failure = ErrorCode::ClaimExpired;
        this->tell(*attempt, end);
        if (this->hasDefect(ClaimDefect::DispatchAfterNotRun)) {
            this->run(attempt);
        }
    }

    void run(const AttemptPtr &attempt)
    {
        attempt->sent = true;
        this->note(EventKind::Dispatched, *attempt);
        const std::int64_t slowest = this->random.percent(10) ? 30'000 : 50;
        const Millis toService(static_cast<std::int64_t>(this->random.below(slowest)));
        const bool lost = this->random.percent(this->lossPercent);
        this->count(Fault::ReplyLost, lost);
        this->schedule(toService, [this, attempt, lost] {
            this->note(EventKind::Started, *attempt);
            if (!lost) {
                this->schedule(Millis(5), [this, attempt] {
                    this->atGateway(attempt->gateway, attempt->incarnation, [this, attempt] {
                        AttemptResult end;
                        end.stage = AttemptStage::ResponseStarted;
                        end.responseStatus = 201;
                        this->tell(*attempt, end);
                    });
                });
            }
        });
        this->schedule(serviceTimeout, [this, attempt] {
            this->atGateway(attempt->gateway, attempt->incarnation, [this, attempt] {
                if (attempt->told) {
                    return;
                }
                if (this->hasDefect(ClaimDefect::RetryAfterDispatch) && attempt->dispatches < 2) {
                    this->run(attempt);
                    return;
                }
                AttemptResult end;
                end.stage = AttemptStage::Sent;
                end.provenNotRun = isProvenNotRun(attempt->round.votes);
                end.failure = ErrorCode::Timeout;
                this->tell(*attempt, end);
            });
        });
    }

    void note(EventKind kind, Attempt &attempt)
    {
        attempt.dispatches += kind == EventKind::Dispatched ? 1 : 0;
        Event event = eventAt(kind, this->now);
        event.request = attempt.request.name;
        event.key = attempt.request.key.str();
        event.attempt = attempt.id.number();
        event.server = "service";
        this->history.add(event);
    }

    void tell(Attempt &attempt, AttemptResult end)
    {
        if (attempt.told) {
            return;
        }
        attempt.told = true;
        end.repeatable = false;
        end.hasKey = true;
        Event event = eventAt(EventKind::OutcomeReported, this->now);
        event.request = attempt.request.name;
        event.key = attempt.request.key.str();
        event.outcome = outcomeOf(end);
        this->notRunCount += event.outcome == Outcome::NotRun ? 1 : 0;
        this->history.add(event);
    }

    WorldRandom random;
    Shape shape;
    ClaimLimits limits;
    Millis now;
    std::uint64_t sequence = 0;
    std::uint64_t names = 0;
    std::priority_queue<Item> agenda;
    std::vector<DataCentreId> dcs;
    std::vector<Controller> controllers;
    std::vector<Gateway> gateways;
    std::vector<bool> leaving;
    std::vector<std::size_t> order;
    std::vector<FleetView> lists; ///< Every list that was published.
    std::vector<Millis> cutUntil; ///< By data centre.
    Millis platformDownUntil;
    Millis serviceDownUntil;
    std::uint64_t lossPercent = 0;
    std::uint64_t latePercent = 0;
    std::array<Key, 3> keys;
    HistoryOracle history;
    FaultCounts counts{};
    std::uint64_t wonCount = 0;
    std::uint64_t notRunCount = 0;
};

} // namespace balsamport::testing

#endif
