#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/clock.h"
#include "common/ids.h"
#include "service_rollout/order.h"
#include "service_rollout/service_record.h"

namespace calicodrift::service_rollout {

/// What requests of a service the candidate may get now.
enum class CandidateUse { kNothing, kCanary, kEverything };
std::string_view toString(CandidateUse use);

/// Which versions of a service may run requests now. Every other version gets nothing.
struct TrafficRule {
  /// Empty: the service's versions were never told apart, and all of them may run requests.
  SoftwareVersion stable;
  SoftwareVersion candidate;
  CandidateUse use = CandidateUse::kNothing;
  /// The order under way; 0 where there is none.
  OrderKey order;

  bool operator==(const TrafficRule&) const = default;
};

struct TrafficRulesSettings {
  /// A candidate gets requests only while the node's view of orders and records is proven to be
  /// newer than this: the permit of a node that is cut off ends by itself. With what judging takes
  /// it has to stay below the deployment's bound from a bad version's last tolerated answer to its
  /// last request.
  Milliseconds permitTerm{1500};
};

/// Each service's rule at this node, from what it has read of orders, records and listed servers,
/// and from the verdict of the nodes. No I/O; calls are told the time.
///
/// Invariant: a version runs requests only if it is the stable one, or an order names it, a record
/// accepts that order, and the permit has not run out. The stable one is the record's, or where
/// there is none the one that most servers had when the service was first seen here.
class TrafficRules {
 public:
  explicit TrafficRules(TrafficRulesSettings settings) : settings_(settings) {}

  /// Replaces all orders, or records, that are known.
  void setOrders(const std::vector<Order>& orders);
  void setRecords(const std::vector<ServiceRecord>& records);
  void applyOrder(const Order& order);
  void removeOrder(const std::string& name);
  void applyRecord(const ServiceRecord& record);
  /// Servers in use of each version of the service, as listed now. To be called only when the
  /// orders were read, as a candidate's servers would else be taken for the stable version's.
  void setListed(const std::string& service, const std::map<SoftwareVersion, std::size_t>& listed);
  /// Servers of several versions are listed, and the orders were not read yet: which one is the
  /// stable version can't be told, so that none of them gets anything.
  void hold(const std::string& service) { held_.insert(service); }
  /// The nodes have found the order's candidate to be bad. Holds for as long as the process runs.
  void reject(OrderKey order) { rejected_.insert(order); }
  bool rejected(OrderKey order) const { return rejected_.contains(order); }

  /// @param provenAt when the views of orders and of records were both the newest for certain.
  TrafficRule ruleFor(const std::string& service, MonotonicTime provenAt, MonotonicTime now) const;
  const ServiceRecord* recordOf(const std::string& service) const;
  /// The service's order that was written last; null where there is none.
  const Order* orderOf(const std::string& service) const;
  /// The version that most servers had when the service was first seen; empty before.
  SoftwareVersion firstSeen(const std::string& service) const;
  /// Services with an order, a record or servers.
  std::set<std::string> services() const;

 private:
  SoftwareVersion stableOf(const std::string& service) const;
  /// Whether the order still stands as the record accepted it.
  static bool stands(const Order& order, const ServiceRecord& record);

  TrafficRulesSettings settings_;
  std::map<std::string, Order> orders_;
  std::map<std::string, ServiceRecord> records_;
  std::map<std::string, std::map<SoftwareVersion, std::size_t>> listed_;
  /// By service: the version that most servers had when it was first seen.
  std::map<std::string, SoftwareVersion> firstSeen_;
  std::set<OrderKey> rejected_;
  std::set<std::string> held_;
};

}  // namespace calicodrift::service_rollout
