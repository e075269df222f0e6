#ifndef BALSAMPORT_TESTS_WORLD_RANDOM_H
#define BALSAMPORT_TESTS_WORLD_RANDOM_H

#include <cstdint>

namespace balsamport::testing {

/// @brief A small and fast generator of random numbers (SplitMix64).
class WorldRandom
{
public:
    explicit WorldRandom(std::uint64_t seed)
        : state(seed)
    { }
    std::uint64_t next()
    {
        this->state += 0x9E37'79B9'7F4A'7C15U;
        std::uint64_t z = this->state;
        z = (z ^ (z >> 30U)) * 0xBF58'476D'1CE4'E5B9U;
        z = (z ^ (z >> 27U)) * 0x94D0'49BB'1331'11EBU;
        return z ^ (z >> 31U);
    }
    /// @return a number in [0, bound)
    std::uint64_t below(std::uint64_t bound) { return this->next() % bound; }
    bool percent(std::uint64_t chance) { return this->below(100) < chance; }

private:
    std::uint64_t state;
};

} // namespace balsamport::testing

#endif
