// Case: one byte of a field's name is wrong. The client gets bytes that are no answer in the protocol.

#include "../8/spoiled.h"

namespace {

/// Replaces the hyphen of "Content-Type" by a blank.
void spoilField(std::string &answer)
{
    const std::size_t at = answer.find("Content-Type: ");
    answer[at + 7] = ' ';
}

} // namespace

int main(int argc, char **argv)
{
    return review::playSpoiled(argc > 1 ? argv[1] : "record.txt", spoilField);
}
