#include <balsamport/filters/idempotency.h>

#include <balsamport/core/hash.h>
#include <balsamport/filters/answer.h>
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

/// Answers from what is kept here; false where the key is new.
bool answerFromStore(const ContextPtr &context, AnswerStore &answers, Fingerprint body)
{
    const RememberedAnswer found = answers.begin(scopedKey(context->caller, context->key), body);
    switch (found.lookup) {
    case AnswerLookup::Unknown:
        return false;
    case AnswerLookup::InProgress:
        failRequest(context, {ErrorCode::KeyInProgress, "a request with this key is running"});
        return true;
    case AnswerLookup::BodyMismatch:
        failRequest(context, {ErrorCode::KeyBodyMismatch, "the key was used for another request"});
        return true;
    case AnswerLookup::Finished:
        break;
    }
    context->run = RunState::Ran;
    answerRequest(context, *found.answer);
    return true;
}

void claimKey(const ContextPtr &context, const ClaimSource &claims, const KeyClaimQuery &query,
              Next next)
{
    claims.claim(query, [context, next = std::move(next)](const KeyClaimAnswer &answer) {
        if (answer.won) {
            context->claim = answer.won;
            context->provenNotRun = answer.won->provenNotRun;
            next();
            return;
        }
        context->claimLost = true;
        context->provenNotRun = answer.refusal.provenNotRun;
        failRequest(context, answer.refusal.error);
    });
}

} // namespace

Filter makeIdempotencyFilter(ClaimSource claims, std::shared_ptr<AnswerStore> answers)
{
    return [claims = std::move(claims), answers = std::move(answers)](const ContextPtr &context,
                                                                      Next next) {
        auto error = readMark(*context);
        if (!error) {
            error = readKey(*context);
        }
        if (error) {
            failRequest(context, *error);
            return;
        }
        if (context->repeatable) {
            next();
            return;
        }
        const auto query = claimQueryOf(*context);
        if (!query) {
            failRequest(context, query.error());
            return;
        }
        if (answerFromStore(context, *answers, query.value().body)) {
            return;
        }
        context->onEnd([answers, key = scopedKey(context->caller, context->key)] {
            answers->abandon(key);
        });
        claimKey(context, claims, query.value(), std::move(next));
    };
}

} // namespace balsamport
