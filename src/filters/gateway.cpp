#include <balsamport/filters/gateway.h>

#include <balsamport/core/http_status.h>
#include <balsamport/core/metric_names.h>
#include <balsamport/filters/alias_resolution.h>
#include <balsamport/filters/authentication.h>
#include <balsamport/filters/body_check.h>
#include <balsamport/filters/crash_suspects.h>
#include <balsamport/filters/grant.h>
#include <balsamport/filters/idempotency.h>
#include <balsamport/filters/model_list.h>
#include <balsamport/filters/outcome.h>
#include <balsamport/filters/request_id.h>
#include <balsamport/filters/response.h>
#include <balsamport/filters/size_limits.h>
#include <balsamport/filters/tickets.h>

#include <optional>
#include <utility>

namespace balsamport {

namespace {

FilterChain requestChain(const GatewaySources &sources, std::shared_ptr<ConcurrencyLimiter> limiter,
                         const std::shared_ptr<ShardedResponseCache> &responseCache)
{
    // Runs again before each retry.
    const Filter acquirePlacement
            = joinFilters(makeCrashSuspectFilter(sources.suspects, sources.timer),
                          makeGrantFilter(sources.grants, sources.retries));
    const DispatchSources dispatch{sources.backend,  sources.grants, sources.retries,
                                   sources.suspects, sources.timer,  responseCache};
    return FilterChain({makeRequestIdFilter(), makeAuthenticationFilter(), makeSizeLimitsFilter(),
                        makeBodyCheckFilter(), makeAliasResolutionFilter(),
                        makeAdmissionFilter(std::move(limiter)),
                        makeIdempotencyFilter(sources.claims, responseCache, sources.backend),
                        acquirePlacement, makeDispatchFilter(dispatch, acquirePlacement)});
}

/// A chain for requests that need no backend server; `last` sends the response.
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

/// The path as a metric's label, without the service name, which is chosen by callers.
std::string_view metricLabelOf(Endpoint endpoint) noexcept
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

HttpResponse probeResponse(bool available)
{
    return {available ? httpstatus::ok : httpstatus::unavailable,
            {{std::string(headername::contentType), "text/plain"}},
            available ? "ok\n" : "unavailable\n"};
}

/// Refuses a request before it enters the chain. An earlier request with the same key may have run.
void refuseRequest(const IncomingRequest &request, ResponseWriter &writer, const Error &error)
{
    HttpResponse response = errorResponse(error);
    response.headers.push_back(
            {std::string(headername::outcome), hasIdempotencyKey(request) ? "unknown" : "not-run"});
    writer.send(response);
}

} // namespace

Gateway::Gateway(GatewaySources ownSources, std::uint32_t maxInProgress)
    : sources(std::move(ownSources))
    , limiter(std::make_shared<ConcurrencyLimiter>(maxInProgress))
    , responseCache(std::make_shared<ShardedResponseCache>())
    , requests(requestChain(this->sources, this->limiter, this->responseCache))
    , models(shortChain(makeModelListFilter()))
    , tickets(shortChain(makeTicketFilter(this->sources.claims)))
{ }

void Gateway::handle(const std::shared_ptr<const IncomingRequest> &request,
                     const std::shared_ptr<ResponseWriter> &writer)
{
    if (this->handleProbe(*request, *writer)) {
        return;
    }
    const auto endpoint = endpointOf(request->path);
    if (!endpoint) {
        refuseRequest(*request, *writer, {ErrorCode::UnknownPath, "there is nothing at this path"});
        return;
    }
    if (this->draining && monotonicNow() >= Millis(this->refuseFromMs)) {
        refuseRequest(*request, *writer, {ErrorCode::Leaving, "this VM is leaving"});
        return;
    }
    this->handleRequest(request, writer, *endpoint);
}

bool Gateway::handleProbe(const IncomingRequest &request, ResponseWriter &writer) const
{
    if (request.path == "/health") {
        writer.send(probeResponse(!this->draining));
    } else if (request.path == "/ready") {
        writer.send(probeResponse(!this->draining && this->sources.snapshot() != nullptr));
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
        refuseRequest(*request, *writer,
                      {ErrorCode::ConfigUnavailable, "no configuration has come in yet"});
        return;
    }
    processMetrics().counter(metric::requests, metricLabelOf(endpoint)).add();
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

void Gateway::startDraining(Millis refuseFrom) noexcept
{
    if (!this->draining || refuseFrom < Millis(this->refuseFromMs)) {
        this->refuseFromMs = refuseFrom.count();
    }
    this->draining = true;
}

bool Gateway::isDraining() const noexcept
{
    return this->draining;
}

std::uint32_t Gateway::requestsInProgress() const
{
    return this->limiter->count();
}

} // namespace balsamport
