#include "forward/weighted_choice.h"

namespace calicodrift::forward {

const std::string& WeightedChoice::choose(const routes::Route& route) {
  if (route.services.size() == 1) {
    return route.services.front().service;
  }
  std::map<std::string, std::int64_t>& owed = owed_[route.name];
  std::int64_t total = 0;
  const routes::WeightedService* best = &route.services.front();
  for (const routes::WeightedService& service : route.services) {
    owed[service.service] += service.weight;
    total += service.weight;
    if (owed[service.service] > owed[best->service]) {
      best = &service;
    }
  }
  owed[best->service] -= total;
  return best->service;
}

}  // namespace calicodrift::forward
