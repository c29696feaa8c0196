#include "router/discovery.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

namespace calicodrift::router {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::awaitable;

std::uint64_t numberAt(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr) {
    return 0;
  }
  return value->is_uint64()  ? value->get_uint64()
         : value->is_int64() ? static_cast<std::uint64_t>(value->get_int64())
                             : 0;
}

Result<ProbeResult> parseProbe(const http::Response& response) {
  json::error_code code;
  const json::value document = json::parse(response.body, code);
  if (response.status != 200 || code || !document.is_object()) {
    return fail(ErrorKind::kProtocolViolation, "the probe's answer is no health report");
  }
  const json::object& object = document.get_object();
  const json::value* id = object.if_contains("id");
  const json::value* draining = object.if_contains("draining");
  ProbeResult result;
  result.id = BackendId(id != nullptr && id->is_string() ? std::string(id->get_string()) : "");
  result.draining = draining != nullptr && draining->is_bool() && draining->get_bool();
  result.incarnation = Incarnation(numberAt(object, "incarnation"));
  result.weights = WeightsVersion(numberAt(object, "weights_version"));
  result.reportedRequests = numberAt(object, "waiting") + numberAt(object, "running");
  const json::value* accepting = object.if_contains("accepting");
  result.accepting = accepting == nullptr || !accepting->is_bool() || accepting->get_bool();
  result.reportedPrefillTokens = numberAt(object, "prefill_tokens");
  return result;
}

awaitable<void> pause(Milliseconds duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  co_await timer.async_wait(asio::use_awaitable);
}

}  // namespace

Discovery::Discovery(asio::any_io_executor executor, const NodeSettings& settings,
                     http::Client& client, BackendTable& table)
    : executor_(std::move(executor)), settings_(settings), client_(client), table_(table) {}

void Discovery::start() {
  asio::co_spawn(executor_, readMachineLists(), asio::detached);
  asio::co_spawn(executor_, probeAll(), asio::detached);
}

awaitable<void> Discovery::readMachineLists() {
  http::ExchangeOptions options;
  options.connectTimeout = settings_.connectTimeout;
  options.headerTimeout = settings_.machineListInterval + settings_.probeTimeout;
  // JSON that ends early cannot be read.
  options.unframedBody = http::UnframedBody::kAccept;
  for (;;) {
    for (const Endpoint& endpoint : settings_.machineList) {
      http::Request request;
      request.target = "/machines";
      Result<http::Response> response = co_await client_.exchange(endpoint, request, options);
      if (!response || response.value().status != 200) {
        continue;
      }
      Result<std::vector<object_api::Machine>> machines =
          object_api::machinesFromJson(response.value().body);
      if (machines) {
        table_.applyMachineList(machines.value());
        probeNew();
        break;
      }
    }
    co_await pause(jittered(settings_.machineListInterval));
  }
}

void Discovery::probeNew() {
  const std::vector<object_api::Machine> machines = table_.machines();
  std::map<BackendId, Endpoint> listed;
  for (const object_api::Machine& machine : machines) {
    listed[machine.id] = machine.endpoint;
    const auto known = listed_.find(machine.id);
    if (known == listed_.end() || known->second != machine.endpoint) {
      startProbe(machine);
    }
  }
  listed_ = std::move(listed);
}

awaitable<void> Discovery::probeAll() {
  for (;;) {
    for (const object_api::Machine& machine : table_.machines()) {
      startProbe(machine);
    }
    co_await pause(jittered(settings_.probeInterval));
  }
}

void Discovery::startProbe(const object_api::Machine& machine) {
  if (probing_.insert(machine.id).second) {
    asio::co_spawn(executor_, probe(machine), asio::detached);
  }
}

Milliseconds Discovery::jittered(Milliseconds interval) {
  constexpr std::int64_t kTenth = 10;
  const std::int64_t spread = interval.count() / kTenth;
  std::uniform_int_distribution<std::int64_t> distribution(-spread, spread);
  return interval + Milliseconds(distribution(random_));
}

awaitable<void> Discovery::probe(object_api::Machine machine) {
  http::Request request;
  request.target = "/health";
  http::ExchangeOptions options;
  options.connectTimeout = settings_.probeTimeout;
  options.headerTimeout = settings_.probeTimeout;
  options.bodyTimeout = settings_.probeTimeout;
  options.unframedBody = http::UnframedBody::kAccept;
  Result<http::Response> response = co_await client_.exchange(machine.endpoint, request, options);
  probing_.erase(machine.id);
  if (table_.endpointOf(machine.id) != machine.endpoint) {
    // The machine moved while the probe was under way; the answer is the old process's.
    co_return;
  }
  if (!response) {
    table_.applyProbeFailure(machine.id);
    co_return;
  }
  const Result<ProbeResult> result = parseProbe(response.value());
  if (result) {
    table_.applyProbe(machine.id, result.value());
  } else {
    table_.applyProbeFailure(machine.id);
  }
}

}  // namespace calicodrift::router
