#include <balsamport/filters/idempotency.h>

#include <balsamport/core/hash.h>
#include <balsamport/filters/cached_response.h>
#include <balsamport/filters/response.h>
#include <balsamport/filters/service_path.h>
#include <balsamport/policy/claim_key.h>

#include <algorithm>
#include <utility>

namespace balsamport {

namespace {

/// Determines whether the request is repeatable. A header can make a request non-repeatable, but
/// cannot override a rule of the service.
std::optional<Error> readRepeatability(RequestContext &context)
{
    const auto header = findHeader(context.request->headers, headername::repeatable);
    if (header && *header != "false" && *header != "true") {
        return Error{ErrorCode::InvalidHeader,
                     std::string(headername::repeatable) + " must be true or false"};
    }
    const auto service = context.snapshot->services.find(context.service);
    const bool excludedByRule = service != context.snapshot->services.end()
            && isNonRepeatable(service->second, context.request->method, context.backendPath);
    context.repeatable = !excludedByRule && !(header && *header == "false");
    context.repeatabilityKnown = true;
    return std::nullopt;
}

std::optional<Error> readKey(RequestContext &context)
{
    const HttpHeaders &headers = context.request->headers;
    const auto isKey = [](const HttpHeader &header) {
        return findHeader({header}, headername::idempotencyKey).has_value();
    };
    if (std::count_if(headers.begin(), headers.end(), isKey) > 1) {
        return Error{ErrorCode::InvalidHeader, "Idempotency-Key is given twice"};
    }
    const auto keyHeader = findHeader(headers, headername::idempotencyKey);
    if (!keyHeader && context.repeatable) {
        return std::nullopt;
    }
    const auto key = checkKey(keyHeader.value_or(""));
    if (!key) {
        return key.error();
    }
    context.key = key.value();
    return std::nullopt;
}

/// The fingerprint that must be equal in all requests with the same key. The adapter is left out,
/// as its alias may have been changed in between.
Fingerprint keyFingerprint(const RequestContext &context)
{
    const IncomingRequest &request = *context.request;
    const std::string target = request.method + " " + request.path + "?" + request.query;
    return Fingerprint(mixHash(hash64(target), hash64(request.body)));
}

Result<KeyClaimRequest> claimRequestOf(const RequestContext &context)
{
    std::optional<Millis> firstSent;
    if (const auto header = findHeader(context.request->headers, headername::firstSent)) {
        const auto time = parseFirstSent(*header);
        if (!time) {
            return time.error();
        }
        firstSent = time.value();
    }
    return KeyClaimRequest{context.key,
                           context.caller,
                           keyFingerprint(context),
                           firstSentOf(context.key.str(), firstSent),
                           context.arrived,
                           context.deadline};
}

/// Responds from this gateway's cache; returns false where the key is unknown.
bool respondFromCache(const ContextPtr &context, const CachedResponse &found)
{
    switch (found.lookup) {
    case ResponseLookup::Unknown:
        return false;
    case ResponseLookup::InProgress:
        failRequest(context, {ErrorCode::KeyInProgress, "a request with this key is running"});
        return true;
    case ResponseLookup::BodyMismatch:
        failRequest(context, {ErrorCode::KeyBodyMismatch, "the key was used for another request"});
        return true;
    case ResponseLookup::Finished:
        break;
    }
    context->runState = RunState::Ran;
    completeRequest(context, *found.response);
    return true;
}

/// Responds to a request whose claim was not won, with the first response where the gateway that
/// won still has it.
void handleLostClaim(const ContextPtr &context, const BackendClient &gateways,
                     const KeyClaimRefusal &refusal)
{
    context->claimLost = true;
    context->provenNotRun = refusal.provenNotRun;
    const bool mayBeCached = refusal.error.code == ErrorCode::KeyUsed
            || refusal.error.code == ErrorCode::KeyInProgress;
    if (!mayBeCached || refusal.winnerAddress.empty()) {
        failRequest(context, refusal.error);
        return;
    }
    fetchCachedResponse(context, gateways, refusal.winnerAddress,
                        [context, error = refusal.error](std::optional<HttpResponse> response) {
                            if (!response) {
                                failRequest(context, error);
                                return;
                            }
                            context->runState = RunState::Ran;
                            completeRequest(context, std::move(*response));
                        });
}

/// Checks the headers for repeatability, key and time of first sending.
/// @return nothing where the request is repeatable
Result<std::optional<KeyClaimRequest>> readClaim(RequestContext &context)
{
    auto error = readRepeatability(context);
    if (!error) {
        error = readKey(context);
    }
    if (error) {
        return *error;
    }
    if (context.repeatable) {
        return std::optional<KeyClaimRequest>();
    }
    const auto claimRequest = claimRequestOf(context);
    if (!claimRequest) {
        return claimRequest.error();
    }
    return std::optional<KeyClaimRequest>(claimRequest.value());
}

struct Dependencies
{
    ClaimSource claims;
    std::shared_ptr<ShardedResponseCache> responseCache;
    BackendClient gateways;
};

void claimKey(const ContextPtr &context, const std::shared_ptr<const Dependencies> &dependencies,
              const KeyClaimRequest &claimRequest, Next next)
{
    dependencies->claims.claim(
            claimRequest,
            [context, dependencies, next = std::move(next)](const KeyClaimResult &result) {
                if (!result.won) {
                    handleLostClaim(context, dependencies->gateways, result.refusal);
                    return;
                }
                context->claim = result.won;
                context->provenNotRun = result.won->provenNotRun;
                next();
            });
}

/// Responds to another gateway's query from the cache; claims and runs nothing.
void handleCachedResponseQuery(const ContextPtr &context, ShardedResponseCache &responseCache,
                               Fingerprint body)
{
    const auto found = responseCache.find(scopedKey(context->caller, context->key), body);
    if (!respondFromCache(context, found)) {
        failRequest(context, {ErrorCode::KeyUsed, "the answer is not held any more"});
    }
}

} // namespace

Filter makeIdempotencyFilter(ClaimSource claims,
                             std::shared_ptr<ShardedResponseCache> responseCache,
                             BackendClient gateways)
{
    const auto dependencies = std::make_shared<const Dependencies>(
            Dependencies{std::move(claims), std::move(responseCache), std::move(gateways)});
    return [dependencies](const ContextPtr &context, Next next) {
        const auto claimRequest = readClaim(*context);
        if (!claimRequest) {
            failRequest(context, claimRequest.error());
            return;
        }
        if (!claimRequest.value()) {
            next();
            return;
        }
        const Fingerprint body = claimRequest.value()->body;
        if (isCachedResponseQuery(*context->request)) {
            handleCachedResponseQuery(context, *dependencies->responseCache, body);
            return;
        }
        const RequestKey key = scopedKey(context->caller, context->key);
        if (respondFromCache(context, dependencies->responseCache->begin(key, body))) {
            return;
        }
        context->onEnd([responseCache = dependencies->responseCache, key] {
            responseCache->abandon(key);
        });
        claimKey(context, dependencies, *claimRequest.value(), std::move(next));
    };
}

} // namespace balsamport
