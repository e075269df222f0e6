// Cases: a replica spoils one byte in the head of an answer.
// "length": a digit of Content-Length. A part of the body passes for the whole answer.
// "field": a character of a field's name. The client gets bytes that are no answer in the protocol.

#include "traffic.h"

using namespace review;

namespace {

/// Replaces one byte of the head: the zero after the first digit of the length by the letter O.
void spoilLength(std::string &answer)
{
    const std::size_t at = answer.find("Content-Length: ") + 16;
    if (answer[at + 1] == '0') {
        answer[at + 1] = 'O';
    }
}

/// Replaces one byte of the head: the hyphen of "Keep-Alive" or "Content-Type" by a blank.
void spoilField(std::string &answer)
{
    const std::size_t at = answer.find("Content-Type: ");
    answer[at + 7] = ' ';
}

} // namespace

int main(int argc, char **argv)
{
    constexpr double troubleMs = 5'500;
    constexpr int everyNth = 50; // 0.02 of the answers.
    constexpr int spans = 4;
    constexpr double spanEveryMs = 9'500;
    const std::string which = argc > 1 ? argv[1] : "length";
    Deployment deployment(argc > 2 ? argv[2] : "record.txt");
    std::vector<ReplicaOptions> options = plainReplicas();
    const double from = nowMs() + 8'000;
    if (hasTrouble()) {
        // 0.453 of three replicas, rounded down.
        options[1].spoil = which == "field" ? spoilField : spoilLength;
        for (int i = 0; i < spans; ++i) {
            const double begin = from + i * spanEveryMs;
            options[1].spoiled.push_back(Trouble{begin, begin + troubleMs, everyNth});
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
    record.note(format("%zu requests, %d whole answers, %d spoiled answers of the replica, %d wrong "
                       "answers at clients",
                       answers.size(), whole, spoiled, violations));
    if (answers.empty() || whole * 2 < static_cast<int>(answers.size())) {
        record.note("too few whole answers for a verdict");
        endWith(couldNotRun, deployment);
    }
    endWith(violations > 0 ? broken : held, deployment);
}
