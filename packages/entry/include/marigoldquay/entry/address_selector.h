// Chooses the addresses that callers should connect to; there is no load
// balancer in front of the entry VMs.
#ifndef MARIGOLDQUAY_ENTRY_ADDRESS_SELECTOR_H_
#define MARIGOLDQUAY_ENTRY_ADDRESS_SELECTOR_H_

#include <random>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "marigoldquay/membership/member_view.h"

namespace marigoldquay {

/// How many addresses one answer holds.
inline constexpr std::size_t kAddressesPerAnswer = 3;

/// Members that callers may use, best first: up to kAddressesPerAnswer, drawn at random with
/// weights of VM size times spare capacity, those of the caller's availability zone before others.
/// Draining and unresponsive members are left out; if that leaves none, only draining ones are.
std::vector<Member> SelectAddresses(const MemberView& members, absl::string_view caller_zone,
                                    std::mt19937_64& random);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_ENTRY_ADDRESS_SELECTOR_H_
