#include "engine_controller.h"

#include <algorithm>
#include <utility>

namespace balsamport {

namespace {

constexpr Millis reservationTimeout{500};
/// Until a reservation is requested again after the engine refused one.
constexpr Millis reservationRetryInterval{300};

} // namespace

void EngineController::reserve(Term &term)
{
    const Millis now = monotonicNow();
    if (term.reservation) {
        return; // In progress, or ends soon.
    }
    if (now < term.reserveFrom) {
        return; // scheduleDecision() has the next decision then.
    }
    CommandState &state = this->commandStateOf(term.server.id);
    const CommandLeaseTimings timings = this->leaseTimings(&term.limits.engine);
    startArbitration(state.arbitration, state.lease.engineStartedAtWallMs);
    const std::optional<Millis> &longest = term.limits.engine.maxReservation;
    const bool reservable
            = memoryOf(term) != 0 && (!longest || *longest >= timings.reservationLifetime);
    if (!reservable || state.arbitration.kind == EngineArbitration::Kind::Absent) {
        this->reserveByContact(term);
        return;
    }
    Reservation reservation;
    reservation.number = ++this->lastReservationNumber;
    reservation.requestedAt = now;
    reservation.engineStartedAtWallMs = state.lease.engineStartedAtWallMs;
    reservation.byLastHolder = isLastHolder(state.lease);
    term.reservation = reservation;
    fetchOnLoop(this->context, this->reservationRequest(term),
                [this, server = term.server,
                 number = reservation.number](const Result<HttpResponse> &response) {
                    this->handleReservation(server, number, response);
                });
}

std::uint64_t EngineController::memoryOf(const Term &term) noexcept
{
    return term.kvTokens != 0 ? term.kvTokens : term.limits.engine.kvTokens;
}

OutgoingRequest EngineController::reservationRequest(const Term &term) const
{
    OutgoingRequest request = this->context.dialect.writeReservation(
            term.server,
            ReservationRequest{memoryOf(term) / 2 + 1,
                               this->leaseTimings(&term.limits.engine).reservationLifetime});
    request.timeout = reservationTimeout;
    request.connectTimeout = reportConnectTimeout;
    return request;
}

void EngineController::handleReservation(const ServerEntry &server, std::uint64_t number,
                                         const Result<HttpResponse> &response)
{
    const Result<std::string> id = response.has_error()
            ? response.error()
            : this->context.dialect.readReservation(response.value());
    Term *term = this->find(server.id);
    const bool isCurrent
            = term != nullptr && term->reservation && term->reservation->number == number;
    if (!isCurrent) {
        if (id.has_value()) {
            this->sendReservationEnd(server, id.value());
        }
        return;
    }
    const Millis now = monotonicNow();
    EngineArbitration &arbitration = this->commandStateOf(server.id).arbitration;
    if (id.has_error()) {
        term->reservation.reset();
        if (id.error().code != ErrorCode::ConnectFailed) {
            recordReservationRefused(arbitration, now);
        }
        if (isArbitrationAbsent(arbitration, this->leaseTimings(&term->limits.engine), now)) {
            this->reserveByContact(*term);
        } else {
            this->recordFailedReservation(*term, id.error());
        }
        this->scheduleDecision(*term);
        return;
    }
    recordReservationGranted(arbitration);
    term->reservation->state = Reservation::State::Granted;
    term->reservation->id = id.value();
    term->reservation->grantedAt = now;
    term->reportNeeded = true;
    const CommandLease &lease = this->commandStateOf(server.id).lease;
    const Millis delay = confirmationDelay(lease);
    this->context.log.write(EventPriority::Routine, "engine_reserved",
                            {{"server", server.id.str()},
                             {"took_ms", now - term->reservation->requestedAt},
                             {"confirmed_after_ms", delay},
                             {"order_count", lease.commandCount}});
    term->reservation->grantedAt += delay;
    this->scheduleReservationEnd(*term, Millis(0));
    if (arbitration.kind == EngineArbitration::Kind::Unverified) {
        this->verifyArbitration(*term);
    } else if (delay > Millis(0)) {
        this->requestReportAfter(*term, delay);
    } else {
        this->requestReport(*term);
    }
}

void EngineController::verifyArbitration(Term &term)
{
    term.reservation->verifying = true;
    fetchOnLoop(this->context, this->reservationRequest(term),
                [this, server = term.server,
                 number = term.reservation->number](const Result<HttpResponse> &response) {
                    this->handleVerification(server, number, response);
                });
}

void EngineController::handleVerification(const ServerEntry &server, std::uint64_t number,
                                          const Result<HttpResponse> &response)
{
    const Result<std::string> id = response.has_error()
            ? response.error()
            : this->context.dialect.readReservation(response.value());
    if (id.has_value()) {
        this->sendReservationEnd(server, id.value());
    }
    Term *term = this->find(server.id);
    if (term == nullptr || !term->reservation || term->reservation->number != number) {
        return;
    }
    const Millis now = monotonicNow();
    EngineArbitration &arbitration = this->commandStateOf(server.id).arbitration;
    const bool refused = id.has_error() && id.error().code == ErrorCode::Overloaded;
    if (id.has_value() || refused) {
        recordSecondReservation(arbitration, id.has_value());
        this->context.log.write(EventPriority::Notable, "engine_arbitration",
                                {{"server", server.id.str()}, {"exclusive", refused}});
    }
    term->reservation->verifying = false;
    if (refused) {
        term->reportNeeded = true;
        this->requestReportAfter(*term,
                                 std::max(term->reservation->grantedAt - now, minTimerDelay));
        return;
    }
    this->endReservation(*term);
    if (id.has_value()) {
        this->reserveByContact(*term);
    } else {
        this->recordFailedReservation(*term, id.error());
    }
    this->scheduleDecision(*term);
}

Millis EngineController::reservableByContactFrom(const Term &term)
{
    const CommandLeaseTimings timings = this->leaseTimings(nullptr);
    const CommandLease &lease = this->commandStateOf(term.server.id).lease;
    Millis from = std::max(unarbitratedFrom(this->contact, timings),
                           term.acquiredAt + claimSettlingTime);
    if (term.contestedAt >= Millis(0)) {
        from = std::max(from, term.contestedAt + timings.lease + timings.margin);
    }
    return isLastHolder(lease) ? from : std::max(from, expectedAcquisition(lease, timings));
}

void EngineController::reserveByContact(Term &term)
{
    const Millis now = monotonicNow();
    const Millis from = this->reservableByContactFrom(term);
    if (now < from) {
        term.reserveFrom = std::min(from, now + reservationRetryInterval);
        return;
    }
    Reservation reservation;
    reservation.state = Reservation::State::Granted;
    reservation.number = ++this->lastReservationNumber;
    reservation.requestedAt = now;
    reservation.grantedAt = now + reportLag;
    const CommandLease &lease = this->commandStateOf(term.server.id).lease;
    reservation.engineStartedAtWallMs = lease.engineStartedAtWallMs;
    reservation.byLastHolder = isLastHolder(lease);
    term.reservation = reservation;
    term.reportNeeded = true;
    this->context.log.write(EventPriority::Notable, "engine_reserved_by_contact",
                            {{"server", term.server.id.str()},
                             {"owned_ms", now - term.acquiredAt},
                             {"order_count", lease.commandCount}});
    this->scheduleReservationEnd(term, Millis(0));
    this->requestReportAfter(term, reportLag);
}

void EngineController::recordFailedReservation(Term &term, const Error &error)
{
    this->context.log.write(EventPriority::Notable, "reservation_failed",
                            {{"server", term.server.id.str()},
                             {"error", errorName(error.code)},
                             {"detail", error.detail}});
    term.reserveFrom = monotonicNow() + reservationRetryInterval;
    // Another daemon may have it, and command the engine.
    term.reportNeeded = true;
    this->requestReportAfter(term, reportLag);
}

void EngineController::scheduleReservationEnd(Term &term, Millis endAt)
{
    const Millis expiry = term.reservation->requestedAt
            + this->leaseTimings(&term.limits.engine).reservationLifetime;
    const Millis at = endAt > Millis(0) ? std::min(endAt, expiry) : expiry;
    term.reservationTimer->set(
            std::max(at - monotonicNow(), minTimerDelay),
            [this, server = term.server.id, number = term.reservation->number, expiry] {
                Term *current = this->find(server);
                if (current == nullptr || !current->reservation
                    || current->reservation->number != number) {
                    return;
                }
                this->endReservation(*current);
                if (current->reservation && monotonicNow() < expiry) {
                    this->scheduleReservationEnd(*current, Millis(0));
                    return;
                }
                current->reservation.reset();
                this->decide(*current);
            });
}

void EngineController::endReservation(Term &term)
{
    if (!term.reservation || term.reservation->state == Reservation::State::Requested
        || term.reservation->unsettled) {
        return; // It expires.
    }
    const bool isShown = term.reservation->byLastHolder
            || monotonicNow() >= term.reservation->settledAt + reportLag;
    if (term.reservation->settledAt >= Millis(0) && !isShown) {
        return;
    }
    this->sendReservationEnd(term.server, term.reservation->id);
    term.reservation.reset();
    term.reservationTimer->cancel();
    expireReservation(this->commandStateOf(term.server.id).lease);
    this->applyLease(term);
}

void EngineController::sendReservationEnd(const ServerEntry &server, const std::string &id)
{
    if (id.empty()) {
        return; // The engine wasn't asked.
    }
    OutgoingRequest request = this->context.dialect.writeReservationEnd(server, id);
    request.timeout = reservationTimeout;
    fetchOnLoop(this->context, std::move(request), [](const Result<HttpResponse> & /*ignored*/) {});
}

} // namespace balsamport
