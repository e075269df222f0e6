// Plays a replica that spoils some of its answers, and judges what the clients get by the rule MIXED.

#ifndef REVIEW_SPOILED_H
#define REVIEW_SPOILED_H

#include "../6/traffic.h"

namespace review {

/// @param spoil changes one byte in the head of an answer
/// @return never: ends the process with the result
inline int playSpoiled(const std::string &recordFile, void (*spoil)(std::string &answer))
{
    constexpr double troubleMs = 5'500;
    constexpr double share = 0.02;
    constexpr int spans = 4;
    constexpr double spanEveryMs = 9'500;
    Deployment deployment(recordFile);
    std::vector<ReplicaOptions> options = plainReplicas();
    const double from = nowMs() + 8'000;
    if (hasTrouble()) {
        // 0.35 of three replicas, rounded.
        options[1].spoil = spoil;
        options[1].share = share;
        for (int i = 0; i < spans; ++i) {
            const double begin = from + i * spanEveryMs;
            options[1].spans.push_back(Trouble{begin, begin + troubleMs});
        }
    }
    if (!deployment.start(options)) {
        endWith(couldNotRun, deployment);
    }
    sleepMs(std::max(from - 4'000 - nowMs(), 0.0));
    deployment.traffic->play({"cord-order", "stock-look"}, from + spans * spanEveryMs);

    int violations = 0;
    int whole = 0;
    int spoiled = 0;
    const std::vector<Answer> answers = deployment.traffic->answers();
    for (const Answer &answer : answers) {
        std::string expected;
        while (expected.size() < 800) {
            expected += "line of " + answer.request + "\n";
        }
        expected.resize(800);
        const bool isSuccess = answer.status >= 200 && answer.status < 300;
        if (!answer.malformed.empty()) {
            ++violations;
            record.note(format("MIXED: the client of %s got bytes that are no answer: %s",
                               answer.request.c_str(), answer.malformed.c_str()));
        } else if (isSuccess && answer.complete
                   && (answer.body != expected || answer.seal.empty())) {
            ++violations;
            record.note(format("MIXED: the client of %s got a success with seal %s and %zu bytes as "
                               "the whole body; the replica's has %zu",
                               answer.request.c_str(), answer.seal.c_str(), answer.body.size(),
                               expected.size()));
        } else if (isSuccess && answer.complete) {
            ++whole;
        }
    }
    for (const auto &replica : deployment.replicas) {
        spoiled += replica->wrongAnswers;
    }
    record.note(format("%zu requests, %d whole answers; the replica spoiled %d of %d answers in the "
                       "spans; %d wrong answers at clients",
                       answers.size(), whole, spoiled, dose.answers(), violations));
    if (spoiled > share * dose.answers()) {
        record.note("more spoiled answers than the limit");
        endWith(couldNotRun, deployment);
    }
    if (answers.empty() || whole * 2 < static_cast<int>(answers.size())) {
        record.note("too few whole answers for a verdict");
        endWith(couldNotRun, deployment);
    }
    endWith(violations > 0 ? broken : held, deployment);
}

} // namespace review

#endif
