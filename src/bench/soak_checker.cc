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

void OneTimeRecord::countAnswer(std::string_view runHeader) {
  ++answers;
  if (runHeader == toString(RunStatement::kNo)) {
    ++answersNotRun;
  } else if (runHeader == toString(RunStatement::kYes)) {
    ++answersRun;
  }
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

void checkOneTime(const OneTimeRecord& record, const RunsByKey& runs, SoakCounts& counts) {
  const auto found = runs.find(record.key);
  const std::uint64_t ran = found == runs.end() ? 0 : found->second;
  if (ran > 1) {
    ++counts.doubled;
  }
  const bool toldNotRun = record.answers == record.tries && record.answersNotRun == record.tries;
  if (toldNotRun && ran > 0) {
    ++counts.falseNotRun;
  }
  if (record.answers == 0 || (record.answersRun > 0 && ran == 0)) {
    ++counts.lost;
  }
  if (record.answersRun == 0) {
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
