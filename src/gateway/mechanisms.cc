#include "gateway/mechanisms.h"

#include <algorithm>

namespace calicodrift::gateway {
namespace {

struct Switch {
  const char* name;
  bool Mechanisms::*member;
};

constexpr Switch kSwitches[] = {
    {"load-announcements", &Mechanisms::loadAnnouncements},
    {"cache-moves", &Mechanisms::cacheMoves},
    {"cache-saves", &Mechanisms::cacheSaves},
    {"queue-admission", &Mechanisms::queueAdmission},
    {"learnt-rates", &Mechanisms::learntRates},
    {"load-exchange", &Mechanisms::loadExchange},
    {"refusal-pause", &Mechanisms::refusalPause},
    {"patience", &Mechanisms::patience},
    {"settle-by-queues", &Mechanisms::settleByQueues},
    {"retries", &Mechanisms::retries},
    {"pause-bounds", &Mechanisms::pauseBounds},
    {"tenant-limits", &Mechanisms::tenantLimits},
    {"region-homes", &Mechanisms::regionHomes},
    {"relayed-paths", &Mechanisms::relayedPaths},
};

std::string allNames() {
  std::string all;
  for (const std::string& name : mechanismNames()) {
    all += all.empty() ? name : ", " + name;
  }
  return all;
}

}  // namespace

Result<Mechanisms> mechanismsWithout(const std::vector<std::string>& names) {
  Mechanisms mechanisms;
  for (const std::string& name : names) {
    const auto* const found = std::find_if(std::begin(kSwitches), std::end(kSwitches),
                                           [&name](const Switch& one) { return name == one.name; });
    if (found == std::end(kSwitches)) {
      return fail(ErrorKind::kSettingsInvalid,
                  "without: there is no mechanism '" + name + "'; there are " + allNames());
    }
    mechanisms.*found->member = false;
  }
  return mechanisms;
}

std::vector<std::string> mechanismNames() {
  std::vector<std::string> names;
  for (const Switch& one : kSwitches) {
    names.emplace_back(one.name);
  }
  return names;
}

}  // namespace calicodrift::gateway
