// Check of the request limits that backend servers name, from what they saw.
#ifndef MARIGOLDQUAY_TESTS_PLATFORM_REQUEST_LIMITS_H_
#define MARIGOLDQUAY_TESTS_PLATFORM_REQUEST_LIMITS_H_

#include <string>
#include <vector>

#include "absl/time/time.h"
#include "fake_replica.h"

namespace marigoldquay::testing {

/// From this time after a server first names a limit, the limit holds.
inline constexpr absl::Duration kLimitContact = absl::Seconds(3);

/// One text per server that got more requests in some 4 s than one and a half times its limit
/// allows, and 5, from kLimitContact after it first named one. Requests of the first 0.5 s do not
/// count. `excused` lists requests of VMs that were restarted, frozen or cut off.
std::vector<std::string> CheckRequestLimits(const ReplicaLedger& seen,
                                            const std::vector<std::string>& excused = {});

}  // namespace marigoldquay::testing

#endif  // MARIGOLDQUAY_TESTS_PLATFORM_REQUEST_LIMITS_H_
