#include "bench/soak_checker.h"

#include <algorithm>

#include "sim/answer_text.h"

namespace calicodrift::bench {

TextCheck checkText(std::string_view prompt, std::size_t maxTokens, std::string_view text) {
  const std::string whole = sim::answerText(prompt, 0, maxTokens);
  if (text == whole) {
    return TextCheck::kWhole;
  }
  return whole.starts_with(text) ? TextCheck::kIncomplete : TextCheck::kMixed;
}

std::size_t OneTimeRecord::told(RunStatement statement) const {
  return static_cast<std::size_t>(
      std::count_if(tries.begin(), tries.end(),
                    [statement](const OneTimeTry& attempt) { return attempt.told == statement; }));
}

std::size_t OneTimeRecord::answered() const {
  return static_cast<std::size_t>(
      std::count_if(tries.begin(), tries.end(),
                    [](const OneTimeTry& attempt) { return attempt.told.has_value(); }));
}

RunStatement parseRunStatement(std::string_view header) {
  for (const RunStatement statement : {RunStatement::kNo, RunStatement::kYes}) {
    if (header == toString(statement)) {
      return statement;
    }
  }
  return RunStatement::kMaybe;
}

std::uint64_t SoakCounts::violations() const {
  return lost + doubled + mixed + incomplete + outOfOrder + falseNotRun + configReverts +
         configStaleNodes + cutByPlannedStop;
}

void SoakCounts::countText(TextCheck check) {
  if (check == TextCheck::kIncomplete) {
    ++incomplete;
  } else if (check == TextCheck::kMixed) {
    ++mixed;
  }
}

void checkOneTime(const OneTimeRecord& record, const ServiceRuns& runs, SoakCounts& counts) {
  const auto found = runs.byKey.find(record.key);
  const std::uint64_t ran = found == runs.byKey.end() ? 0 : found->second;
  if (ran > 1) {
    ++counts.doubled;
  }
  const auto falselyDenied = [&runs](const OneTimeTry& attempt) {
    return attempt.told == RunStatement::kNo && runs.byRequest.contains(attempt.requestId);
  };
  if (std::any_of(record.tries.begin(), record.tries.end(), falselyDenied)) {
    ++counts.falseNotRun;
  }
  const bool toldRun = record.told(RunStatement::kYes) > 0;
  if (record.answered() == 0 || (toldRun && ran == 0)) {
    ++counts.lost;
  }
  if (!toldRun) {
    ++counts.unconfirmed;
  }
}

bool VersionWatch::observe(const NodeId& node, BundleVersion version) {
  BundleVersion& highest = highest_[node];
  const bool reverted = version != BundleVersion() && version < highest;
  highest = std::max(highest, version);
  return reverted;
}

std::vector<BrokenTry> cutByStops(const std::vector<BrokenTry>& broken,
                                  const std::vector<StopWindow>& stops) {
  std::vector<BrokenTry> cut;
  for (const BrokenTry& attempt : broken) {
    const auto strikes = [&attempt](const StopWindow& stop) {
      return stop.router == attempt.router && stop.from <= attempt.end && attempt.end <= stop.to;
    };
    if (std::any_of(stops.begin(), stops.end(), strikes)) {
      cut.push_back(attempt);
    }
  }
  return cut;
}

}  // namespace calicodrift::bench
