#pragma once

#include <linux/close_range.h>
#include <unistd.h>

#include <boost/process.hpp>
#include <boost/process/extend.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <limits>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "common/endpoint.h"

namespace calicodrift::testing {

/// A real process of this build, started by a test and ended with it at the latest.
class Process {
 public:
  /// Starts PROGRAM of the build's binaries and reads `ports` lines "listening NAME ADDRESS".
  Process(const std::string& program, const std::vector<std::string>& arguments,
          std::size_t ports = 0) {
    const char* logs = std::getenv("CALICODRIFT_TEST_LOGS");
    if (logs != nullptr && ports == 0) {
      // For looking into a failure: what each process writes, in a file of its own.
      static int number = 0;
      startWithLog(program, arguments, std::string(logs) + "/" + std::to_string(++number) + ".log");
      return;
    }
    child_ = boost::process::child(
        pathOf(program), boost::process::args(arguments), boost::process::std_out > output_,
        boost::process::std_err > boost::process::null,
        boost::process::extend::on_exec_setup([](auto&) { keepOnlyStandardStreams(); }));
    std::string line;
    while (endpoints_.size() < ports && std::getline(output_, line)) {
      readAnnouncement(line);
    }
    if (endpoints_.size() < ports) {
      throw std::runtime_error(program + " ended before it listened");
    }
  }

  /// Starts PROGRAM, which writes to `log`.
  Process(const std::string& program, const std::vector<std::string>& arguments,
          const std::filesystem::path& log) {
    startWithLog(program, arguments, log.string());
  }

  ~Process() {
    if (child_.valid() && child_.running()) {
      signal(SIGCONT);
      signal(SIGKILL);
      child_.wait();
    }
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  const Endpoint& endpoint(const std::string& name) const { return endpoints_.at(name); }
  void signal(int number) { ::kill(child_.id(), number); }
  void killAtOnce() {
    signal(SIGKILL);
    child_.wait();
  }
  /// Waits for the process's end and gives its exit code.
  int wait() {
    child_.wait();
    return child_.exit_code();
  }
  bool running() { return child_.running(); }
  int id() const { return child_.id(); }
  /// All of standard output that was not read yet; waits for the end of the process.
  std::string remainingOutput() {
    std::string all;
    std::string line;
    while (std::getline(output_, line)) {
      all += line + "\n";
    }
    return all;
  }

 private:
  /// In the child. A copy of one of the test's sockets in it keeps a connection open that the test
  /// has closed, so that the other end doesn't see the close.
  static void keepOnlyStandardStreams() {
    constexpr unsigned kFirstOther = 3;
    ::close_range(kFirstOther, std::numeric_limits<unsigned>::max(), CLOSE_RANGE_CLOEXEC);
  }

  /// A program with a path of its own is another build's.
  static std::string pathOf(const std::string& program) {
    if (program.starts_with("/")) {
      return program;
    }
    const char* folder = std::getenv("CALICODRIFT_BIN");
    return std::string(folder == nullptr ? "build/bin" : folder) + "/" + program;
  }

  void startWithLog(const std::string& program, const std::vector<std::string>& arguments,
                    const std::string& log) {
    child_ = boost::process::child(
        pathOf(program), boost::process::args(arguments),
        (boost::process::std_out & boost::process::std_err) > log,
        boost::process::extend::on_exec_setup([](auto&) { keepOnlyStandardStreams(); }));
  }

  void readAnnouncement(const std::string& line) {
    static const std::string prefix = "listening ";
    if (!line.starts_with(prefix)) {
      return;
    }
    const std::size_t space = line.find(' ', prefix.size());
    const Result<Endpoint> endpoint = parseEndpoint(line.substr(space + 1));
    if (endpoint) {
      endpoints_[line.substr(prefix.size(), space - prefix.size())] = endpoint.value();
    }
  }

  boost::process::ipstream output_;
  boost::process::child child_;
  std::map<std::string, Endpoint> endpoints_;
};

}  // namespace calicodrift::testing
