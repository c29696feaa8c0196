#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string>

#include "common/error.h"
#include "http/client.h"

/// What several commands of the operator's command line use.
namespace calicodrift::ctl {

/// Fails with kNotFound.
Result<std::string> readFile(const std::string& path);
/// Returns the line to print. Fails with kInternal.
Result<std::string> writeFile(const std::string& path, const std::string& text);

/// Runs one coroutine to its end on a context of its own.
Result<std::string> runToEnd(
    const std::function<boost::asio::awaitable<Result<std::string>>(http::Client&)>& command);

}  // namespace calicodrift::ctl
