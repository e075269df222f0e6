#include <balsamport/filters/idempotency.h>

#include <balsamport/core/hash.h>
#include <balsamport/filters/answer.h>
#include <balsamport/filters/first_answer.h>
#include <balsamport/filters/service_path.h>
#include <balsamport/policy/claim_key.h>

#include <algorithm>
#include <utility>

namespace balsamport {

namespace {

/// Reads whether the request may be repeated; the mark can be added by a header, never taken away.
std::optional<Error> readMark(RequestContext &context)
{
    const auto mark = findHeader(context.request->headers, headername::repeatable);
    if (mark && *mark != "false" && *mark != "true") {
        return Error{ErrorCode::InvalidHeader,
                     std::string(headername::repeatable) + " must be true or false"};
    }
    const auto service = context.snapshot->services.find(context.service);
    const bool byService = service != context.snapshot->services.end()
            && isNonRepeatable(service->second, context.request->method, context.backendPath);
    context.repeatable = !byService && !(mark && *mark == "false");
    context.keyKnown = true;
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
    const auto given = findHeader(headers, headername::idempotencyKey);
    if (!given && context.repeatable) {
        return std::nullopt;
    }
    const auto key = checkKey(given.value_or(""));
    if (!key) {
        return key.error();
    }
    context.key = key.value();
    return std::nullopt;
}

/// What a repeat of the same key must agree in. The adapter is left out: an alias may have moved.
Fingerprint keyFingerprint(const RequestContext &context)
{
    const IncomingRequest &request = *context.request;
    const std::string target = request.method + " " + request.path + "?" + request.query;
    return Fingerprint(mixHash(hash64(target), hash64(request.body)));
}

Result<KeyClaimQuery> claimQueryOf(const RequestContext &context)
{
    std::optional<Millis> header;
    if (const auto given = findHeader(context.request->headers, headername::firstSent)) {
        const auto time = parseFirstSent(*given);
        if (!time) {
            return time.error();
        }
        header = time.value();
    }
    return KeyClaimQuery{context.key,
                         context.caller,
                         keyFingerprint(context),
                         firstSentOf(context.key.str(), header),
                         context.arrived,
                         context.deadline};
}

/// Answers from what is kept here; false where the key is unknown.
bool answerFromStore(const ContextPtr &context, const CachedResponse &found)
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
    context->run = RunState::Ran;
    answerRequest(context, *found.response);
    return true;
}

/// Answers a claim that was not won, with the first answer where its gateway still holds it.
void answerLostClaim(const ContextPtr &context, const BackendClient &gateways,
                     const KeyRefusal &refusal)
{
    context->claimLost = true;
    context->provenNotRun = refusal.provenNotRun;
    const bool mayBeHeld = refusal.error.code == ErrorCode::KeyUsed
            || refusal.error.code == ErrorCode::KeyInProgress;
    if (!mayBeHeld || refusal.winnerAddress.empty()) {
        failRequest(context, refusal.error);
        return;
    }
    fetchFirstAnswer(context, gateways, refusal.winnerAddress,
                     [context, error = refusal.error](std::optional<HttpAnswer> answer) {
                         if (!answer) {
                             failRequest(context, error);
                             return;
                         }
                         context->run = RunState::Ran;
                         answerRequest(context, std::move(*answer));
                     });
}

/// Checks mark, key and dates.
/// @return nothing where the request may be repeated
Result<std::optional<KeyClaimQuery>> readClaim(RequestContext &context)
{
    auto error = readMark(context);
    if (!error) {
        error = readKey(context);
    }
    if (error) {
        return *error;
    }
    if (context.repeatable) {
        return std::optional<KeyClaimQuery>();
    }
    const auto query = claimQueryOf(context);
    if (!query) {
        return query.error();
    }
    return std::optional<KeyClaimQuery>(query.value());
}

/// What the filter works with.
struct Parts
{
    ClaimSource claims;
    std::shared_ptr<AnswerStore> answers;
    BackendClient gateways;
};

void claimKey(const ContextPtr &context, const std::shared_ptr<const Parts> &parts,
              const KeyClaimQuery &query, Next next)
{
    parts->claims.claim(query,
                        [context, parts, next = std::move(next)](const KeyClaimAnswer &answer) {
                            if (!answer.won) {
                                answerLostClaim(context, parts->gateways, answer.refusal);
                                return;
                            }
                            context->claim = answer.won;
                            context->provenNotRun = answer.won->provenNotRun;
                            next();
                        });
}

/// Tells another gateway what is kept here; claims and runs nothing.
void answerOtherGateway(const ContextPtr &context, AnswerStore &answers, Fingerprint body)
{
    const auto found = answers.find(scopedKey(context->caller, context->key), body);
    if (!answerFromStore(context, found)) {
        failRequest(context, {ErrorCode::KeyUsed, "the answer is not held any more"});
    }
}

} // namespace

Filter makeIdempotencyFilter(ClaimSource claims, std::shared_ptr<AnswerStore> answers,
                             BackendClient gateways)
{
    const auto parts = std::make_shared<const Parts>(
            Parts{std::move(claims), std::move(answers), std::move(gateways)});
    return [parts](const ContextPtr &context, Next next) {
        const auto query = readClaim(*context);
        if (!query) {
            failRequest(context, query.error());
            return;
        }
        if (!query.value()) {
            next();
            return;
        }
        const Fingerprint body = query.value()->body;
        if (isAnswerQuery(*context->request)) {
            answerOtherGateway(context, *parts->answers, body);
            return;
        }
        const RequestKey key = scopedKey(context->caller, context->key);
        if (answerFromStore(context, parts->answers->begin(key, body))) {
            return;
        }
        context->onEnd([answers = parts->answers, key] { answers->abandon(key); });
        claimKey(context, parts, *query.value(), std::move(next));
    };
}

} // namespace balsamport
