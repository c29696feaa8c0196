#include "fleet/server_counts.h"

#include <algorithm>

namespace calicodrift::fleet {

void ServerCounts::add(const Server& server) {
  VersionCount& version = versions_[server.service][server.version];
  ++version.listed;
  if (server.started) {
    version.earliestStart =
        std::min(version.earliestStart.value_or(*server.started), *server.started);
  }
  withModels_ += server.models.empty() ? 0 : 1;
  if (server.draining) {
    return;
  }
  ++version.serving;
  for (const LoadedModel& loaded : server.models) {
    ++weights_[loaded.model][loaded.weights];
  }
}

void ServerCounts::remove(const Server& server) {
  const auto service = versions_.find(server.service);
  const auto version = service->second.find(server.version);
  --version->second.listed;
  version->second.serving -= server.draining ? 0 : 1;
  if (version->second.listed == 0) {
    service->second.erase(version);
  }
  if (service->second.empty()) {
    versions_.erase(service);
  }
  withModels_ -= server.models.empty() ? 0 : 1;
  if (server.draining) {
    return;
  }
  for (const LoadedModel& loaded : server.models) {
    const auto model = weights_.find(loaded.model);
    const auto weights = model->second.find(loaded.weights);
    if (--weights->second == 0) {
      model->second.erase(weights);
    }
    if (model->second.empty()) {
      weights_.erase(model);
    }
  }
}

std::size_t ServerCounts::listed(std::string_view service) const {
  const auto found = versions_.find(service);
  std::size_t count = 0;
  if (found != versions_.end()) {
    for (const auto& [version, servers] : found->second) {
      count += servers.listed;
    }
  }
  return count;
}

bool ServerCounts::anyBelow(const ModelId& model, WeightsVersion least) const {
  const auto found = weights_.find(model);
  return found != weights_.end() && found->second.begin()->first < least;
}

}  // namespace calicodrift::fleet
