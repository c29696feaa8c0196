#include "common/endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace calicodrift {

Result<Endpoint> parseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  const std::string problem = "'" + std::string(text) + "' is not ADDRESS:PORT, as 127.0.0.1:8080";
  if (colon == std::string_view::npos) {
    return fail(ErrorKind::kSettingsInvalid, problem);
  }
  const std::string address(text.substr(0, colon));
  boost::system::error_code code;
  boost::asio::ip::make_address(address, code);
  if (code) {
    return fail(ErrorKind::kSettingsInvalid, problem);
  }
  const std::string_view portText = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto parsed = std::from_chars(portText.begin(), portText.end(), port);
  if (parsed.ec != std::errc{} || parsed.ptr != portText.end()) {
    return fail(ErrorKind::kSettingsInvalid, problem);
  }
  return Endpoint{address, port};
}

}  // namespace calicodrift
