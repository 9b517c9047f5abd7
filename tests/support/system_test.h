// System of a Boost.Test case, which prints all logs when the case fails.
#ifndef MARIGOLDQUAY_TESTS_SUPPORT_SYSTEM_TEST_H_
#define MARIGOLDQUAY_TESTS_SUPPORT_SYSTEM_TEST_H_

#include <boost/test/results_collector.hpp>
#include <boost/test/unit_test.hpp>
#include <iostream>

#include "system.h"

namespace marigoldquay::testing {

class TestSystem : public System {
 public:
  using System::System;
  ~TestSystem() {
    namespace unit_test = boost::unit_test;
    const auto id = unit_test::framework::current_test_case_id();
    if (std::uncaught_exceptions() > 0 || !unit_test::results_collector.results(id).passed()) {
      PrintLogs(std::cerr);
    }
  }
};

}  // namespace marigoldquay::testing

#endif  // MARIGOLDQUAY_TESTS_SUPPORT_SYSTEM_TEST_H_
