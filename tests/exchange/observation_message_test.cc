#include "exchange/observation_message.h"

#include <boost/test/unit_test.hpp>

#include "exchange/messages.h"
#include "peer/codec.h"

namespace calicodrift::exchange {
namespace {

using service_rollout::OrderKey;
using service_rollout::OrderObservations;
using service_rollout::RouteKey;
using service_rollout::RouteSample;

struct EmptyMessage {
  template <typename Archive>
  void serialize(Archive& /*archive*/) {}
};

std::size_t bytesOf(const ObservationMessage& message) {
  return peer::encode(message).size() - peer::encode(EmptyMessage()).size();
}

/// Four routes on which the stable version answered 20 times as many requests as the candidate.
OrderObservations orderWith(std::uint32_t candidateAnswers) {
  OrderObservations seen;
  seen.order = OrderKey(~std::uint64_t{0});
  seen.age = Milliseconds(15'000);
  seen.rejected = true;
  for (std::uint64_t route = 1; route <= 4; ++route) {
    auto& samples = seen.routes[RouteKey(route << 60U)];
    for (const std::uint32_t factor : {20U, 1U}) {
      RouteSample& sample = samples[factor == 1U ? 1 : 0];
      sample.answered = factor * candidateAnswers;
      sample.failed = sample.answered / 100;
      for (std::size_t bucket = 2; bucket < 9; ++bucket) {
        sample.start[bucket] = sample.answered / 7;
        sample.pace[bucket] = sample.answered / 7;
      }
      seen.reached += sample.answered;
    }
    seen.exposed += candidateAnswers;
  }
  return seen;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(observation_message)

BOOST_AUTO_TEST_CASE(messageWithoutAnOrderTakesOneByte) {
  BOOST_TEST(bytesOf(ObservationMessage()) == 1U);
}

BOOST_AUTO_TEST_CASE(messageRoundTrips) {
  service_rollout::ObservationTable table;
  for (const std::uint32_t answers : {0U, 3U, 100'000U}) {
    OrderObservations seen = orderWith(answers);
    seen.order = OrderKey(answers);
    if (answers == 0) {
      seen.routes.clear();
    }
    table[seen.order] = seen;
  }
  const auto read =
      peer::decode<ObservationMessage>(peer::encode(ObservationMessage(table))).value();
  BOOST_REQUIRE(read.table().size() == table.size());
  for (const auto& [order, seen] : table) {
    const OrderObservations& other = read.table().at(order);
    BOOST_TEST((other.order == order));
    BOOST_TEST(other.age == seen.age);
    BOOST_TEST(other.rejected == seen.rejected);
    BOOST_TEST(other.reached == seen.reached);
    BOOST_TEST(other.exposed == seen.exposed);
    BOOST_TEST((other.routes == seen.routes));
  }
}

BOOST_AUTO_TEST_CASE(routesWithoutCountsAreOmitted) {
  OrderObservations seen = orderWith(3);
  const std::size_t before = bytesOf(ObservationMessage({{seen.order, seen}}));
  seen.routes[RouteKey(99)] = {};
  const ObservationMessage message({{seen.order, seen}});
  BOOST_TEST(bytesOf(message) == before);
  const auto read = peer::decode<ObservationMessage>(peer::encode(message)).value();
  BOOST_TEST(read.table().at(seen.order).routes.size() == 4U);
}

BOOST_AUTO_TEST_CASE(truncatedMessageIsRejected) {
  const OrderObservations seen = orderWith(3);
  const std::string whole = peer::encode(ObservationMessage({{seen.order, seen}}));
  BOOST_TEST(!peer::decode<ObservationMessage>(whole.substr(0, whole.size() / 2)));
}

BOOST_AUTO_TEST_CASE(orderWithFourRoutesTakesAFewHundredBytes) {
  constexpr std::size_t kReportsASecond = 10;
  // Counts of one node after some seconds, and the sums over a fleet with 843 requests a second.
  for (const std::uint32_t answers : {2U, 12U, 300U}) {
    const OrderObservations seen = orderWith(answers);
    const std::size_t bytes = bytesOf(ObservationMessage({{seen.order, seen}}));
    BOOST_TEST_MESSAGE("candidate's answers a route: " << answers << ", bytes a report: " << bytes
                                                       << ", a second at one way of a link: "
                                                       << kReportsASecond * bytes);
    BOOST_TEST(bytes < 400U);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace calicodrift::exchange
