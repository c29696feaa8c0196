#include "forward/weighted_choice.h"

namespace calicodrift::forward {

const std::string& WeightedChoice::choose(const routes::Route& route) {
  if (route.services.size() == 1) {
    return route.services.front().service;
  }
  std::map<std::string, std::int64_t>& currentWeights = currentWeights_[route.name];
  std::int64_t total = 0;
  const routes::WeightedService* best = &route.services.front();
  for (const routes::WeightedService& service : route.services) {
    currentWeights[service.service] += service.weight;
    total += service.weight;
    if (currentWeights[service.service] > currentWeights[best->service]) {
      best = &service;
    }
  }
  currentWeights[best->service] -= total;
  return best->service;
}

}  // namespace calicodrift::forward
