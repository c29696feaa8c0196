#include "router/metrics.h"

#include "metrics/process.h"

namespace calicodrift::router {
namespace {

prometheus::Family<prometheus::Counter>& counterFamily(prometheus::Registry& registry,
                                                       const std::string& name,
                                                       const std::string& help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Gauge& gauge(prometheus::Registry& registry, const std::string& name,
                         const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

}  // namespace

RouterMetrics::RouterMetrics(prometheus::Registry& registry)
    : errors_(counterFamily(registry, "calicodrift_errors_total", "Error answers by kind")),
      requests_(counterFamily(registry, "calicodrift_requests_total", "Requests accepted")),
      firstToken_(prometheus::BuildHistogram()
                      .Name("calicodrift_first_token_seconds")
                      .Help("From the last request byte to the first token sent to the caller")
                      .Register(registry)),
      tokens_(counterFamily(registry, "calicodrift_tokens_total",
                            "Tokens of completed requests: prompt, cached (of prompt), output")),
      dispatches_(counterFamily(registry, "calicodrift_dispatches_total", "Dispatches by policy")),
      retries_(
          counterFamily(registry, "calicodrift_retries_total", "Repeated dispatches by cause")),
      resumes_(counterFamily(registry, "calicodrift_resumes_total",
                             "Streams continued after tokens had been delivered")
                   .Add({})),
      bundleVersion_(prometheus::BuildGauge()
                         .Name("calicodrift_bundle_version")
                         .Help("Version of the bundle in force; 0 for none")
                         .Register(registry)
                         .Add({})),
      backendChanges_(counterFamily(registry, "calicodrift_backend_changes_total",
                                    "Back ends that left, failed, restarted, were ejected")),
      residentMemory_(
          gauge(registry, "process_resident_memory_bytes", "Resident memory of this process")),
      activeRequests_(gauge(registry, "calicodrift_active_requests",
                            "Requests being handled, this one included")),
      outstanding_(gauge(registry, "calicodrift_outstanding_dispatches",
                         "Dispatches to back ends that have not ended")) {}

void RouterMetrics::updateProcess(std::size_t activeRequests) {
  residentMemory_.Set(metrics::residentMemoryBytes());
  activeRequests_.Set(static_cast<double>(activeRequests));
}

void RouterMetrics::countError(ErrorKind kind) {
  errors_.Add({{"kind", std::string(errorRow(kind).name)}}).Increment();
}

void RouterMetrics::countRequest(const std::string& tenant, Priority priority) {
  requests_.Add({{"tenant", tenant}, {"priority", std::string(toString(priority))}}).Increment();
}

void RouterMetrics::observeFirstToken(const std::string& tenant, Priority priority,
                                      double seconds) {
  firstToken_
      .Add({{"tenant", tenant}, {"priority", std::string(toString(priority))}},
           metrics::latencyBuckets())
      .Observe(seconds);
}

void RouterMetrics::countTokens(const std::string& policy, std::size_t promptTokens,
                                std::size_t cachedTokens, std::size_t outputTokens) {
  tokens_.Add({{"policy", policy}, {"kind", "prompt"}})
      .Increment(static_cast<double>(promptTokens));
  tokens_.Add({{"policy", policy}, {"kind", "cached"}})
      .Increment(static_cast<double>(cachedTokens));
  tokens_.Add({{"policy", policy}, {"kind", "output"}})
      .Increment(static_cast<double>(outputTokens));
}

void RouterMetrics::countDispatch(const std::string& policy) {
  dispatches_.Add({{"policy", policy}}).Increment();
}

void RouterMetrics::countRetry(std::string_view reason) {
  retries_.Add({{"cause", std::string(reason)}}).Increment();
}

void RouterMetrics::countBundleAdopted(double version) {
  bundleVersion_.Set(version);
}

void RouterMetrics::setOutstanding(std::size_t dispatches) {
  outstanding_.Set(static_cast<double>(dispatches));
}

void RouterMetrics::countBackendChange(std::string_view change) {
  backendChanges_.Add({{"change", std::string(change)}}).Increment();
}

}  // namespace calicodrift::router
