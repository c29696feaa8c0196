#pragma once

#include <string>
#include <vector>

#include "common/error.h"

namespace calicodrift::ctl {

/// The lines of one request in the logs of all nodes, in the order of their times, and the cause of
/// its end in one line. Fails with kNotFound where no line names the request.
/// @param logs text of each node's log.
Result<std::string> traceRequest(const std::vector<std::string>& logs,
                                 const std::string& requestId);

/// The same for log files. Fails with kSettingsInvalid where none is named.
Result<std::string> traceRequestInFiles(const std::string& requestId,
                                        const std::vector<std::string>& files);

}  // namespace calicodrift::ctl
