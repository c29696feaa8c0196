#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "common/error.h"

namespace calicodrift {

/// An IP address as a number and a port. Names are not resolved anywhere in the project.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
  std::string toString() const { return address + ":" + std::to_string(port); }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(address, port);
  }
};

/// Parses "127.0.0.1:8080". Fails with kSettingsInvalid.
Result<Endpoint> parseEndpoint(std::string_view text);

}  // namespace calicodrift
