// Members for the tests of this package.
#ifndef MARIGOLDQUAY_MEMBERSHIP_TESTS_SAMPLE_MEMBERS_H_
#define MARIGOLDQUAY_MEMBERSHIP_TESTS_SAMPLE_MEMBERS_H_

#include <string>

#include "marigoldquay/membership/member_view.h"

namespace marigoldquay::testing {

inline Member SampleMember(const std::string& vm, std::uint64_t incarnation) {
  return {{vm, incarnation}, "zone", "region", 1, vm + ":1", vm + ":2"};
}

}  // namespace marigoldquay::testing

#endif  // MARIGOLDQUAY_MEMBERSHIP_TESTS_SAMPLE_MEMBERS_H_
