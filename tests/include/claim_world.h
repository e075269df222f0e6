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

/// @brief The faults that a history contains; counted.
enum class Fault : std::uint8_t {
    MessageLost,
    MessageLate,
    MessageDuplicated,
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
    KeyEvicted,
    ServiceDown,
    KeyRepeated,
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

/// @brief A defect seeded into the system itself, which the oracle must detect.
enum class ClaimDefect : std::uint8_t {
    None,
    WitnessGrantsTwice, ///< A witness grants a key to every attempt that requests it.
    WitnessTrustsTableAtRestart, ///< A restarted witness trusts its empty table.
    NoWatermarkWhenFull, ///< A full table evicts keys without a watermark.
    StaleViewGrants, ///< A witness grants keys without a confirmed view or a wait for its slot.
    NoHandoverWait, ///< A new holder of a witness slot grants keys without the handover wait.
    ExpiryIgnored, ///< A holder that was paused past the expiry of its view still grants keys.
    FutureKeysAccepted, ///< A witness accepts keys from the future.
    RetryAfterDispatch, ///< A gateway sends a request again after a lost reply.
    FalseNotRun, ///< A claim without a majority is reported as not run.
    DispatchAfterNotRun, ///< A gateway reports not-run and dispatches the request nevertheless.
};

/// @brief Gateways, controllers, a service and callers in simulated time.
///
/// Exercises the policies that the daemons use: claim tables, tickets, rounds, outcomes and
/// retries. Everything else is a small fake: processes that pause and restart, data centres that
/// are cut off, and messages that are lost, late or duplicated.
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
        this->draining.resize(count);
        for (std::uint32_t i = 0; i < count; ++i) {
            this->order.push_back(i);
        }
        this->publish();
        for (std::uint32_t i = 0; i < count; ++i) {
            this->startController(i);
            this->refresh(i);
        }
        this->advance(Millis(20'000)); // The first holders of the witness slots pass their waits.
    }

    const HistoryOracle &oracle() const { return this->history; }
    const FaultCounts &faults() const { return this->counts; }
    std::uint64_t won() const { return this->wonCount; }
    std::uint64_t reportedNotRun() const { return this->notRunCount; }

    /// @name Actions of callers
    /// @{
    void newKey(std::uint64_t keyIndex)
    {
        Key &key = this->keys[keyIndex % this->keys.size()];
        key = Key{};
        key.createdAt = this->now;
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

    void send(std::uint64_t keyIndex, std::uint64_t gateway)
    {
        Key &key = this->keys[keyIndex % this->keys.size()];
        if (key.name.empty()) {
            this->newKey(keyIndex);
        }
        const bool ageUnknown = !key.firstSent && !parseTicket(key.name.str());
        const Millis latest = this->limits.retryHorizon - Millis(200);
        if (ageUnknown && this->now > key.createdAt + latest) {
            return; // Callers must not repeat keys of unknown age after the retry horizon.
        }
        Request request;
        request.name = "r" + std::to_string(++this->names);
        request.key = key.name;
        request.firstSent = key.firstSent;
        request.ageUnknown = ageUnknown;
        request.body = this->random.percent(10) ? 2 : 1;
        this->count(Fault::OtherBody, request.body == 2);
        this->count(Fault::KeyRepeated, key.sent > 0);
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
        ++controller.incarnation; // All actions in progress are lost.
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
        const std::size_t vm = choice % this->draining.size();
        if (choice % 3 == 0) {
            this->draining[vm] = !this->draining[vm];
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

    /// @name Combined faults, at the times with the largest effect
    /// @{

    /// Moves the witness slots while their holders are paused for about the lifetime of a view, and
    /// sends a key to gateways that have the list from before or after the move.
    void raceHandover(std::uint64_t keyIndex)
    {
        const std::vector<std::size_t> holders = this->moveAllSlots();
        for (const std::size_t vm : holders) {
            this->pauseController(vm, this->anyMillis(800, 2'200));
        }
        this->advance(this->anyMillis(300, 2'600));
        this->newKey(keyIndex);
        for (std::uint64_t i = 0; i < 4; ++i) {
            this->send(keyIndex, this->random.next());
            this->advance(this->anyMillis(0, 400));
        }
    }

    /// Pauses a majority of each data centre while its witness slot moves to another VM. The
    /// majority resumes with the old list while the platform is unreachable.
    void raceExpiry(std::uint64_t keyIndex)
    {
        this->moveAllSlots();
        const auto newest = static_cast<int>(this->lists.size()) - 1;
        const Millis pause = this->anyMillis(6'000, 12'000);
        for (std::size_t vm = 0; vm < this->controllers.size(); ++vm) {
            if (this->holderOf({this->dcs[this->dcOf(vm)], 0}, newest) != static_cast<int>(vm)) {
                this->pauseController(vm, pause);
            }
        }
        this->advance(this->anyMillis(4'200, 6'000));
        this->newKey(keyIndex);
        this->send(keyIndex, this->random.next());
        this->advance(this->anyMillis(100, 700));
        this->platformDown(this->anyMillis(8'000, 16'000));
        this->advance(pause);
        for (std::uint64_t i = 0; i < 4; ++i) {
            this->send(keyIndex, this->random.next());
            this->advance(this->anyMillis(0, 400));
        }
    }
    /// @}

    /// @brief Runs until all actions in progress have ended.
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
        Millis createdAt;
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
    struct WitnessSlotState
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
        int view = -1; ///< Version of the list; -1 for none.
        std::map<std::string, WitnessSlotState> slots;
        std::unique_ptr<TicketTable> tickets;
    };
    struct Gateway
    {
        std::uint64_t incarnation = 1;
        Millis pausedUntil;
        Millis resumedAt{-1'000'000};
        int view = 0;
    };
    struct Attempt
    {
        Request request;
        std::size_t gateway = 0;
        std::uint64_t incarnation = 0;
        AttemptId id;
        ClaimRound round;
        std::vector<std::string> slots;
        std::vector<int> holders; ///< VM that holds each slot; -1 for none.
        std::array<std::vector<bool>, 2> replied; ///< By slot: claims, and requests to close.
        Millis arrivedAt;
        std::uint32_t dispatches = 0;
        bool reported = false;
        bool sent = false;
        bool timedOut = false; ///< The service did not reply in time.
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
    static constexpr int triesPerSlot = 3;
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

    /// Runs an action in a gateway after its pause, but not in a later incarnation.
    void atGateway(std::size_t vm, std::uint64_t incarnation, const std::function<void()> &action)
    {
        Gateway &gateway = this->gateways[vm];
        if (gateway.incarnation != incarnation) {
            return;
        }
        if (this->now < gateway.pausedUntil) {
            const Millis resumeAt = gateway.pausedUntil;
            this->schedule(resumeAt - this->now, [this, vm, incarnation, action, resumeAt] {
                this->gateways[vm].resumedAt = resumeAt;
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

    /// Delivers a message between two VMs, or loses, delays or duplicates it.
    void deliver(std::size_t from, std::size_t to, const std::function<void()> &arrive)
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
        this->count(Fault::MessageDuplicated, copies == 2);
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

    // --- The list of VMs and the witness slots ---

    /// Publishes a list in which the first VM of every data centre is last.
    /// @return the VMs that were first
    std::vector<std::size_t> moveAllSlots()
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
            member.state = this->draining[i] ? MemberState::Draining : MemberState::Alive;
            view.members.push_back(member);
        }
        std::sort(view.members.begin(), view.members.end());
        for (const std::size_t vm : this->order) {
            view.listedVms.emplace_back("vm" + std::to_string(vm));
        }
        this->lists.push_back(std::move(view));
    }

    int holderOf(const WitnessSlot &slot, int view) const
    {
        const auto holder = witnessOf(slot, this->lists[static_cast<std::size_t>(view)]);
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
        controller.slots.clear();
        controller.tickets = std::make_unique<TicketTable>(
                VmInstance{VmId("vm" + std::to_string(vm)), Incarnation(controller.incarnation)});
    }

    bool reachesPlatform(std::size_t vm) const
    {
        return this->now >= this->platformDownUntil && !this->isCut(this->dcOf(vm));
    }

    /// Returns whether a majority of the VMs of the data centre runs and has the same list.
    bool hasMajority(std::size_t vm) const
    {
        std::size_t same = 0;
        std::size_t all = 0;
        for (std::size_t i = this->dcOf(vm); i < this->controllers.size();
             i += this->shape.dataCentres) {
            const Controller &other = this->controllers[i];
            ++all;
            const bool isRunning = !this->isDown(other) && this->now >= other.pausedUntil;
            same += isRunning && other.view == this->controllers[vm].view ? 1 : 0;
        }
        return same * 2 > all;
    }

    /// Queries the current list from the platform, or from the other VMs of the data centre. The
    /// reply is delayed; the confirmation counts from the time of the query.
    void refresh(std::size_t vm)
    {
        const std::uint64_t incarnation = this->controllers[vm].incarnation;
        Controller &controller = this->controllers[vm];
        const bool fromPlatform = this->reachesPlatform(vm);
        if (!fromPlatform && controller.view < 0) {
            this->queryPeerForList(vm);
        }
        const bool confirmed = fromPlatform || (controller.view >= 0 && this->hasMajority(vm));
        const int view = fromPlatform ? static_cast<int>(this->lists.size()) - 1 : controller.view;
        const Millis queriedAt = this->now;
        this->schedule(
                this->anyMillis(1, 200), [this, vm, incarnation, confirmed, view, queriedAt] {
                    this->atController(vm, incarnation, [this, vm, confirmed, view, queriedAt] {
                        this->controllers[vm].view = std::max(this->controllers[vm].view, view);
                        if (this->controllers[vm].view >= 0) {
                            this->applySlots(vm, confirmed, queriedAt);
                        }
                    });
                });
        this->schedule(refreshInterval, [this, vm, incarnation] {
            this->atController(vm, incarnation, [this, vm] { this->refresh(vm); });
        });
    }

    void queryPeerForList(std::size_t vm)
    {
        for (std::size_t i = this->dcOf(vm); i < this->controllers.size();
             i += this->shape.dataCentres) {
            const Controller &peer = this->controllers[i];
            if (!this->isDown(peer) && this->now >= peer.pausedUntil) {
                this->controllers[vm].view = std::max(this->controllers[vm].view, peer.view);
            }
        }
    }

    void applySlots(std::size_t vm, bool confirmed, Millis queriedAt)
    {
        Controller &controller = this->controllers[vm];
        for (const WitnessSlot &slot : allWitnessSlots(this->dcs)) {
            const bool held = this->holderOf(slot, controller.view) == static_cast<int>(vm);
            if (!held && !controller.slots.contains(slot.str())) {
                continue;
            }
            WitnessSlotState &slotState = controller.slots[slot.str()];
            WitnessSlotView update;
            update.held = held;
            update.confirmedUntil = slotState.state.confirmedUntil;
            if (confirmed) {
                update.confirmedUntil = std::max(update.confirmedUntil, queriedAt + viewLifetime);
            }
            if (this->hasDefect(ClaimDefect::ExpiryIgnored) && slotState.state.held) {
                slotState.state.confirmedUntil = this->now + Millis(1);
            }
            slotState.state = updatedWitnessState(slotState.state, update, this->now,
                                                  this->wall() + controller.skew);
        }
    }

    // --- Witnesses ---

    ClaimVerdict decide(std::size_t vm, const std::string &slot, const WitnessRequest &request)
    {
        Controller &controller = this->controllers[vm];
        if (const auto ticket = parseTicket(request.key.str())) {
            if (this->hasDefect(ClaimDefect::WitnessGrantsTwice)) {
                return {request.claimant, std::nullopt};
            }
            return controller.tickets->decide(*ticket, request.claimant, this->limits.capacity);
        }
        const auto found = controller.slots.find(slot);
        if (found == controller.slots.end()) {
            return {std::nullopt, ErrorCode::WitnessUnavailable};
        }
        WitnessSlotState &slotState = found->second;
        WitnessState state = slotState.state;
        state.now = this->now;
        state.nowWall = this->wall() + controller.skew;
        ClaimLimits applied = this->limits;
        this->applyDefect(state, applied);
        const std::size_t before = slotState.table->size();
        if (this->hasDefect(ClaimDefect::WitnessGrantsTwice)) {
            return {request.claimant, std::nullopt};
        }
        ClaimVerdict verdict = slotState.table->decide(request, state, applied);
        const bool full = before >= applied.capacity && slotState.table->size() == before;
        this->count(Fault::KeyEvicted,
                    full && verdict.holder && verdict.holder->attempt == request.claimant.attempt);
        if (this->hasDefect(ClaimDefect::NoWatermarkWhenFull)
            && slotState.table->size() >= applied.capacity) {
            slotState.table = std::make_unique<ClaimTable>();
        }
        return verdict;
    }

    void applyDefect(WitnessState &state, ClaimLimits &applied) const
    {
        if (this->hasDefect(ClaimDefect::WitnessTrustsTableAtRestart)) {
            applied.handoverWait = Millis(0);
            applied.clockSkew = Millis(100'000);
            applied.retryHorizon = Millis(-100'000);
            state.heldSinceWall = Millis(0);
        }
        if (this->hasDefect(ClaimDefect::NoHandoverWait)) {
            applied.handoverWait = Millis(0);
        }
        if (this->hasDefect(ClaimDefect::FutureKeysAccepted)) {
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
            gateway.view = static_cast<int>(this->lists.size()) - 1; // Otherwise outdated.
        }
        auto attempt = std::make_shared<Attempt>();
        attempt->request = request;
        attempt->gateway = vm;
        attempt->incarnation = gateway.incarnation;
        attempt->id = AttemptId(++this->names);
        attempt->arrivedAt = this->now;
        const bool pausedRecently = this->now < gateway.resumedAt + afterPause;
        if (!(request.ageUnknown && pausedRecently)) {
            this->findSlots(*attempt, gateway.view);
        }
        attempt->round = startRound(attempt->id, Fingerprint(request.body), attempt->slots.size(),
                                    !request.ageUnknown, false);
        for (auto &replied : attempt->replied) {
            replied.assign(attempt->slots.size(), false);
        }
        if (attempt->slots.empty()) {
            this->finishClaim(attempt);
            return;
        }
        this->queryAll(attempt, false);
    }

    void findSlots(Attempt &attempt, int view)
    {
        if (const auto ticket = parseTicket(attempt.request.key.str())) {
            attempt.slots.emplace_back("ticket");
            attempt.holders.push_back(std::stoi(ticket->witness.vm.str().substr(2)));
            return;
        }
        for (const WitnessSlot &slot : witnessSlotsForKey(attempt.request.key, this->dcs)) {
            attempt.slots.push_back(slot.str());
            attempt.holders.push_back(this->holderOf(slot, view));
        }
    }

    void queryAll(const AttemptPtr &attempt, bool close)
    {
        for (std::size_t slot = 0; slot < attempt->slots.size(); ++slot) {
            this->query(attempt, slot, close, triesPerSlot);
        }
    }

    void query(const AttemptPtr &attempt, std::size_t slot, bool close, int triesLeft)
    {
        if (attempt->replied[close ? 1 : 0][slot]) {
            return;
        }
        if (attempt->holders[slot] < 0 || triesLeft == 0) {
            this->handleReply(attempt, slot, close, {std::nullopt, ErrorCode::WitnessUnavailable});
            return;
        }
        const auto witness = static_cast<std::size_t>(attempt->holders[slot]);
        WitnessRequest witnessRequest{attempt->request.key, {}, attempt->request.firstSent};
        if (!close) {
            witnessRequest.claimant
                    = {attempt->id,
                       {VmId("vm" + std::to_string(attempt->gateway)), Incarnation(1)},
                       Fingerprint(attempt->request.body)};
        }
        this->deliver(
                attempt->gateway, witness, [this, attempt, slot, close, witness, witnessRequest] {
                    const std::uint64_t incarnation = this->controllers[witness].incarnation;
                    this->atController(
                            witness, incarnation,
                            [this, attempt, slot, close, witness, witnessRequest] {
                                const ClaimVerdict verdict = this->decide(
                                        witness, attempt->slots[slot], witnessRequest);
                                this->deliver(witness, attempt->gateway,
                                              [this, attempt, slot, close, verdict] {
                                                  this->atGateway(
                                                          attempt->gateway, attempt->incarnation,
                                                          [this, attempt, slot, close, verdict] {
                                                              this->handleReply(attempt, slot,
                                                                                close, verdict);
                                                          });
                                              });
                            });
                });
        this->schedule(replyTimeout, [this, attempt, slot, close, triesLeft] {
            this->atGateway(attempt->gateway, attempt->incarnation,
                            [this, attempt, slot, close, triesLeft] {
                                this->query(attempt, slot, close, triesLeft - 1);
                            });
        });
    }

    void handleReply(const AttemptPtr &attempt, std::size_t slot, bool close,
                     const ClaimVerdict &verdict)
    {
        if (attempt->replied[close ? 1 : 0][slot] || attempt->round.done) {
            return;
        }
        attempt->replied[close ? 1 : 0][slot] = true;
        const ClaimStep step = applyReply(attempt->round, slot, close, verdict);
        if (step == ClaimStep::CloseAll) {
            this->queryAll(attempt, true);
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
            this->record(EventKind::Claimed, *attempt);
            this->dispatch(attempt, outcome, 1);
            return;
        }
        AttemptResult result;
        result.stage = AttemptStage::ClaimFailed;
        result.provenNotRun = outcome.provenNotRun || this->hasDefect(ClaimDefect::FalseNotRun);
        result.failure = outcome.failure;
        this->reportOutcome(*attempt, result);
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
        AttemptResult result;
        result.stage = AttemptStage::Claimed;
        result.provenNotRun = outcome.provenNotRun;
        result.failure = ErrorCode::ClaimExpired;
        this->reportOutcome(*attempt, result);
        if (this->hasDefect(ClaimDefect::DispatchAfterNotRun)) {
            this->run(attempt);
        }
    }

    void run(const AttemptPtr &attempt)
    {
        attempt->sent = true;
        this->record(EventKind::Dispatched, *attempt);
        const std::int64_t slowest = this->random.percent(10) ? 30'000 : 50;
        const Millis toService(static_cast<std::int64_t>(this->random.below(slowest)));
        const bool lost = this->random.percent(this->lossPercent);
        this->count(Fault::ReplyLost, lost);
        this->schedule(toService, [this, attempt, lost] {
            this->record(EventKind::Started, *attempt);
            if (!lost) {
                this->schedule(Millis(5), [this, attempt] {
                    this->atGateway(attempt->gateway, attempt->incarnation, [this, attempt] {
                        AttemptResult result;
                        result.stage = AttemptStage::ResponseStarted;
                        result.responseStatus = 201;
                        this->reportOutcome(*attempt, result);
                    });
                });
            }
        });
        this->schedule(serviceTimeout, [this, attempt] {
            this->atGateway(attempt->gateway, attempt->incarnation, [this, attempt] {
                if (attempt->reported) {
                    return;
                }
                if (this->hasDefect(ClaimDefect::RetryAfterDispatch) && attempt->dispatches < 2) {
                    this->run(attempt);
                    return;
                }
                AttemptResult result;
                result.stage = AttemptStage::Sent;
                result.provenNotRun = isProvenNotRun(attempt->round.votes);
                result.failure = ErrorCode::Timeout;
                this->reportOutcome(*attempt, result);
            });
        });
    }

    void record(EventKind kind, Attempt &attempt)
    {
        attempt.dispatches += kind == EventKind::Dispatched ? 1 : 0;
        Event event = eventAt(kind, this->now);
        event.request = attempt.request.name;
        event.key = attempt.request.key.str();
        event.attempt = attempt.id.number();
        event.server = "service";
        this->history.add(event);
    }

    void reportOutcome(Attempt &attempt, AttemptResult result)
    {
        if (attempt.reported) {
            return;
        }
        attempt.reported = true;
        result.repeatable = false;
        result.hasKey = true;
        Event event = eventAt(EventKind::OutcomeReported, this->now);
        event.request = attempt.request.name;
        event.key = attempt.request.key.str();
        event.outcome = outcomeOf(result);
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
    std::vector<bool> draining;
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
