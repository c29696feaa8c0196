#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "common/clock.h"

namespace calicodrift::testing {

/// The bounds of roll-outs that the nodes are given in the soak.
struct RolloutBounds {
  double exposureShare = 0.3;
  std::size_t exposureSlack = 20;
  Milliseconds stopBound{5000};
  /// The bad answer from which on the stop bound counts.
  std::size_t toleratedBadAnswers = 50;
};

/// Judges orders by what servers saw: the share that bad versions got, their last request after the
/// tolerated bad answers, versions that ran something without an order, answers that a promotion
/// cut, and the outcomes.
class RolloutCheck {
 public:
  explicit RolloutCheck(RolloutBounds bounds) : bounds_(bounds) {}

  /// @param bad whether the version is bad from its first request on; one that turns bad later, or
  ///   is bad in part, may be promoted before it shows.
  void onOrder(const std::string& service, const std::string& version, MonotonicTime at,
               Milliseconds duration, bool bad, bool badAtOnce);
  /// @param calm whether the sending node and the store had been free of faults for long.
  void onArrival(const std::string& service, const std::string& version, MonotonicTime at,
                 bool calm);
  void onBadAnswer(const std::string& version, MonotonicTime at);
  /// A fault struck the store: the count of bad answers starts anew.
  void onStoreFault(MonotonicTime at) { storeFaults_.push_back(at); }
  void onOutcome(const std::string& version, const std::string& state, MonotonicTime at);
  /// Runs that the operator's stop of the old version's servers cut.
  void onCut(const std::string& version, std::size_t runs);

  std::vector<std::string> violations() const;
  /// Counts of outcomes, shares and times, for people.
  std::string summary() const;
  std::size_t judgedOrders() const { return trials_.size(); }

 private:
  struct Arrival {
    MonotonicTime at;
    bool calm = false;
  };
  struct Trial {
    std::string service;
    MonotonicTime orderedAt;
    MonotonicTime deadline;
    bool bad = false;
    bool badAtOnce = false;
    std::vector<Arrival> arrivals;
    std::vector<MonotonicTime> badAnswers;
    std::string outcome;
    MonotonicTime endedAt;
  };

  std::size_t reached(const Trial& trial) const;
  std::size_t exposed(const Trial& trial) const;
  /// From the tolerated bad answer to the last request from a calm node; 0 where there is none.
  Milliseconds stopTime(const Trial& trial) const;

  RolloutBounds bounds_;
  std::map<std::string, Trial> trials_;
  /// All requests that reached a service.
  std::map<std::string, std::vector<MonotonicTime>> reached_;
  std::vector<MonotonicTime> storeFaults_;
  std::vector<std::string> unordered_;
  std::size_t cut_ = 0;
};

}  // namespace calicodrift::testing
