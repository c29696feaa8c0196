#pragma once

#include <boost/asio/awaitable.hpp>
#include <string>

#include "bundle/signature.h"
#include "ctl/bundle_commands.h"
#include "http/client.h"

namespace calicodrift::ctl {

/// Stores a signed bundle by a conditional write on the version that was read before. What became
/// of a write whose answer was lost is settled by reading back, and a write that had no effect is
/// repeated a bounded number of times; the condition keeps it from overwriting another operator's.
/// Fails with kVersionConflict where another bundle of this version or a later one is stored,
/// kStoreUnavailable where nothing was written, and kOutcomeUnknown where that can't be told.
boost::asio::awaitable<Result<std::string>> submit(http::Client& client, CtlSettings settings,
                                                   bundle::SignedBundle signedBundle,
                                                   BundleVersion version);

}  // namespace calicodrift::ctl
