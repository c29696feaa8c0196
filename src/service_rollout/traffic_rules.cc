#include "service_rollout/traffic_rules.h"

#include <algorithm>

namespace calicodrift::service_rollout {
namespace {

/// Returns the version with the most servers other than `except`; the first by name if several have
/// as many. Empty if there is none.
SoftwareVersion mostCommonVersion(const std::map<SoftwareVersion, std::size_t>& listed,
                                  const SoftwareVersion& except) {
  SoftwareVersion most;
  std::size_t servers = 0;
  for (const auto& [version, count] : listed) {
    if (version != except && count > servers) {
      most = version;
      servers = count;
    }
  }
  return most;
}

/// A version that no server has.
const SoftwareVersion kNoVersion("(orders not read)");

}  // namespace

std::string_view toString(CandidateUse use) {
  switch (use) {
    case CandidateUse::kNothing:
      return "nothing";
    case CandidateUse::kCanary:
      return "canary";
    case CandidateUse::kEverything:
      return "everything";
  }
  return "nothing";
}

void TrafficRules::setOrders(const std::vector<Order>& orders) {
  orders_.clear();
  for (const Order& order : orders) {
    applyOrder(order);
  }
}

void TrafficRules::setRecords(const std::vector<ServiceRecord>& records) {
  records_.clear();
  for (const ServiceRecord& record : records) {
    applyRecord(record);
  }
}

void TrafficRules::applyOrder(const Order& order) {
  orders_[order.name] = order;
}

void TrafficRules::removeOrder(const std::string& name) {
  orders_.erase(name);
}

void TrafficRules::applyRecord(const ServiceRecord& record) {
  ServiceRecord& known = records_[record.service];
  if (record.revision >= known.revision) {
    known = record;
  }
}

void TrafficRules::setListed(const std::string& service,
                             const std::map<SoftwareVersion, std::size_t>& listed) {
  listed_[service] = listed;
  blockedServices_.erase(service);
  const auto known = firstSeen_.find(service);
  const bool stillListed = known != firstSeen_.end() && listed.contains(known->second);
  if (stillListed) {
    return;
  }
  const Order* order = orderOf(service);
  const bool candidateListed = order != nullptr && !order->ended();
  const SoftwareVersion most =
      mostCommonVersion(listed, candidateListed ? order->target : SoftwareVersion());
  if (!most.value().empty()) {
    firstSeen_[service] = most;
  }
}

const ServiceRecord* TrafficRules::recordOf(const std::string& service) const {
  const auto found = records_.find(service);
  return found == records_.end() ? nullptr : &found->second;
}

const Order* TrafficRules::orderOf(const std::string& service) const {
  const Order* newest = nullptr;
  for (const auto& [name, order] : orders_) {
    if (order.service == service && (newest == nullptr || order.revision > newest->revision)) {
      newest = &order;
    }
  }
  return newest;
}

SoftwareVersion TrafficRules::firstSeen(const std::string& service) const {
  const auto found = firstSeen_.find(service);
  return found == firstSeen_.end() ? SoftwareVersion() : found->second;
}

std::set<std::string> TrafficRules::services() const {
  std::set<std::string> all;
  for (const auto& [name, order] : orders_) {
    all.insert(order.service);
  }
  for (const auto& [service, record] : records_) {
    all.insert(service);
  }
  for (const auto& [service, versions] : listed_) {
    all.insert(service);
  }
  all.insert(blockedServices_.begin(), blockedServices_.end());
  return all;
}

SoftwareVersion TrafficRules::stableOf(const std::string& service) const {
  const Order* order = orderOf(service);
  if (order != nullptr && order->hasState() && order->state == OrderState::kCompleted) {
    // The order's record was written before, but may not have been read here yet.
    return order->target;
  }
  const ServiceRecord* record = recordOf(service);
  return record != nullptr ? record->stable : firstSeen(service);
}

bool TrafficRules::isStillAccepted(const Order& order, const ServiceRecord& record) {
  return !order.withdrawn && !order.ended() && order.target == record.candidate;
}

TrafficRule TrafficRules::ruleFor(const std::string& service, MonotonicTime provenAt,
                                  MonotonicTime now) const {
  TrafficRule rule;
  if (blockedServices_.contains(service)) {
    rule.stable = kNoVersion;
    return rule;
  }
  rule.stable = stableOf(service);
  const ServiceRecord* record = recordOf(service);
  const Order* order = orderOf(service);
  const bool inProgress = record != nullptr && record->phase != Phase::kSteady &&
                          order != nullptr && isStillAccepted(*order, *record);
  if (!inProgress) {
    return rule;
  }
  rule.candidate = record->candidate;
  rule.order = keyOf(*record);
  const bool permitted = now - provenAt <= settings_.permitTerm;
  if (permitted && !rejected(rule.order)) {
    rule.use = record->phase == Phase::kBaking ? CandidateUse::kCanary : CandidateUse::kEverything;
  }
  return rule;
}

}  // namespace calicodrift::service_rollout
