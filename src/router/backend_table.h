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
#include "platform/machine.h"
#include "routing/policy.h"

namespace calicodrift::router {

/// What a probe of a back end found.
struct ProbeResult {
  Incarnation incarnation;
  WeightsVersion weights;
  std::size_t reportedRequests = 0;
  /// False while the back end refuses new work for a time, as an engine that loads weights.
  bool accepting = true;
  /// Prompt tokens that it has yet to prefill.
  std::size_t reportedPrefillTokens = 0;
};

/// Why a back end stopped being usable.
enum class BackendLoss { kRemoved, kLeaving, kUnreachable, kRestarted, kReloaded };
std::string_view toString(BackendLoss loss);

/// The back ends that this node knows, from the lagging machine list, its own probes and what its
/// requests met. A back end is usable while every source agrees; whichever source first says that
/// it is leaving or gone takes it out of the candidates.
class BackendTable {
 public:
  using LossListener = std::function<void(const BackendId&, BackendLoss)>;

  /// @param listener called once for each loss, before any later choice of a candidate.
  explicit BackendTable(LossListener listener) : listener_(std::move(listener)) {}

  void applyMachineList(const std::vector<platform::Machine>& machines);
  /// Invariant: beliefs never outlive an incarnation, as a change of it is reported as a loss.
  void applyProbe(const BackendId& id, const ProbeResult& result);
  void applyProbeFailure(const BackendId& id);
  /// A request found that nothing listens there; the next good probe brings it back.
  void markUnreachable(const BackendId& id) { applyProbeFailure(id); }

  /// A request was refused as the back end is another incarnation, has other weights or loads them:
  /// what is known of it is outdated, so it gets nothing until the next good probe.
  void markOutdated(const BackendId& id);

  /// Every machine to probe, usable or not.
  std::vector<platform::Machine> machines() const;
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

 private:
  /// Which requests a back end can serve: kind, model or service, weights (0 for a service).
  using SetKey = std::tuple<platform::MachineKind, std::string, WeightsVersion>;
  struct Backend {
    platform::Machine machine;
    Incarnation incarnation;
    WeightsVersion weights;
    bool alive = false;
    bool accepting = true;
    std::size_t outstanding = 0;
    std::size_t outstandingTokens = 0;
    std::size_t reportedRequests = 0;
    std::size_t reportedPrefillTokens = 0;
    std::size_t sentPrefillTokens = 0;
    /// The candidate set that it is in.
    std::optional<SetKey> listedIn;
  };

  static bool usable(const Backend& backend);
  static routing::Candidate toCandidate(const Backend& backend);
  static SetKey keyOf(const Backend& backend);
  /// Brings the candidate sets in line with the back end. Called after each change of one.
  void refresh(Backend& backend);
  void unlist(Backend& backend);
  const routing::CandidateSet& findSet(const SetKey& key) const;

  LossListener listener_;
  std::map<BackendId, Backend> backends_;
  /// Invariant: holds exactly the usable back ends, with their present state.
  std::map<SetKey, routing::CandidateSet> sets_;
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
