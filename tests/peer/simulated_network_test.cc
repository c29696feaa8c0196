#include "support/simulated_network.h"

#include <boost/test/unit_test.hpp>

#include "peer/codec.h"

namespace calicodrift::peer {
namespace {

struct Greeting {
  std::uint64_t number = 0;
  std::string text;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number, text);
  }
};

BOOST_AUTO_TEST_CASE(messagesSurviveEncodingAndMalformedOnesAreRefused) {
  const std::string payload = encode(Greeting{7, "hello"});
  const Result<Greeting> decoded = decode<Greeting>(payload);
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded.value().text == "hello");
  const Result<Greeting> cut = decode<Greeting>(payload.substr(0, 5));
  BOOST_REQUIRE(!cut.has_value());
  BOOST_TEST((cut.error().kind == ErrorKind::kProtocolViolation));
}

BOOST_AUTO_TEST_CASE(cutsAreOneWayAndRestartsReplaceThePort) {
  testing::SimulatedNetwork network(1);
  const Endpoint first{"10.0.0.1", 1};
  const Endpoint second{"10.0.0.2", 1};
  auto a = network.attach(first);
  auto b = network.attach(second);
  int received = 0;
  b->setReceiver(Channel::kClaims, [&received](const Endpoint&, std::string_view) { ++received; });
  a->send(second, Channel::kClaims, "x");
  network.run(Milliseconds(10));
  BOOST_TEST(received == 1);
  network.cut(first, second);
  a->send(second, Channel::kClaims, "x");
  network.run(Milliseconds(10));
  BOOST_TEST(received == 1);
  network.healAll();
  auto restarted = network.attach(second);
  a->send(second, Channel::kClaims, "x");
  network.run(Milliseconds(10));
  BOOST_TEST(received == 1);
}

}  // namespace
}  // namespace calicodrift::peer
