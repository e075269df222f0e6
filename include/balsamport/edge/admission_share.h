#ifndef BALSAMPORT_EDGE_ADMISSION_SHARE_H
#define BALSAMPORT_EDGE_ADMISSION_SHARE_H

#include <balsamport/core/clock.h>

#include <cstdint>

namespace balsamport {

/// @brief The share of the callers' requests that a daemon admits: all of them, unless work waits
/// inside the daemon because its processor can't keep up.
///
/// The share falls quickly while work is late and rises slowly after that, so that it settles where
/// the daemon is just busy. Admitting everything as soon as nothing is late would fill the queues
/// again at once.
struct AdmissionShare
{
    double share = 1;
    double owed = 0; ///< Part of a request that may still be admitted.
    Millis updatedAt{0};
    bool wasLate = false; ///< Work was late when the share was last updated.
    bool isOverloaded = false; ///< Work was late twice in a row.

    bool operator==(const AdmissionShare &) const = default;
};

/// @brief Decides on one request.
/// @param delay for which the oldest work inside the daemon has waited
/// @return false if the request must be refused
[[nodiscard]] bool admitRequest(AdmissionShare &state, Millis delay, Millis now);

} // namespace balsamport

#endif
