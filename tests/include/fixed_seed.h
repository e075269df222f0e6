#ifndef BALSAMPORT_TESTS_FIXED_SEED_H
#define BALSAMPORT_TESTS_FIXED_SEED_H

#include <cstdlib>

namespace balsamport::testing {

/// @brief Gives RapidCheck a fixed seed, unless RC_PARAMS is set already.
inline bool useFixedSeed()
{
    constexpr int keep = 0;
    return setenv("RC_PARAMS", "seed=20261204", keep) == 0;
}

/// Runs before any test does.
inline const bool seedIsFixed = useFixedSeed();

} // namespace balsamport::testing

#endif
