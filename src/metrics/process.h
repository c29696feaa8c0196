#pragma once

namespace calicodrift::metrics {

/// Resident memory of this process in bytes, as the kernel counts it; 0 where /proc is missing.
double residentMemoryBytes();

}  // namespace calicodrift::metrics
