#ifndef BALSAMPORT_PROGRAMS_GATEWAY_BINDINGS_H
#define BALSAMPORT_PROGRAMS_GATEWAY_BINDINGS_H

#include <balsamport/controllers/claim_client.h>
#include <balsamport/controllers/fleet_client.h>
#include <balsamport/controllers/grant_client.h>
#include <balsamport/controllers/suspect_client.h>
#include <balsamport/filters/sources.h>
#include <balsamport/http/http_client.h>

/// @file
/// Implements the filters' interfaces with the controllers' clients. Each client must outlive the
/// returned object.

namespace balsamport {

[[nodiscard]] GrantSource grantSourceOver(GrantClient &client);
[[nodiscard]] ClaimSource claimSourceOver(ClaimClient &client, const FleetClient &fleet);
[[nodiscard]] SuspectSource suspectSourceOver(SuspectClient &client);
[[nodiscard]] BackendClient backendClientOver(HttpClient &client);

} // namespace balsamport

#endif
