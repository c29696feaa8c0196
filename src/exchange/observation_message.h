#pragma once

#include <algorithm>
#include <array>
#include <cstdint>

#include "peer/compact_number.h"
#include "service_rollout/observations.h"

namespace calicodrift::exchange {

/// Compact wire format of the observations of running orders: one byte if no order runs, and for
/// each order only the routes, versions and histogram buckets with non-zero counts.
class ObservationMessage {
 public:
  ObservationMessage() = default;
  explicit ObservationMessage(service_rollout::ObservationTable table) : table_(std::move(table)) {}

  const service_rollout::ObservationTable& table() const { return table_; }

  template <typename Archive>
  void save(Archive& archive) const {
    saveNumber(archive, table_.size());
    for (const auto& [order, seen] : table_) {
      archive(order.value(), static_cast<std::uint8_t>(seen.rejected));
      saveNumber(archive, static_cast<std::uint64_t>(std::max(seen.age.count(), kMinAge)));
      saveNumber(archive, seen.reached);
      saveNumber(archive, seen.exposed);
      const auto routes = std::count_if(seen.routes.begin(), seen.routes.end(), hasCounts);
      saveNumber(archive, static_cast<std::uint64_t>(routes));
      for (const auto& route : seen.routes) {
        if (hasCounts(route)) {
          archive(route.first.value());
          for (const service_rollout::RouteSample& sample : route.second) {
            saveSample(archive, sample);
          }
        }
      }
    }
  }

  template <typename Archive>
  void load(Archive& archive) {
    table_.clear();
    for (std::uint64_t orders = loadNumber(archive); orders > 0; --orders) {
      const service_rollout::OrderKey order(loadKey(archive));
      service_rollout::OrderObservations& seen = table_[order];
      seen.order = order;
      std::uint8_t rejected = 0;
      archive(rejected);
      seen.rejected = rejected != 0;
      seen.age = Milliseconds(loadNumber(archive));
      seen.reached = loadNumber(archive);
      seen.exposed = loadNumber(archive);
      for (std::uint64_t routes = loadNumber(archive); routes > 0; --routes) {
        const service_rollout::RouteKey route(loadKey(archive));
        for (service_rollout::RouteSample& sample : seen.routes[route]) {
          loadSample(archive, sample);
        }
      }
    }
  }

 private:
  using Route = decltype(service_rollout::OrderObservations::routes)::value_type;
  static constexpr Milliseconds::rep kMinAge = 0;

  static bool hasCounts(const Route& route) {
    return std::any_of(route.second.begin(), route.second.end(),
                       [](const auto& sample) { return sample != service_rollout::RouteSample{}; });
  }

  template <typename Archive>
  static void saveNumber(Archive& archive, std::uint64_t number) {
    archive(peer::compact(number));
  }
  template <typename Archive>
  static std::uint64_t loadNumber(Archive& archive) {
    std::uint64_t number = 0;
    archive(peer::compact(number));
    return number;
  }
  template <typename Archive>
  static std::uint64_t loadKey(Archive& archive) {
    std::uint64_t key = 0;
    archive(key);
    return key;
  }

  template <typename Archive>
  static void saveSample(Archive& archive, const service_rollout::RouteSample& sample) {
    saveNumber(archive, sample.answered);
    if (sample.answered > 0) {
      saveNumber(archive, sample.failed);
      saveHistogram(archive, sample.start);
      saveHistogram(archive, sample.pace);
    }
  }
  template <typename Archive>
  static void loadSample(Archive& archive, service_rollout::RouteSample& sample) {
    sample = {};
    sample.answered = static_cast<std::uint32_t>(loadNumber(archive));
    if (sample.answered > 0) {
      sample.failed = static_cast<std::uint32_t>(loadNumber(archive));
      loadHistogram(archive, sample.start);
      loadHistogram(archive, sample.pace);
    }
  }

  /// Writes a bit mask of the non-empty buckets, followed by their counts.
  template <typename Archive>
  static void saveHistogram(Archive& archive, const service_rollout::RatioHistogram& histogram) {
    static_assert(service_rollout::kRatioBuckets <= 16);
    std::uint16_t present = 0;
    for (std::size_t bucket = 0; bucket < histogram.size(); ++bucket) {
      if (histogram[bucket] > 0) {
        present = static_cast<std::uint16_t>(present | (1U << bucket));
      }
    }
    archive(present);
    for (const std::uint32_t count : histogram) {
      if (count > 0) {
        saveNumber(archive, count);
      }
    }
  }
  template <typename Archive>
  static void loadHistogram(Archive& archive, service_rollout::RatioHistogram& histogram) {
    std::uint16_t present = 0;
    archive(present);
    for (std::size_t bucket = 0; bucket < histogram.size(); ++bucket) {
      if ((present & (1U << bucket)) != 0) {
        histogram[bucket] = static_cast<std::uint32_t>(loadNumber(archive));
      }
    }
  }

  service_rollout::ObservationTable table_;
};

}  // namespace calicodrift::exchange
