#pragma once

#include <string_view>

namespace calicodrift::forward {

/// What a request waits for before a server gets it.
enum class DispatchWait {
  kNone,
  /// Which software version began the stream that it takes up.
  kStreamVersion,
  /// Permission to send a request that is under suspicion.
  kAdmission,
  /// Units of its tenant's limit.
  kTenantLimit,
  /// A unit of the server's limit.
  kServerLimit,
  kConnection,
  /// Another server, after it has left a silent one.
  kAnotherServer,
};

constexpr std::string_view toString(DispatchWait wait) {
  switch (wait) {
    case DispatchWait::kNone:
      return "none";
    case DispatchWait::kStreamVersion:
      return "stream_version";
    case DispatchWait::kAdmission:
      return "admission";
    case DispatchWait::kTenantLimit:
      return "tenant_limit";
    case DispatchWait::kServerLimit:
      return "server_limit";
    case DispatchWait::kConnection:
      return "connection";
    case DispatchWait::kAnotherServer:
      return "another_server";
  }
  return "none";
}

/// Sets the wait for as long as it lives.
class DispatchWaitGuard {
 public:
  DispatchWaitGuard(DispatchWait& current, DispatchWait wait) : current_(current) {
    current_ = wait;
  }
  ~DispatchWaitGuard() { current_ = DispatchWait::kNone; }
  DispatchWaitGuard(const DispatchWaitGuard&) = delete;
  DispatchWaitGuard& operator=(const DispatchWaitGuard&) = delete;

 private:
  DispatchWait& current_;
};

}  // namespace calicodrift::forward
