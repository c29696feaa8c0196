#pragma once

namespace calicodrift::ctl {

/// Entry point of the operator's command line.
int runCtl(int argc, const char* const* argv);

}  // namespace calicodrift::ctl
