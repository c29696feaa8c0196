// Entry point of every test program.
#define BOOST_TEST_MODULE calicodrift
#include <boost/test/unit_test.hpp>
