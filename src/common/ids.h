#pragma once

#include <cstdint>
#include <string>

#include "common/strong_type.h"

/// The identifiers, epochs and versions of the whole project, one type each.
namespace calicodrift {

using TenantId = StrongType<struct TenantIdTag, std::string>;
using ModelId = StrongType<struct ModelIdTag, std::string>;
/// Name of a back end (model engine or ordinary service) in the machine list.
using BackendId = StrongType<struct BackendIdTag, std::string>;
/// Name of a router node; stays the same over restarts at the same place.
using NodeId = StrongType<struct NodeIdTag, std::string>;
using ZoneId = StrongType<struct ZoneIdTag, std::string>;
using RegionId = StrongType<struct RegionIdTag, std::string>;
/// Names one caller request over all its attempts.
using RequestId = StrongType<struct RequestIdTag, std::string>;
/// Counts the dispatches of one request, from 1.
using Attempt = StrongType<struct AttemptTag, std::uint32_t>;
/// One run of a process, as the time of its start in whole units since the epoch: greater is later
/// for the same name. 0 is before all others and stands for a start that isn't told.
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;
/// Version of the software that a server runs; another thing than the weights it holds.
using SoftwareVersion = StrongType<struct SoftwareVersionTag, std::string>;
using WeightsVersion = StrongType<struct WeightsVersionTag, std::uint64_t>;
/// Version of the routes, tenants and limits that requests are served by.
using ConfigVersion = StrongType<struct ConfigVersionTag, std::uint64_t>;
using BundleVersion = StrongType<struct BundleVersionTag, std::uint64_t>;
using Epoch = StrongType<struct EpochTag, std::uint64_t>;
/// Rises with every holder of a lease; the receiver of an order refuses a lower one.
using FencingToken = StrongType<struct FencingTokenTag, std::uint64_t>;
/// Chain hash of a prompt prefix up to and including one block.
using BlockHash = StrongType<struct BlockHashTag, std::uint64_t>;

}  // namespace calicodrift
