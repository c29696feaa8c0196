#include "config/metrics.h"

namespace calicodrift::config {
namespace {

prometheus::Family<prometheus::Counter>& counters(prometheus::Registry& registry,
                                                  const std::string& name,
                                                  const std::string& help) {
  return prometheus::BuildCounter()
      .Name("calicodrift_config_" + name)
      .Help(help)
      .Register(registry);
}

prometheus::Gauge& gauge(prometheus::Registry& registry, const std::string& name,
                         const std::string& help) {
  return prometheus::BuildGauge()
      .Name("calicodrift_config_" + name)
      .Help(help)
      .Register(registry)
      .Add({});
}

}  // namespace

std::string_view toString(BundleSource source) {
  return source == BundleSource::kStore ? "store" : "peer";
}

ConfigMetrics::ConfigMetrics(prometheus::Registry& registry)
    : adopted_(counters(registry, "adopted_total", "Bundles adopted, by source")),
      rejected_(counters(registry, "rejected_total", "Bundles refused, by source and error kind")),
      storeReads_(counters(registry, "store_reads_total", "Reads and watches of the store")),
      storeBehind_(counters(registry, "store_behind_total",
                            "Reads in which the store held an older version than this node")
                       .Add({})),
      contradictions_(counters(registry, "contradictions_total",
                               "Times another text was met under the version in force")
                          .Add({})),
      sentMessages_(counters(registry, "sent_messages_total", "Messages to peers, by kind")),
      sentBytes_(counters(registry, "sent_bytes_total", "Payload bytes to peers, by kind")),
      transfers_(counters(registry, "transfers_total", "Bundles fetched from peers, by form")),
      transferBytes_(counters(registry, "transfer_bytes_total", "Bytes of those, by form")),
      servingBound_(counters(registry, "serving_bound_total",
                             "Requests of peers left unanswered because of the serving bound")
                        .Add({})),
      confirmed_(gauge(registry, "vouched", "1 while the version in force is confirmed")),
      confirmationAge_(gauge(registry, "confirmation_age_seconds",
                             "Age of the newest confirmation by the store; -1 for none")),
      watcher_(gauge(registry, "watcher", "1 while this node reads the store")) {}

void ConfigMetrics::countAdopted(BundleSource source) {
  adopted_.Add({{"source", std::string(toString(source))}}).Increment();
}

void ConfigMetrics::countRejected(BundleSource source, ErrorKind kind) {
  rejected_
      .Add({{"source", std::string(toString(source))}, {"kind", std::string(errorRow(kind).name)}})
      .Increment();
}

void ConfigMetrics::countStoreRead(std::string_view outcome) {
  storeReads_.Add({{"outcome", std::string(outcome)}}).Increment();
}

void ConfigMetrics::countSent(std::string_view message, std::size_t bytes) {
  const prometheus::Labels labels{{"message", std::string(message)}};
  sentMessages_.Add(labels).Increment();
  sentBytes_.Add(labels).Increment(static_cast<double>(bytes));
}

void ConfigMetrics::countTransfer(std::string_view form, std::size_t bytes) {
  const prometheus::Labels labels{{"form", std::string(form)}};
  transfers_.Add(labels).Increment();
  transferBytes_.Add(labels).Increment(static_cast<double>(bytes));
}

}  // namespace calicodrift::config
