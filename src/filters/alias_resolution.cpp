#include <balsamport/filters/alias_resolution.h>

#include <balsamport/core/hash.h>
#include <balsamport/core/log.h>
#include <balsamport/filters/model_name.h>
#include <balsamport/filters/response.h>
#include <balsamport/filters/service_path.h>
#include <balsamport/policy/suspects.h>

#include <algorithm>

namespace balsamport {

namespace {

constexpr std::uint64_t targetHashSeed = 1;

/// Chooses a target of a route by the targets' shares and a hash of the request's id.
std::optional<AdapterRef> chooseTarget(const RouteConfig &route, const RequestId &id)
{
    std::uint64_t total = 0;
    for (const AliasTarget &target : route.targets) {
        total += target.share;
    }
    if (total == 0) {
        return std::nullopt;
    }
    std::uint64_t point = hash64(id.str(), targetHashSeed) % total;
    for (const AliasTarget &target : route.targets) {
        if (point < target.share) {
            return target.adapter;
        }
        point -= target.share;
    }
    return std::nullopt;
}

std::optional<AdapterRef> resolve(const Snapshot &snapshot, const std::string &model,
                                  const RequestId &id)
{
    const auto route = snapshot.routes.find(model);
    if (route != snapshot.routes.end()) {
        return chooseTarget(route->second, id);
    }
    const auto name = parseModelName(model);
    if (!name) {
        return std::nullopt;
    }
    const auto adapter = snapshot.findAdapter(name->adapter);
    if (!adapter || (!name->base.empty() && name->base != adapter->base)) {
        return std::nullopt;
    }
    const auto &versions = adapter->versions;
    if (std::find(versions.begin(), versions.end(), name->version) == versions.end()) {
        return std::nullopt;
    }
    return AdapterRef{adapter->base, name->adapter, name->version};
}

std::optional<Error> resolveModel(RequestContext &context)
{
    context.adapter = resolve(*context.snapshot, context.model.model, context.id);
    if (!context.adapter) {
        return Error{ErrorCode::UnknownModel, "there is no model of this name"};
    }
    const bool chat = context.endpoint == Endpoint::ChatCompletions;
    context.backendPath = chat ? "/v1/chat/completions" : "/v1/completions";
    context.fingerprint = fingerprintOf(*context.adapter, context.request->body);
    LOG(INFO) << logprefix::route << "Alias resolved. request=" << context.id
              << " adapter=" << *context.adapter << " revision=" << context.snapshot->revision;
    return std::nullopt;
}

std::optional<Error> resolveService(RequestContext &context)
{
    const auto path = parseServicePath(context.request->path);
    if (!path) {
        return path.error();
    }
    const auto &services = context.snapshot->services;
    if (services.find(path.value().service) == services.end()) {
        return Error{ErrorCode::UnknownService, "there is no service of this name"};
    }
    context.service = path.value().service;
    context.backendPath = path.value().rest;
    if (!context.request->query.empty()) {
        context.backendPath += "?" + context.request->query;
    }
    const std::string target
            = context.request->method + " " + context.service.str() + " " + context.backendPath;
    context.fingerprint = Fingerprint(mixHash(hash64(target), hash64(context.request->body)));
    return std::nullopt;
}

} // namespace

Filter makeAliasResolutionFilter()
{
    return [](const ContextPtr &context, const Next &next) {
        const auto error = context->endpoint == Endpoint::Service ? resolveService(*context)
                                                                  : resolveModel(*context);
        if (error) {
            failRequest(context, *error);
            return;
        }
        next();
    };
}

} // namespace balsamport
