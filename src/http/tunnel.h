#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core.hpp>
#include <string>

#include "http/server.h"

// Internal to src/http: only its .cc files include this file.
namespace calicodrift::http {

/// Passes bytes between the two ends until one of them closes, breaks, or none of them has sent
/// anything for the idle timeout, and closes both. A clean end of the server's bytes is passed on
/// as one; a reset is passed on as a reset, so that an incomplete answer does not look complete. A
/// slow reader slows the other end: one piece is held for each direction.
/// @param early bytes that the caller has sent already.
boost::asio::awaitable<TunnelTotals> passBytes(boost::beast::tcp_stream& caller, std::string early,
                                               boost::beast::tcp_stream& server,
                                               TunnelOptions options);

}  // namespace calicodrift::http
