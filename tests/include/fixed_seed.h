#ifndef BALSAMPORT_TESTS_FIXED_SEED_H
#define BALSAMPORT_TESTS_FIXED_SEED_H

#include <cstdlib>

namespace balsamport::testing {

/// @brief Sets a fixed seed for RapidCheck unless RC_PARAMS is set already.
/// @return true where the environment could be changed
inline bool useFixedSeed()
{
    constexpr int keepExisting = 0;
    return setenv("RC_PARAMS", "seed=20261204", keepExisting) == 0;
}

/// Initialized before any test runs.
inline const bool seedIsFixed = useFixedSeed();

} // namespace balsamport::testing

#endif
