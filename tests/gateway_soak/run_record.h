#pragma once

#include <filesystem>
#include <fstream>
#include <map>
#include <string>

namespace calicodrift::testing {

/// Folder of one run: what each process wrote, and events.log with the faults as they were
/// injected, requests of interest and violations. Its times are those of the processes' logs, so
/// that the files can be sorted into one. Removed with the object unless it is to be kept.
class RunRecord {
 public:
  /// Created below SOAK_RECORDS, by default the folder for temporary files. SOAK_KEEP keeps it in
  /// any case.
  explicit RunRecord(const std::string& name);
  ~RunRecord();
  RunRecord(const RunRecord&) = delete;
  RunRecord& operator=(const RunRecord&) = delete;

  const std::filesystem::path& folder() const { return folder_; }
  /// Appends a line to events.log.
  void note(const std::string& text);
  /// File for the next process of that name.
  std::filesystem::path logOf(const std::string& process);
  void keep() { kept_ = true; }

 private:
  std::filesystem::path folder_;
  std::ofstream events_;
  std::map<std::string, int> starts_;
  bool kept_ = false;
};

}  // namespace calicodrift::testing
