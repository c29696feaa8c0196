#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "common/clock.h"
#include "common/error.h"
#include "common/ids.h"
#include "common/priority.h"
#include "limits/load_window.h"
#include "limits/rate_estimate.h"

namespace calicodrift::limits {

/// What admission needs to know of one generation.
struct Work {
  TenantId tenant;
  /// The tenant's share under overload, relative to the others.
  double weight = 1;
  Priority priority = Priority::kNormal;
  double promptTokens = 0;
  /// Tokens to generate at most.
  double outputTokens = 0;
  /// Usable engines of the model.
  std::size_t engines = 0;
  MonotonicTime deadline = MonotonicTime::max();
  /// Continues a stream that was admitted before; it is not refused for load.
  bool resumed = false;

  /// What it costs an engine; a short generation still takes a place in the batch.
  double tokens() const { return kPlaceTokens + promptTokens + outputTokens; }

  static constexpr double kPlaceTokens = 256;
};

/// Tells admitted works of one model apart.
using WorkId = StrongType<struct WorkIdTag, std::uint64_t>;

/// When a first token counts as late; the window shrinks when many are.
struct LatencyTarget {
  Milliseconds firstToken{880};
  /// Added to firstToken for each token of the prompt.
  Microseconds perPromptToken{250};
};

/// How a generation went.
struct Generation {
  /// 0 where it did not complete.
  std::size_t tokens = 0;
  /// From the first token to the last.
  Milliseconds duration{0};
};

/// Admission of one model's generations on one router: admitted, or refused at once.
///
/// While less than kSharedPart of the window is outstanding everybody is admitted, higher
/// priorities up to a higher mark. From there until kReservedPart is reached, only
/// - tenants whose admitted work is below their weighted fair share of the model's throughput, or
/// - a priority that is owed a turn: of a tenant's admitted requests at least one in kLowTurn is of
///   low and one in kNormalTurn of normal priority where it asks for them, so none starves.
class ModelAdmission {
 public:
  /// Counts the work as outstanding, or fails with kOverloaded or kDeadlineUnreachable and the time
  /// after which capacity is expected.
  Result<void> admit(const Work& work, MonotonicTime now);
  /// The work leaves for an engine, for the first time or again.
  void onDispatched(const Work& work, WorkId id, const LatencyTarget& target, MonotonicTime now);
  void onFirstToken(const Work& work, WorkId id, MonotonicTime dispatched, MonotonicTime now);
  /// The deadline came first; to be called before onFinished().
  void onDeadlineExceeded(const Work& work, MonotonicTime dispatched, MonotonicTime now);
  /// The work ended, in whatever way.
  void onFinished(const Work& work, WorkId id, const Generation& generation, MonotonicTime now);
  double outstanding() const { return outstanding_; }
  /// How often the window has shrunk.
  std::size_t windowCuts() const { return windowCuts_; }
  /// Tokens that may be outstanding at the engines of the last request.
  double windowTokens() const { return window_.tokens(engines_); }

  static constexpr double kSharedPart = 0.75;
  static constexpr double kReservedPart = 1.25;
  static constexpr std::size_t kNormalTurn = 5;
  static constexpr std::size_t kLowTurn = 20;

 private:
  static constexpr std::size_t kPriorities = 3;
  static constexpr Milliseconds kRateWindow{5000};

  struct TenantLoad {
    double weight = 1;
    RateEstimate asked{kRateWindow};
    RateEstimate admitted{kRateWindow};
    /// The tenant's admissions since the last one of each priority.
    std::array<std::size_t, kPriorities> sinceTurn{};
  };

  /// A dispatch whose first token has not come.
  struct Pending {
    WorkId id;
    MonotonicTime dispatched;
    std::size_t engines = 0;
  };

  void addSample(bool late, MonotonicTime dispatched, std::size_t engines, MonotonicTime now);
  /// First tokens that are overdue count as late at once, not only when they come.
  void countOverdue(MonotonicTime now);
  /// False where the work's first token was not awaited any more.
  bool removePending(WorkId id);
  bool fits(const Work& work, const TenantLoad& tenant, MonotonicTime now);
  bool withinFairShare(const Work& work, const TenantLoad& tenant, MonotonicTime now) const;
  static bool owedTurn(const Work& work, const TenantLoad& tenant);
  bool canMeetDeadline(const Work& work, MonotonicTime now) const;
  Error refusal(ErrorKind kind, const Work& work, MonotonicTime now);
  Milliseconds timeToDrain(const Work& work, MonotonicTime now) const;
  void countAdmitted(const Work& work, TenantLoad& tenant, MonotonicTime now);

  LoadWindow window_;
  std::size_t windowCuts_ = 0;
  std::size_t engines_ = 0;
  /// By the moment from which the first token is late.
  std::multimap<MonotonicTime, Pending> pending_;
  double outstanding_ = 0;
  std::map<TenantId, TenantLoad> tenants_;
  /// Tokens a second.
  RateEstimate finished_{kRateWindow};
  RateEstimate refused_{kRateWindow};
  /// Milliseconds to the first token, by priority, as engines serve by priority too.
  std::array<SampleAverage, kPriorities> firstTokenMs_{SampleAverage(0.1), SampleAverage(0.1),
                                                       SampleAverage(0.1)};
  SampleAverage msPerToken_{0.1};
  /// Generated tokens by those that were allowed.
  SampleAverage outputPart_{0.1};
};

}  // namespace calicodrift::limits
