// Entry point of each package's unit test program.
#define BOOST_TEST_MODULE marigoldquay
#include <boost/test/unit_test.hpp>
