#include <balsamport/filters/idempotency.h>

#include <balsamport/core/hash.h>
#include <balsamport/filters/answer.h>
#include <balsamport/filters/first_sent.h>
#include <balsamport/filters/service_path.h>

#include <algorithm>
#include <utility>

namespace balsamport {

namespace {

constexpr std::size_t maxKeyLength = 256;

bool isKeyCharacter(char c) noexcept
{
    return c > ' ' && c <= '~';
}

/// Reads the key; fails with KeyInvalid or InvalidHeader.
std::optional<Error> readKey(RequestContext &context)
{
    const HttpHeaders &headers = context.request->headers;
    const auto mark = findHeader(headers, headername::repeatable);
    if (mark && *mark != "false" && *mark != "true") {
        return Error{ErrorCode::InvalidHeader,
                     std::string(headername::repeatable) + " must be true or false"};
    }
    const auto sameName = [](const HttpHeader &header) {
        return findHeader({header}, headername::idempotencyKey).has_value();
    };
    if (std::count_if(headers.begin(), headers.end(), sameName) > 1) {
        return Error{ErrorCode::InvalidHeader, "Idempotency-Key is given twice"};
    }
    const auto service = context.snapshot->services.find(context.service);
    const bool byService = service != context.snapshot->services.end()
            && isNonRepeatable(service->second, context.request->method, context.backendPath);
    // A header can add the mark, never take the service's away.
    context.repeatable = !byService && !(mark && *mark == "false");
    const auto key = findHeader(headers, headername::idempotencyKey);
    if (key) {
        if (key->empty() || key->size() > maxKeyLength
            || !std::all_of(key->begin(), key->end(), isKeyCharacter)) {
            return Error{ErrorCode::KeyInvalid, "a key holds 1 to 256 visible ASCII characters"};
        }
        context.key = RequestKey(*key);
    } else if (!context.repeatable) {
        return Error{ErrorCode::KeyMissing,
                     "a request that may not be repeated needs an Idempotency-Key"};
    }
    return std::nullopt;
}

/// Finds out when the key was first sent; 0 for unknown.
Result<Millis> firstSentOf(const RequestContext &context)
{
    const auto given = findHeader(context.request->headers, headername::firstSent);
    if (given) {
        const auto time = parseHttpDate(*given);
        if (!time) {
            return Error{ErrorCode::InvalidHeader,
                         std::string(headername::firstSent) + " must be an HTTP date"};
        }
        return *time;
    }
    return parseUuid7Time(context.key.str()).value_or(Millis(0));
}

/// What a repeat of the same key must agree in. The adapter is left out: an alias may have moved.
Fingerprint keyFingerprint(const RequestContext &context)
{
    const IncomingRequest &request = *context.request;
    const std::string target = context.caller.str() + " " + request.method + " " + request.path
            + "?" + request.query;
    return Fingerprint(mixHash(hash64(target), hash64(request.body)));
}

/// Answers from what is kept here; false where the key is new.
bool answerFromStore(const ContextPtr &context, AnswerStore &answers)
{
    const AnswerStore::Found found = answers.begin(context->key, keyFingerprint(*context));
    switch (found.state) {
    case KeyState::New:
        return false;
    case KeyState::InProgress:
        failRequest(context, {ErrorCode::KeyInProgress, "a request with this key is running"});
        return true;
    case KeyState::OtherBody:
        failRequest(context, {ErrorCode::KeyBodyMismatch, "the key was used for another request"});
        return true;
    case KeyState::Answered:
        break;
    }
    context->run = RunState::Ran;
    answerRequest(context, *found.answer);
    return true;
}

void claimKey(const ContextPtr &context, const ClaimSource &claims,
              const std::shared_ptr<AnswerStore> &answers, Millis firstSent, Next next)
{
    const KeyClaimQuery query{context->id, context->key, keyFingerprint(*context), firstSent,
                              context->deadline};
    claims.claim(query, [context, answers, next = std::move(next)](const KeyClaimAnswer &answer) {
        if (!answer.won) {
            answers->forget(context->key);
            context->keyNeverRan = answer.refusal.neverRuns;
            failRequest(context, answer.refusal.error);
            return;
        }
        context->claim = answer.won;
        context->onEnd([answers, key = context->key] { answers->forget(key); });
        next();
    });
}

} // namespace

Filter makeIdempotencyFilter(ClaimSource claims, std::shared_ptr<AnswerStore> answers)
{
    return [claims = std::move(claims), answers = std::move(answers)](const ContextPtr &context,
                                                                      Next next) {
        if (const auto error = readKey(*context)) {
            failRequest(context, *error);
            return;
        }
        if (context->repeatable) {
            next();
            return;
        }
        const auto firstSent = firstSentOf(*context);
        if (!firstSent) {
            failRequest(context, firstSent.error());
            return;
        }
        if (!answerFromStore(context, *answers)) {
            claimKey(context, claims, answers, firstSent.value(), std::move(next));
        }
    };
}

} // namespace balsamport
