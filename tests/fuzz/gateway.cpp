/// @file
/// Drives the gateway's parsers with generated input for longer than the unit tests do.
/// Example: `RC_PARAMS="seed=7 max_success=100000" fuzz-gateway`

#include "gateway_properties.h"

#include <cstdlib>

int main()
{
    setenv("RC_PARAMS", "seed=1 max_success=100000", 0);
    return balsamport::testing::checkGatewayParsers() ? EXIT_SUCCESS : EXIT_FAILURE;
}
