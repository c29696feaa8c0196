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

/// Which requests of a service the candidate may get now.
enum class CandidateUse { kNothing, kCanary, kEverything };
std::string_view toString(CandidateUse use);

/// Which versions of a service may run requests now. All other versions get none.
struct TrafficRule {
  /// Empty if the service's versions were never distinguished; all of them may run requests then.
  SoftwareVersion stable;
  SoftwareVersion candidate;
  CandidateUse use = CandidateUse::kNothing;
  /// The order in progress; 0 if there is none.
  OrderKey order;

  bool operator==(const TrafficRule&) const = default;
};

struct TrafficRulesSettings {
  /// A candidate gets requests only while the node's view of orders and records is proven to be
  /// newer than this, so that the permit of a disconnected node expires by itself. Together with
  /// the time needed to judge, it must stay below the deployment's bound from a bad version's last
  /// tolerated answer to its last request.
  Milliseconds permitTerm{1500};
};

/// Determines each service's rule at this node from the orders, records and listed servers it has
/// read, and from the nodes' verdict. Performs no I/O; the caller passes the time.
///
/// Invariant: a version runs requests only if it is the stable one, or an order names it, a record
/// accepts that order, and the permit has not expired. The stable version is the record's, or
/// without a record the one that most servers had when the service was first seen here.
class TrafficRules {
 public:
  explicit TrafficRules(TrafficRulesSettings settings) : settings_(settings) {}

  /// Replaces all known orders or records.
  void setOrders(const std::vector<Order>& orders);
  void setRecords(const std::vector<ServiceRecord>& records);
  void applyOrder(const Order& order);
  void removeOrder(const std::string& name);
  void applyRecord(const ServiceRecord& record);
  /// Sets the number of servers in use of each version of the service, as listed now. Call it only
  /// once the orders have been read, as a candidate's servers would otherwise be taken for the
  /// stable version's.
  void setListed(const std::string& service, const std::map<SoftwareVersion, std::size_t>& listed);
  /// Stops all traffic of the service: servers of several versions are listed, but the orders have
  /// not been read yet, so the stable version can't be determined.
  void blockTraffic(const std::string& service) { blockedServices_.insert(service); }
  /// Records that the nodes have found the order's candidate to be bad. Applies for the lifetime of
  /// the process.
  void reject(OrderKey order) { rejected_.insert(order); }
  bool rejected(OrderKey order) const { return rejected_.contains(order); }

  /// @param provenAt latest time at which the views of orders and of records were both proven to be
  /// the newest state.
  TrafficRule ruleFor(const std::string& service, MonotonicTime provenAt, MonotonicTime now) const;
  const ServiceRecord* recordOf(const std::string& service) const;
  /// The service's most recently written order; null if there is none.
  const Order* orderOf(const std::string& service) const;
  /// The version that most servers had when the service was first seen; empty before.
  SoftwareVersion firstSeen(const std::string& service) const;
  /// Services with an order, a record or servers.
  std::set<std::string> services() const;

 private:
  SoftwareVersion stableOf(const std::string& service) const;
  /// Whether the order still matches what the record accepted.
  static bool isStillAccepted(const Order& order, const ServiceRecord& record);

  TrafficRulesSettings settings_;
  std::map<std::string, Order> orders_;
  std::map<std::string, ServiceRecord> records_;
  std::map<std::string, std::map<SoftwareVersion, std::size_t>> listed_;
  /// By service: the version that most servers had when it was first seen.
  std::map<std::string, SoftwareVersion> firstSeen_;
  std::set<OrderKey> rejected_;
  std::set<std::string> blockedServices_;
};

}  // namespace calicodrift::service_rollout
