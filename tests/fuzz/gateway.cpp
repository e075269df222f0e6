/// @file
/// Runs the gateway's parsers on more generated input than the unit tests do.
/// Example: `RC_PARAMS="seed=7 max_success=100000" fuzz-gateway`

#include "gateway_properties.h"

#include <cstdlib>

int main()
{
    setenv("RC_PARAMS", "seed=1 max_success=100000", 0);
    return balsamport::testing::checkGatewayParsers() ? EXIT_SUCCESS : EXIT_FAILURE;
}
