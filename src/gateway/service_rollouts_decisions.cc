// What the lease holder's decisions are made of, their writes, and the gauges.

#include "gateway/service_rollouts.h"

namespace calicodrift::gateway {

using boost::asio::awaitable;
using service_rollout::Order;
using service_rollout::OrderState;
using service_rollout::PlanInput;
using service_rollout::ServiceRecord;
using service_rollout::TrafficRule;

namespace {

constexpr double kMsPerSecond = 1000;

}  // namespace

service_rollout::RolloutPorts ServiceRollouts::ports() {
  service_rollout::RolloutPorts ports;
  ports.token = [this] { return context_.mayDecide() ? lease_.token() : std::nullopt; };
  ports.inputs = [this] { return planInputs(); };
  ports.writeRecord = [this](ServiceRecord record) { return writeRecord(std::move(record)); };
  ports.writeState = [this](Order order, OrderState state) {
    return writeState(std::move(order), state);
  };
  return ports;
}

std::map<std::string, PlanInput> ServiceRollouts::planInputs() const {
  std::map<std::string, PlanInput> inputs;
  if (!synchronized()) {
    return inputs;
  }
  for (const std::string& service : rules_.services()) {
    if (rules_.orderOf(service) != nullptr || rules_.recordOf(service) != nullptr) {
      inputs[service] = planInput(service);
    }
  }
  return inputs;
}

PlanInput ServiceRollouts::planInput(const std::string& service) const {
  PlanInput input;
  if (const Order* order = rules_.orderOf(service)) {
    input.order = *order;
  }
  input.orders = {orderWatcher_.revision(), orderWatcher_.provenAt()};
  input.records = {recordWatcher_.revision(), recordWatcher_.provenAt()};
  input.firstSeen = rules_.firstSeen(service);
  if (const ServiceRecord* record = rules_.recordOf(service)) {
    input.record = *record;
    addTraffic(*record, input);
  }
  const auto unreadable = unreadableRecords_.find(service);
  if (unreadable != unreadableRecords_.end() && input.record) {
    input.record->revision = unreadable->second;
    input.recordUnreadable = true;
  }
  return input;
}

void ServiceRollouts::addTraffic(const ServiceRecord& record, PlanInput& input) const {
  const fleet::ServerPool& pool = context_.pool;
  const MonotonicTime now = monotonicNow();
  input.stableServers = pool.countUsable(record.service, record.stable, now);
  input.stableInFlight = pool.countInFlight(record.service, record.stable);
  if (!record.candidate.value().empty()) {
    input.candidateServers = pool.countUsable(record.service, record.candidate, now);
  }
  for (const auto& [version, servers] : listedVersionsOf(record.service)) {
    if (version != record.stable) {
      input.otherInFlight += pool.countInFlight(record.service, version);
    }
  }
  const auto found = progress_.find(keyOf(record));
  if (found != progress_.end()) {
    const Progress& progress = found->second;
    input.observations = progress.sum;
    input.verdict = progress.verdict;
    input.evidence = progress.analyzer.explain();
    input.requestsPerSecond = rateOf(progress);
  }
}

std::map<SoftwareVersion, std::size_t> ServiceRollouts::listedVersionsOf(
    const std::string& service) const {
  const auto listed = context_.pool.listedVersions();
  const auto found = listed.find(service);
  return found == listed.end() ? std::map<SoftwareVersion, std::size_t>{} : found->second;
}

void ServiceRollouts::showMetrics() {
  std::vector<service_rollout::RolloutStatus> all;
  for (const std::string& service : rules_.services()) {
    if (rules_.orderOf(service) != nullptr || rules_.recordOf(service) != nullptr) {
      all.push_back(statusOf(service));
    }
  }
  metrics_.setStatuses(all);
}

service_rollout::RolloutStatus ServiceRollouts::statusOf(const std::string& service) const {
  service_rollout::RolloutStatus status;
  const TrafficRule rule = ruleFor(service);
  status.service = service;
  status.stable = rule.stable;
  status.candidate = rule.candidate;
  status.use = rule.use;
  if (const Order* order = rules_.orderOf(service)) {
    status.target = order->target;
    status.state = order->state;
  }
  if (const ServiceRecord* record = rules_.recordOf(service)) {
    status.phase = record->phase;
  }
  if (const auto found = progress_.find(rule.order); found != progress_.end()) {
    const Progress& progress = found->second;
    status.verdict = toString(progress.verdict);
    status.reached = progress.sum.reached;
    status.exposed = progress.sum.exposed;
    status.age = progress.sum.age;
    status.evidence = progress.analyzer.evidence();
  }
  return status;
}

double ServiceRollouts::rateOf(const Progress& progress) {
  if (progress.reached.size() < 2) {
    return 0;
  }
  // The sum falls where a part of the tree is lost for a while.
  std::uint64_t more = 0;
  for (std::size_t index = 1; index < progress.reached.size(); ++index) {
    const std::uint64_t before = progress.reached[index - 1].reached;
    const std::uint64_t after = progress.reached[index].reached;
    more += after > before ? after - before : 0;
  }
  const auto span = progress.reached.back().at - progress.reached.front().at;
  return static_cast<double>(more) / toMilliseconds(span) * kMsPerSecond;
}

awaitable<Result<store::Revision>> ServiceRollouts::writeRecord(ServiceRecord record) {
  const auto unreadable = unreadableRecords_.find(record.service);
  if (unreadable != unreadableRecords_.end()) {
    // The object is there, though this node never read a record of it.
    record.revision = unreadable->second;
  }
  Result<store::Revision> written = co_await context_.store.put(
      std::string(service_rollout::kRecordKind), service_rollout::toObject(record));
  metrics_.countWrite("record", written.has_value());
  co_return written;
}

awaitable<Result<store::Revision>> ServiceRollouts::writeState(Order order, OrderState state) {
  store::Object object;
  object.name = order.name;
  object.revision = order.revision;
  object.status = context_.schema.rolloutStatus(state, order.target);
  Result<store::Revision> written =
      co_await context_.store.putStatus(context_.schema.rolloutKind(), std::move(object));
  metrics_.countWrite("state", written.has_value());
  co_return written;
}

}  // namespace calicodrift::gateway
