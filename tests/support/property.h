// Runs a RapidCheck property inside a Boost.Test case. The seed is printed on
// failure and can be set with RC_PARAMS="seed=N".
#ifndef MARIGOLDQUAY_TESTS_SUPPORT_PROPERTY_H_
#define MARIGOLDQUAY_TESTS_SUPPORT_PROPERTY_H_

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>

namespace marigoldquay::testing {

/// Checks the property and fails the enclosing test case when it is falsified.
template <class Property>
void CheckProperty(const std::string& description, Property&& property) {
  BOOST_TEST(rc::check(description, std::forward<Property>(property)), description);
}

}  // namespace marigoldquay::testing

#endif  // MARIGOLDQUAY_TESTS_SUPPORT_PROPERTY_H_
