#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "common/ids.h"
#include "fleet/backend_health.h"
#include "object_api/machine.h"
#include "routing/policy.h"

namespace calicodrift::router {

/// What a probe of a back end found.
struct ProbeResult {
  /// The name that the answering process gives itself. An address may have passed to another one
  /// since the list was written.
  BackendId id;
  Incarnation incarnation;
  WeightsVersion weights;
  std::size_t reportedRequests = 0;
  /// It says itself that it is leaving.
  bool draining = false;
  /// False while the back end refuses new work for a time, as an engine that loads weights.
  bool accepting = true;
  /// Prompt tokens that it has yet to prefill.
  std::size_t reportedPrefillTokens = 0;
};

/// Why a back end stopped being usable.
enum class BackendLoss { kRemoved, kLeaving, kUnreachable, kRestarted, kReloaded, kEjected };
std::string_view toString(BackendLoss loss);

/// The back ends that this node knows, from the lagging machine list, its own probes and what its
/// requests met. A back end is usable while every source agrees; whichever source first says that
/// it is leaving or gone takes it out of the candidates.
class BackendTable {
 public:
  using LossListener = std::function<void(const BackendId&, BackendLoss)>;

  /// @param listener called once for each loss, before any later choice of a candidate.
  explicit BackendTable(LossListener listener) : listener_(std::move(listener)) {}

  void applyMachineList(const std::vector<object_api::Machine>& machines);
  /// Invariant: beliefs never outlive an incarnation, as a change of it is reported as a loss.
  void applyProbe(const BackendId& id, const ProbeResult& result,
                  MonotonicTime now = monotonicNow());
  void applyProbeFailure(const BackendId& id, MonotonicTime now = monotonicNow());
  /// A request found that nothing listens there; a later good probe brings it back.
  void markUnreachable(const BackendId& id, MonotonicTime now = monotonicNow()) {
    applyProbeFailure(id, now);
  }
  /// An answer to a request told who the engine is now, sooner than the next probe would.
  void applyAnswer(const BackendId& id, Incarnation incarnation, WeightsVersion weights);
  /// A request to it was answered in whole.
  void recordSuccess(const BackendId& id);
  /// A request broke there after it was connected.
  void recordFailure(const BackendId& id, MonotonicTime now = monotonicNow());

  /// A request was refused as the back end is another incarnation, has other weights or loads them:
  /// what is known of it is outdated, so it gets nothing until the next good probe.
  void markOutdated(const BackendId& id);

  /// Every machine to probe, usable or not.
  std::vector<object_api::Machine> machines() const;
  /// Usable engines of the model whose weights are at `weights`. Kept up to date by small changes,
  /// so that no request pays for their number. The reference holds, and the positions in it, until
  /// the next change of the table: not over a `co_await`.
  const routing::CandidateSet& engines(const ModelId& model, WeightsVersion weights) const;
  /// Usable engines of the model by the version of their weights.
  std::map<WeightsVersion, std::size_t> engineVersions(const ModelId& model) const;
  /// Version that a back end was last found at; 0 where it is not alive.
  WeightsVersion weightsOf(const BackendId& id) const;
  /// Usable back ends of an ordinary service.
  const routing::CandidateSet& services(std::string_view service) const;
  std::optional<Endpoint> endpointOf(const BackendId& id) const;

  void addOutstanding(const BackendId& id, std::size_t tokens);
  /// Counts prompt tokens that the back end will prefill, until its next report covers them.
  void addPrefill(const BackendId& id, std::size_t tokens);
  void removeOutstanding(const BackendId& id, std::size_t tokens);
  /// Dispatches to all listed back ends whose end was not seen yet.
  std::size_t outstanding() const;

 private:
  /// Which requests a back end can serve.
  struct SetKey {
    object_api::MachineKind kind = object_api::MachineKind::kEngine;
    /// Model or name of the service.
    std::string serves;
    /// 0 for a service.
    WeightsVersion weights;
    auto operator<=>(const SetKey&) const = default;
  };
  /// Ejected back ends are candidates only where every one is ejected. One whose ejection is over
  /// comes back with its next probe.
  struct CandidateSets {
    routing::CandidateSet healthy;
    routing::CandidateSet ejected;
  };
  /// The set that a back end stands in.
  struct Listing {
    SetKey key;
    bool ejected = false;
    bool operator==(const Listing&) const = default;
  };
  struct Backend {
    object_api::Machine machine;
    Incarnation incarnation;
    WeightsVersion weights;
    bool accepting = true;
    fleet::BackendHealth health;
    bool draining = false;
    std::size_t outstanding = 0;
    std::size_t outstandingTokens = 0;
    std::size_t reportedRequests = 0;
    std::size_t reportedPrefillTokens = 0;
    std::size_t sentPrefillTokens = 0;
    std::optional<Listing> listedIn;
  };

  static bool usable(const Backend& backend);
  void setIdentity(Backend& backend, Incarnation incarnation, WeightsVersion weights);
  static routing::Candidate toCandidate(const Backend& backend);
  static SetKey keyOf(const Backend& backend);
  /// Brings the candidate sets in line with the back end. Called after each change of one.
  void refresh(Backend& backend, MonotonicTime now);
  void unlist(Backend& backend);
  const routing::CandidateSet& findSet(const SetKey& key) const;

  LossListener listener_;
  std::map<BackendId, Backend> backends_;
  /// Invariant: holds exactly the usable back ends, with their present state.
  std::map<SetKey, CandidateSets> sets_;
};

/// Counts a dispatch as outstanding for as long as it lives.
class OutstandingGuard {
 public:
  OutstandingGuard(BackendTable& table, BackendId id, std::size_t tokens);
  ~OutstandingGuard();
  OutstandingGuard(const OutstandingGuard&) = delete;
  OutstandingGuard& operator=(const OutstandingGuard&) = delete;

 private:
  BackendTable& table_;
  BackendId id_;
  std::size_t tokens_;
};

}  // namespace calicodrift::router
