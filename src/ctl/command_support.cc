#include "ctl/command_support.h"

#include <boost/asio.hpp>
#include <fstream>
#include <iterator>

namespace calicodrift::ctl {

namespace asio = boost::asio;

Result<std::string> readFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return fail(ErrorKind::kNotFound, "cannot open '" + path + "'");
  }
  return std::string((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
}

Result<std::string> writeFile(const std::string& path, const std::string& text) {
  std::ofstream file(path);
  file << text;
  file.close();
  if (!file) {
    return fail(ErrorKind::kInternal, "cannot write '" + path + "'");
  }
  return "wrote " + path + "\n";
}

Result<std::string> runToEnd(
    const std::function<asio::awaitable<Result<std::string>>(http::Client&)>& command) {
  asio::io_context context(1);
  http::Client client(context.get_executor());
  Result<std::string> outcome = fail(ErrorKind::kInternal, "the command did not finish");
  asio::co_spawn(
      context,
      [&]() -> asio::awaitable<void> {
        outcome = co_await command(client);
        context.stop();
      },
      asio::detached);
  context.run();
  return outcome;
}

}  // namespace calicodrift::ctl
