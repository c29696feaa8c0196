#include "stream_versions/metrics.h"

namespace calicodrift::stream_versions {
namespace {

prometheus::Family<prometheus::Counter>& counters(prometheus::Registry& registry,
                                                  const std::string& name,
                                                  const std::string& help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Gauge& gauge(prometheus::Registry& registry, const std::string& name,
                         const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

}  // namespace

StreamVersionMetrics::StreamVersionMetrics(prometheus::Registry& registry)
    : recorded_(counters(registry, "calicodrift_stream_versions_recorded_total",
                         "Streams of this node whose version was recorded")
                    .Add({})),
      kept_(counters(registry, "calicodrift_stream_versions_kept_total",
                     "Records that this node has taken in for others")
                .Add({})),
      shed_(counters(registry, "calicodrift_stream_versions_shed_total",
                     "Records that were dropped before their time, as the table was full")
                .Add({})),
      archiveWrites_(counters(registry, "calicodrift_stream_versions_archive_writes_total",
                              "Writes of records to the store, by result")
                         .Add({{"result", "written"}})),
      failedArchiveWrites_(counters(registry, "calicodrift_stream_versions_archive_writes_total",
                                    "Writes of records to the store, by result")
                               .Add({{"result", "failed"}})),
      proofs_(counters(registry, "calicodrift_stream_versions_proofs_total",
                       "Reads of the list of servers for returns without a record, by result")
                  .Add({{"result", "read"}})),
      failedProofs_(counters(registry, "calicodrift_stream_versions_proofs_total",
                             "Reads of the list of servers for returns without a record, by result")
                        .Add({{"result", "failed"}})),
      missedChanges_(counters(registry, "calicodrift_stream_versions_missed_changes_total",
                              "Times at which servers may have come and gone unseen")
                         .Add({})),
      unreadable_(counters(registry, "calicodrift_stream_versions_unreadable_total",
                           "Messages that could not be read")
                      .Add({})),
      resolved_(counters(registry, "calicodrift_stream_versions_resolved_total",
                         "Returns of callers to a stream, by how its version was known")),
      records_(
          gauge(registry, "calicodrift_stream_versions_records", "Records that this node keeps")),
      keepers_(gauge(registry, "calicodrift_stream_versions_keepers",
                     "Nodes that keep records, as far as this node knows")) {}

void StreamVersionMetrics::countResolved(std::string_view source) {
  resolved_.Add({{"source", std::string(source)}}).Increment();
}

}  // namespace calicodrift::stream_versions
