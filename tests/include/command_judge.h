#ifndef BALSAMPORT_TESTS_COMMAND_JUDGE_H
#define BALSAMPORT_TESTS_COMMAND_JUDGE_H

#include <balsamport/core/clock.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Judges the commands that one run of an engine received by the rule of one holder.
namespace balsamport::testing {

/// @brief A command as an engine received it.
struct JudgedCommand
{
    Millis at;
    std::string holder;
    std::uint64_t number = 0; ///< Fencing number.

    bool operator==(const JudgedCommand &) const = default;
};

/// @brief How often commands broke the rule.
struct CommandBreaks
{
    std::size_t lowerNumbers = 0; ///< After a higher one, of any holder.
    std::size_t equalNumbers = 0; ///< Of two holders.
    std::size_t turns = 0; ///< A holder came back within a lease, after another one.
    std::string first; ///< The first break, in words; empty for none.

    [[nodiscard]] std::size_t total() const
    {
        return this->lowerNumbers + this->equalNumbers + this->turns;
    }
    bool operator==(const CommandBreaks &) const = default;
};

/// @brief Judges commands one after another.
class CommandJudge
{
public:
    explicit CommandJudge(Millis leaseDuration = Millis(3'000))
        : lease(leaseDuration)
    { }

    void add(const JudgedCommand &command)
    {
        const bool isFirst = this->count++ == 0;
        if (!isFirst && this->highest.number > command.number) {
            this->report(this->breaks.lowerNumbers, "a lower number", command, this->highest);
        }
        const auto sameNumber = this->holders.find(command.number);
        if (sameNumber != this->holders.end() && sameNumber->second.holder != command.holder) {
            this->report(this->breaks.equalNumbers, "the same number", command, sameNumber->second);
        }
        const auto before = this->lastOf.find(command.holder);
        if (before != this->lastOf.end() && this->last.holder != command.holder
            && command.at - before->second < this->lease) {
            this->report(this->breaks.turns, "a turn", command, this->last);
        }
        if (isFirst || command.number > this->highest.number) {
            this->highest = command;
        }
        this->holders.emplace(command.number, command);
        this->lastOf[command.holder] = command.at;
        this->last = command;
    }

    [[nodiscard]] const CommandBreaks &result() const { return this->breaks; }

private:
    void report(std::size_t &kind, const char *what, const JudgedCommand &command,
                const JudgedCommand &other)
    {
        ++kind;
        if (this->breaks.first.empty()) {
            this->breaks.first = std::string(what) + ": " + command.holder + " at "
                    + std::to_string(command.at.count()) + " ms with "
                    + std::to_string(command.number) + " after " + other.holder + " at "
                    + std::to_string(other.at.count()) + " ms with " + std::to_string(other.number);
        }
    }

    Millis lease;
    std::size_t count = 0;
    JudgedCommand highest;
    JudgedCommand last;
    std::map<std::uint64_t, JudgedCommand> holders; ///< The first command with each number.
    std::map<std::string, Millis> lastOf; ///< Each holder's last command.
    CommandBreaks breaks;
};

} // namespace balsamport::testing

#endif
