// Case: one byte of the length that an answer states is wrong. A part of the body passes for the
// whole answer.

#include "spoiled.h"

namespace {

/// Replaces the zero after the first digit of the length by the letter O.
void spoilLength(std::string &answer)
{
    const std::size_t at = answer.find("Content-Length: ") + 16;
    if (answer[at + 1] == '0') {
        answer[at + 1] = 'O';
    }
}

} // namespace

int main(int argc, char **argv)
{
    return review::playSpoiled(argc > 1 ? argv[1] : "record.txt", spoilLength);
}
