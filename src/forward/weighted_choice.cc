#include "forward/weighted_choice.h"

#include <algorithm>
#include <cmath>

namespace calicodrift::forward {
namespace {

std::int64_t sumOf(const std::vector<routes::WeightedService>& services) {
  std::int64_t sum = 0;
  for (const routes::WeightedService& service : services) {
    sum += service.weight;
  }
  return sum;
}

}  // namespace

void WeightedChoice::applyWeights(Turns& turns,
                                  const std::vector<routes::WeightedService>& services) {
  // A balance is at most the sum of the weights that it arose from, so that in proportion it is
  // settled as soon under the new ones.
  const auto before = static_cast<double>(std::max<std::int64_t>(sumOf(turns.services), 1));
  const double scale = static_cast<double>(sumOf(services)) / before;
  std::map<std::string, std::int64_t> balances;
  for (const routes::WeightedService& service : services) {
    const auto known = turns.balances.find(service.service);
    const bool keeps = service.weight > 0 && known != turns.balances.end();
    balances[service.service] =
        keeps ? std::llround(static_cast<double>(known->second) * scale) : 0;
  }
  turns.services = services;
  turns.balances = std::move(balances);
}

const std::string& WeightedChoice::choose(const routes::Route& route) {
  if (route.services.size() == 1) {
    return route.services.front().service;
  }
  Turns& turns = turns_[route.name];
  if (turns.services != route.services) {
    applyWeights(turns, route.services);
  }
  const routes::WeightedService* best = &route.services.front();
  for (const routes::WeightedService& service : route.services) {
    turns.balances[service.service] += service.weight;
    const bool further = turns.balances[service.service] > turns.balances[best->service];
    if (service.weight > 0 && (further || best->weight == 0)) {
      best = &service;
    }
  }
  turns.balances[best->service] -= sumOf(route.services);
  return best->service;
}

}  // namespace calicodrift::forward
