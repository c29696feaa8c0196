#include "silences_check.h"

#include <algorithm>
#include <sstream>

namespace calicodrift::testing {
namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
/// A connection that ends so soon after a request that no server got may have ended before it.
constexpr Milliseconds kUnread{200};
/// An answer may end so long before the time that its caller, or the route, leaves it.
constexpr Milliseconds kEarly{200};
/// After its server has ended an answer, what it takes to be whole at its caller, a silence of the
/// server included.
constexpr Milliseconds kDelivery{2200};
/// From sending a configuration until no request goes by the one before.
constexpr Milliseconds kConfigApplies{3000};
/// An answer that ended so shortly before its server's process may count as broken off.
constexpr Milliseconds kUnprovable{2500};
/// After a server's process has ended, until each node that takes part knows of the next one's
/// start: before, nothing tells it which of the two answers.
constexpr Milliseconds kNewStart{3000};
/// What a head takes to its node: a second run that was sent sooner didn't know of it.
constexpr Milliseconds kHeadOnItsWay{100};

bool promisesNoRun(unsigned status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

std::int64_t milliseconds(MonotonicTime from, MonotonicTime to) {
  return std::chrono::floor<Milliseconds>(to - from).count();
}

}  // namespace

SilencesRun& SilencesCheck::begin(const std::string& request, const std::string& server,
                                  MonotonicTime sentAt) {
  Runs& runs = runs_[request];
  runs.push_back(std::make_unique<SilencesRun>());
  runs.back()->server = server;
  runs.back()->sentAt = sentAt;
  runs.back()->lastWriteAt = monotonicNow();
  return *runs.back();
}

void SilencesCheck::serverEnded(const std::string& server, MonotonicTime at,
                                const std::vector<std::string>& unread) {
  serverEnds_.emplace(server, at);
  unreadAtEnds_.insert(unread.begin(), unread.end());
  for (const auto& [request, runs] : runs_) {
    for (const auto& run : runs) {
      if (run->server == server && (!run->endedAt || at - *run->endedAt < kUnprovable)) {
        run->broken = true;
      }
    }
  }
}

const SilencesCheck::Runs& SilencesCheck::runs(const std::string& request) const {
  static const Runs kNone;
  const auto found = runs_.find(request);
  return found == runs_.end() ? kNone : found->second;
}

std::size_t SilencesCheck::runsOf(const std::string& request) const {
  return runs(request).size();
}

std::optional<std::string> SilencesCheck::judge(const SilencesCall& call) {
  if (call.unsent || call.left) {
    ++ends_[call.unsent ? "not sent" : "caller left"];
    return std::nullopt;
  }
  if (call.complete && call.status == kOk) {
    ++ends_["whole"];
    if (call.body != call.expected) {
      return describe(call) + " got another body: " + call.body;
    }
    return call.sealed ? std::nullopt
                       : std::optional(describe(call) + " got a success without a seal");
  }
  const bool refused =
      promisesNoRun(call.status) || (call.status == kNotFound && call.routeMayBeGone);
  if (call.complete && refused) {
    ++ends_["refused"];
    return std::nullopt;
  }
  const std::optional<std::string> reason = excuse(call);
  ++ends_[reason.value_or("VIOLATION")];
  return reason ? std::nullopt
                : std::optional(describe(call) + " got neither a whole answer nor a refusal");
}

std::optional<std::string> SilencesCheck::excuse(const SilencesCall& call) const {
  const Runs& all = runs(call.id);
  const bool broken =
      std::any_of(all.begin(), all.end(), [](const auto& run) { return run->broken; });
  if (broken || unreadAtEnds_.contains(call.id)) {
    return "server broke off";
  }
  if (std::any_of(all.begin(), all.end(), [this](const auto& run) { return newlyStarted(*run); })) {
    return "server newly started";
  }
  if (killedMeanwhile(call)) {
    return "node killed";
  }
  if (unread(call)) {
    return "not read";
  }
  if (timeReached(call)) {
    return "time reached";
  }
  return std::nullopt;
}

bool SilencesCheck::newlyStarted(const SilencesRun& run) const {
  const auto [first, last] = serverEnds_.equal_range(run.server);
  return std::any_of(first, last, [&run](const auto& end) {
    return end.second <= run.sentAt && run.sentAt - end.second < kNewStart;
  });
}

bool SilencesCheck::killedMeanwhile(const SilencesCall& call) const {
  const auto [first, last] = kills_.equal_range(call.node);
  return std::any_of(first, last, [&call](const auto& kill) {
    return kill.second >= call.sentAt && kill.second <= call.endedAt;
  });
}

bool SilencesCheck::unread(const SilencesCall& call) const {
  return call.status == 0 && runs(call.id).empty() && call.endedAt - call.sentAt < kUnread;
}

/// By the caller's deadline or the shortest timeout that may be in force.
MonotonicTime SilencesCheck::latestEnd(const SilencesCall& call) const {
  Milliseconds time = call.deadline;
  for (auto set = timeouts_.begin(); set != timeouts_.end(); ++set) {
    const auto next = std::next(set);
    const bool replaced = next != timeouts_.end() && next->first + kConfigApplies < call.sentAt;
    if (!replaced && set->first <= call.endedAt) {
      time = std::min(time, set->second);
    }
  }
  return call.sentAt + time;
}

bool SilencesCheck::timeReached(const SilencesCall& call) const {
  const MonotonicTime latest = latestEnd(call);
  const Runs& all = runs(call.id);
  const bool deliverable = std::any_of(all.begin(), all.end(), [latest](const auto& run) {
    return run->endedAt && *run->endedAt + kDelivery < latest;
  });
  return call.endedAt + kEarly >= latest && !deliverable;
}

bool SilencesCheck::needless(const SilencesRun& first, const SilencesRun& next) const {
  const bool begunBefore = first.headAt && *first.headAt + kHeadOnItsWay < next.sentAt;
  const bool silentForLong = first.longestSilence >= kLongestSilence ||
                             (!first.endedAt && next.sentAt - first.lastWriteAt >= kLongestSilence);
  return begunBefore && !first.broken && !silentForLong && !newlyStarted(first);
}

std::vector<std::string> SilencesCheck::needlessRuns() const {
  std::vector<std::string> found;
  for (const auto& [request, runs] : runs_) {
    for (std::size_t next = 1; next < runs.size(); ++next) {
      const auto first =
          std::find_if(runs.begin(), runs.begin() + static_cast<std::ptrdiff_t>(next),
                       [&](const auto& run) { return needless(*run, *runs[next]); });
      if (first != runs.begin() + static_cast<std::ptrdiff_t>(next)) {
        found.push_back(request + " ran again at " + runs[next]->server + " though " +
                        (*first)->server + " had begun to answer and wrote " +
                        std::to_string(milliseconds((*first)->lastWriteAt, runs[next]->sentAt)) +
                        " ms before" + ((*first)->endedAt ? ", to its end" : "") +
                        "; its longest silence was " +
                        std::to_string((*first)->longestSilence.count()) + " ms");
      }
    }
  }
  return found;
}

std::string SilencesCheck::describe(const SilencesCall& call) const {
  std::ostringstream text;
  text << call.kind << " " << call.id << " at " << call.node << " (" << call.status
       << (call.complete ? ", complete" : ", " + call.detail) << ", "
       << milliseconds(call.sentAt, call.endedAt) << " of "
       << milliseconds(call.sentAt, latestEnd(call)) << " ms; runs:";
  for (const auto& run : runs(call.id)) {
    text << " " << run->server << " from " << milliseconds(call.sentAt, run->sentAt) << " ms"
         << (run->endedAt
                 ? " to " + std::to_string(milliseconds(call.sentAt, *run->endedAt)) + " ms"
                 : ", not ended");
  }
  text << (indirect_.contains(call.id) ? ", through another node)" : ")");
  return text.str();
}

std::string SilencesCheck::summary() const {
  std::ostringstream text;
  text << "ends of calls:";
  for (const auto& [end, count] : ends_) {
    text << " " << end << " " << count << ",";
  }
  const auto again = std::count_if(runs_.begin(), runs_.end(),
                                   [](const auto& entry) { return entry.second.size() > 1; });
  text << " run again " << again << ", through another node " << indirect_.size();
  return text.str();
}

}  // namespace calicodrift::testing
