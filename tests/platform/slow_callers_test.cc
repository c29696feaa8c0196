// A real gateway process whose callers read nothing: what it holds for them.
#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "gateway_fixture.h"
#include "support/blocking_client.h"
#include "support/process.h"
#include "support/raw_connection.h"
#include "support/reserved_ports.h"

namespace calicodrift::testing {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::size_t kAnswerBytes = 2'000'000;
constexpr std::size_t kHeldAnswerKb = 64;
constexpr std::size_t kCallers = 200;

/// Resident memory of a process in KB.
std::size_t residentKb(int process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  std::string word;
  while (status >> word) {
    if (word == "VmRSS:") {
      std::size_t kb = 0;
      status >> kb;
      return kb;
    }
  }
  return 0;
}

/// The platform's store and a server with long answers, on a thread of their own, and a gateway
/// process before them.
class SlowCallersFixture {
 public:
  SlowCallersFixture() {
    log::silence();
    server_.setBehaviour([](const http::Request& request,
                            http::ResponseWriter& writer) -> asio::awaitable<void> {
      http::Response answer = ServerStandIn::sealed(request, 200, std::string(kAnswerBytes, 'x'));
      co_await http::respond(writer, std::move(answer));
    });
    store_.put("config", "main", GatewayFixture::configuration(1));
    store_.put("servers", server_.id(), server_.entry());
    listen_ = ports_.reserve();
    const Endpoint ready = ports_.reserve();
    settings_ = std::filesystem::temp_directory_path() /
                ("slow-callers-" + std::to_string(::getpid()) + ".json");
    std::ofstream(settings_) << json::serialize(
        json::object{{"node-id", "n1"},
                     {"zone", "z1"},
                     {"listen", listen_.toString()},
                     {"ready-listen", ready.toString()},
                     {"held-answer-kb", std::to_string(kHeldAnswerKb)},
                     {"store", store_.endpoint().toString()}});
    thread_ = std::thread([this] { context_.run(); });
    gateway_ = std::make_unique<Process>(
        "calicodrift-gateway", std::vector<std::string>{"--settings", settings_.string()});
    BOOST_REQUIRE(eventually([&ready] {
      const Result<http::Response> answer = get(ready, "/");
      return answer && answer.value().status == 200;
    }));
  }
  ~SlowCallersFixture() {
    gateway_.reset();
    context_.stop();
    thread_.join();
    std::filesystem::remove(settings_);
  }

  static std::string request(const std::string& id) {
    return "GET /safe/x HTTP/1.1\r\nHost: h\r\nX-Key: k1\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: 20000\r\n\r\n";
  }
  const Endpoint& endpoint() const { return listen_; }
  std::size_t residentKbOfGateway() const { return residentKb(gateway_->id()); }

 private:
  asio::io_context context_;
  ReservedPorts ports_{context_.get_executor(), kFleetPorts};
  StoreStandIn store_{context_};
  ServerStandIn server_{context_, "s1", "app"};
  Endpoint listen_;
  std::filesystem::path settings_;
  std::thread thread_;
  std::unique_ptr<Process> gateway_;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(slow_callers, SlowCallersFixture)

// Whole answers were held for as long as their callers did not take them: 400 MB here.
BOOST_AUTO_TEST_CASE(callersThatReadNothingHoldNoMoreThanTheSettingEach) {
  constexpr int kSmallestBuffer = 4096;
  const std::size_t before = residentKbOfGateway();
  std::vector<std::unique_ptr<RawConnection>> callers;
  for (std::size_t number = 0; number < kCallers; ++number) {
    callers.push_back(std::make_unique<RawConnection>(endpoint(), kSmallestBuffer));
    BOOST_REQUIRE(callers.back()->send(request("r" + std::to_string(number))));
  }
  std::this_thread::sleep_for(std::chrono::seconds(3));
  const std::size_t after = residentKbOfGateway();
  // The setting for each, and as much again for what a connection needs besides.
  BOOST_TEST(after - before <= kCallers * 2 * kHeldAnswerKb, after - before << " KB more");
  // One that begins to read after all gets its whole answer.
  const std::string& late = callers.front()->readUntil("\r\n0\r\n\r\n");
  BOOST_TEST(late.starts_with("HTTP/1.1 200 "));
  BOOST_TEST(static_cast<std::size_t>(std::count(late.begin(), late.end(), 'x')) >= kAnswerBytes);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace calicodrift::testing
