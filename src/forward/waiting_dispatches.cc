#include "forward/waiting_dispatches.h"

#include <utility>
#include <vector>

namespace calicodrift::forward {

WaitingDispatches::Guard::Guard(WaitingDispatches& list, const ModelId& model,
                                WeightsVersion weights, Recall recall)
    : list_(list.waiting_), number_(list.next_++) {
  list.waiting_->emplace(number_, Waiting{model, weights, std::move(recall)});
}

void WaitingDispatches::Guard::end() {
  if (const std::shared_ptr<List> list = list_.lock()) {
    list->erase(number_);
  }
}

std::size_t WaitingDispatches::recall(const ModelId& model, WeightsVersion least) {
  std::vector<std::uint64_t> outdated;
  for (const auto& [number, waiting] : *waiting_) {
    if (waiting.model == model && waiting.weights < least && waiting.recall) {
      outdated.push_back(number);
    }
  }
  std::size_t recalled = 0;
  for (const std::uint64_t number : outdated) {
    // A recall may end its own dispatch and others immediately.
    const auto found = waiting_->find(number);
    if (found != waiting_->end()) {
      const Recall recall = std::exchange(found->second.recall, nullptr);
      recall();
      ++recalled;
    }
  }
  return recalled;
}

}  // namespace calicodrift::forward
