#include <balsamport/filters/gateway.h>

#include <balsamport/core/http_status.h>
#include <balsamport/core/metric_names.h>
#include <balsamport/filters/alias_resolution.h>
#include <balsamport/filters/answer.h>
#include <balsamport/filters/authentication.h>
#include <balsamport/filters/body_check.h>
#include <balsamport/filters/grant.h>
#include <balsamport/filters/idempotency.h>
#include <balsamport/filters/model_list.h>
#include <balsamport/filters/outcome.h>
#include <balsamport/filters/request_id.h>
#include <balsamport/filters/size_limits.h>
#include <balsamport/filters/suspicion.h>
#include <balsamport/filters/tickets.h>

#include <optional>
#include <utility>

namespace balsamport {

namespace {

FilterChain requestChain(const GatewaySources &sources, std::shared_ptr<InProgress> progress,
                         const std::shared_ptr<ShardedResponseCache> &answers)
{
    // Asked again before each retry.
    const Filter place = joinFilters(makeSuspicionFilter(sources.suspects, sources.timer),
                                     makeGrantFilter(sources.grants, sources.retries));
    const DispatchSources dispatch{sources.backend,  sources.grants, sources.retries,
                                   sources.suspects, sources.timer,  answers};
    return FilterChain({makeRequestIdFilter(), makeAuthenticationFilter(), makeSizeLimitsFilter(),
                        makeBodyCheckFilter(), makeAliasResolutionFilter(),
                        makeAdmissionFilter(std::move(progress)),
                        makeIdempotencyFilter(sources.claims, answers, sources.backend), place,
                        makeDispatchFilter(dispatch, place)});
}

FilterChain shortChain(Filter last)
{
    return FilterChain({makeRequestIdFilter(), makeAuthenticationFilter(), makeSizeLimitsFilter(),
                        std::move(last)});
}

std::optional<Endpoint> endpointOf(std::string_view path)
{
    if (path == "/v1/chat/completions") {
        return Endpoint::ChatCompletions;
    }
    if (path == "/v1/completions") {
        return Endpoint::Completions;
    }
    if (path == "/v1/models") {
        return Endpoint::Models;
    }
    if (path == "/v1/tickets") {
        return Endpoint::Tickets;
    }
    constexpr std::string_view services = "/v1/services/";
    if (path.substr(0, services.size()) == services) {
        return Endpoint::Service;
    }
    return std::nullopt;
}

/// The path as a metric's label; service names are left out, as callers choose them.
std::string_view nameOf(Endpoint endpoint) noexcept
{
    switch (endpoint) {
    case Endpoint::ChatCompletions:
        return "/v1/chat/completions";
    case Endpoint::Completions:
        return "/v1/completions";
    case Endpoint::Service:
        return "/v1/services";
    case Endpoint::Models:
        return "/v1/models";
    case Endpoint::Tickets:
        break;
    }
    return "/v1/tickets";
}

HttpResponse probeAnswer(bool good)
{
    return {good ? httpstatus::ok : httpstatus::unavailable,
            {{std::string(headername::contentType), "text/plain"}},
            good ? "ok\n" : "unavailable\n"};
}

/// Answers a request that never reached the chain; an earlier one with its key may have run.
void refuse(const IncomingRequest &request, ResponseWriter &writer, const Error &error)
{
    HttpResponse answer = errorAnswer(error);
    answer.headers.push_back(
            {std::string(headername::outcome), hasKey(request) ? "unknown" : "not-run"});
    writer.send(answer);
}

} // namespace

Gateway::Gateway(GatewaySources ownSources, std::uint32_t maxInProgress)
    : sources(std::move(ownSources))
    , progress(std::make_shared<InProgress>(maxInProgress))
    , answers(std::make_shared<ShardedResponseCache>())
    , requests(requestChain(this->sources, this->progress, this->answers))
    , models(shortChain(makeModelListFilter()))
    , tickets(shortChain(makeTicketFilter(this->sources.claims)))
{ }

void Gateway::handle(const std::shared_ptr<const IncomingRequest> &request,
                     const std::shared_ptr<ResponseWriter> &writer)
{
    if (this->answerProbe(*request, *writer)) {
        return;
    }
    const auto endpoint = endpointOf(request->path);
    if (!endpoint) {
        refuse(*request, *writer, {ErrorCode::UnknownPath, "there is nothing at this path"});
        return;
    }
    if (this->leaving && monotonicNow() >= Millis(this->refuseFrom)) {
        refuse(*request, *writer, {ErrorCode::Leaving, "this VM is leaving"});
        return;
    }
    this->handleRequest(request, writer, *endpoint);
}

bool Gateway::answerProbe(const IncomingRequest &request, ResponseWriter &writer) const
{
    if (request.path == "/health") {
        writer.send(probeAnswer(!this->leaving));
    } else if (request.path == "/ready") {
        writer.send(probeAnswer(!this->leaving && this->sources.snapshot() != nullptr));
    } else if (request.path == "/metrics") {
        writer.send({httpstatus::ok,
                     {{std::string(headername::contentType), "text/plain; version=0.0.4"}},
                     this->sources.metrics()});
    } else {
        return false;
    }
    return true;
}

void Gateway::handleRequest(const std::shared_ptr<const IncomingRequest> &request,
                            const std::shared_ptr<ResponseWriter> &writer, Endpoint endpoint)
{
    SnapshotPtr snapshot = this->sources.snapshot();
    if (!snapshot) {
        refuse(*request, *writer,
               {ErrorCode::ConfigUnavailable, "no configuration has come in yet"});
        return;
    }
    processMetrics().counter(metric::requests, nameOf(endpoint)).add();
    const auto context = std::make_shared<RequestContext>(request, writer, std::move(snapshot),
                                                          endpoint, monotonicNow());
    switch (endpoint) {
    case Endpoint::Models:
        this->models.run(context);
        break;
    case Endpoint::Tickets:
        this->tickets.run(context);
        break;
    default:
        this->requests.run(context);
        break;
    }
}

void Gateway::startDraining(Millis refuseTime) noexcept
{
    if (!this->leaving || refuseTime < Millis(this->refuseFrom)) {
        this->refuseFrom = refuseTime.count();
    }
    this->leaving = true;
}

bool Gateway::isDraining() const noexcept
{
    return this->leaving;
}

std::uint32_t Gateway::requestsInProgress() const
{
    return this->progress->count();
}

} // namespace balsamport
