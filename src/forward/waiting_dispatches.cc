#include "forward/waiting_dispatches.h"

#include <utility>
#include <vector>

namespace calicodrift::forward {

WaitingDispatches::Guard::Guard(WaitingDispatches& list, const ModelId& model,
                                WeightsVersion weights, Recall recall)
    : list_(list), number_(list.next_++) {
  list_.waiting_.emplace(number_, Waiting{model, weights, std::move(recall)});
}

std::size_t WaitingDispatches::recall(const ModelId& model, WeightsVersion least) {
  // A recall may end its dispatch at once, which changes the list.
  std::vector<Recall> recalls;
  for (auto& [number, waiting] : waiting_) {
    if (waiting.model == model && waiting.weights < least && waiting.recall) {
      recalls.push_back(std::exchange(waiting.recall, nullptr));
    }
  }
  for (const Recall& recall : recalls) {
    recall();
  }
  return recalls.size();
}

}  // namespace calicodrift::forward
