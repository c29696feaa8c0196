#include "run_record.h"

#include <unistd.h>

#include <boost/date_time/posix_time/posix_time.hpp>
#include <cstdlib>

namespace calicodrift::testing {
namespace {

std::filesystem::path parentFolder() {
  const char* given = std::getenv("SOAK_RECORDS");
  return given == nullptr ? std::filesystem::temp_directory_path() : std::filesystem::path(given);
}

}  // namespace

RunRecord::RunRecord(const std::string& name)
    : folder_(parentFolder() / (name + "-" + std::to_string(::getpid()))),
      kept_(std::getenv("SOAK_KEEP") != nullptr) {
  std::filesystem::create_directories(folder_);
  events_.open(folder_ / "events.log");
}

RunRecord::~RunRecord() {
  events_.close();
  if (!kept_) {
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
}

void RunRecord::note(const std::string& text) {
  const auto now = boost::posix_time::microsec_clock::local_time();
  events_ << boost::posix_time::to_iso_extended_string(now) << " soak " << text << std::endl;
}

std::filesystem::path RunRecord::logOf(const std::string& process) {
  return folder_ / (process + "-" + std::to_string(++starts_[process]) + ".log");
}

}  // namespace calicodrift::testing
