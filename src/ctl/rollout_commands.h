#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "ctl/bundle_commands.h"

namespace calicodrift::ctl {

/// One line of a Prometheus text page.
struct MetricSample {
  std::map<std::string, std::string> labels;
  std::string value;
};

/// The samples of `metric` on a Prometheus text page; lines that can't be read are left out.
std::vector<MetricSample> samplesOf(std::string_view page, std::string_view metric);

/// How the roll-outs of all services stand, one line a service, from a node's metrics page.
std::string rolloutTable(std::string_view page);

/// The tables of all nodes whose metrics addresses `settings.routers` names. Fails where none
/// answers.
Result<std::string> rolloutStatus(const CtlSettings& settings);
/// What servers said of themselves as each of these nodes knows it, as JSON: limits, servers that
/// leave, servers at rest. Fails where none answers.
Result<std::string> serverNotices(const CtlSettings& settings);

}  // namespace calicodrift::ctl
