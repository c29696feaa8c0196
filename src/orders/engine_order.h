#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "common/error.h"
#include "common/ids.h"

/// Fenced orders to model engines, sent by the holder of the order lease.
namespace calicodrift::orders {

/// HTTP path at which engines accept orders.
inline constexpr std::string_view kOrderPath = "/admin/orders";

enum class OrderKind {
  /// Changes nothing: the engine reports its state and from then on refuses older tokens, so that
  /// no delayed order of an earlier holder takes effect afterwards.
  kObserve,
  kLoadVersion,
  kSetRole,
};

/// An order to an engine. The engine refuses it with status 412 unless all of these hold: the token
/// is at least the highest that the engine has seen, the same is true of the bundle version, and
/// the incarnation, if given, is the engine's own. Repeating an order is harmless.
struct EngineOrder {
  OrderKind kind = OrderKind::kObserve;
  FencingToken token;
  /// Version of the bundle that the order is derived from; 0 for none.
  BundleVersion bundle;
  std::optional<Incarnation> incarnation;
  /// For kLoadVersion.
  WeightsVersion weights;
  /// For kSetRole: "prefill", "decode" or "mixed".
  std::string role;
};

std::string toJson(const EngineOrder& order);
/// Fails with kMalformedRequest.
Result<EngineOrder> engineOrderFromJson(std::string_view text);

/// An engine's report on itself in answers to orders; also part of its health report.
struct EngineReport {
  BackendId id;
  ModelId model;
  Incarnation incarnation;
  WeightsVersion weights;
  /// Version being loaded, if any.
  std::optional<WeightsVersion> loading;
  /// Whether the engine accepts new requests; false from the start of a load to its end.
  bool accepting = true;
  std::string role;
  FencingToken highestToken;
  BundleVersion highestBundle;
};

std::string toJson(const EngineReport& report);
/// Fails with kProtocolViolation.
Result<EngineReport> engineReportFromJson(std::string_view text);

}  // namespace calicodrift::orders
