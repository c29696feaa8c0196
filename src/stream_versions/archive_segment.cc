#include "stream_versions/archive_segment.h"

#include <array>
#include <boost/json.hpp>
#include <charconv>
#include <map>
#include <optional>

namespace calicodrift::stream_versions {
namespace {

namespace json = boost::json;
constexpr std::string_view kSequence = "sequence";
constexpr std::string_view kVersions = "versions";
constexpr std::string_view kServices = "services";
constexpr int kHex = 16;

std::string hexOf(StreamKey stream) {
  std::array<char, kHex> text{};
  const auto written = std::to_chars(text.begin(), text.end(), stream.value(), kHex);
  return {text.begin(), written.ptr};
}

std::optional<StreamKey> streamOf(const json::value& value) {
  const json::string* text = value.if_string();
  std::uint64_t key = 0;
  if (text == nullptr || text->empty()) {
    return std::nullopt;
  }
  const char* const end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, key, kHex);
  const bool whole = parsed.ec == std::errc{} && parsed.ptr == end;
  return whole ? std::optional(StreamKey(key)) : std::nullopt;
}

std::optional<std::uint64_t> sequenceOf(const json::object& object) {
  const json::value* value = object.if_contains(kSequence);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (value->is_uint64()) {
    return value->get_uint64();
  }
  const bool whole = value->is_int64() && value->get_int64() >= 0;
  return whole ? std::optional(static_cast<std::uint64_t>(value->get_int64())) : std::nullopt;
}

std::int64_t millisecondsOf(WallTime time) {
  return std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count();
}

Error notAHistory() {
  return fail(ErrorKind::kProtocolViolation, "not a history of services' versions");
}

Error notASegment() {
  return fail(ErrorKind::kProtocolViolation, "not a segment of streams' versions");
}

}  // namespace

json::value toJson(const ArchiveSegment& segment) {
  std::map<SoftwareVersion, json::array> versions;
  for (const ArchivedRecord& record : segment.records) {
    versions[record.version].emplace_back(hexOf(record.stream));
  }
  json::object byVersion;
  for (auto& [version, streams] : versions) {
    byVersion[version.value()] = std::move(streams);
  }
  return json::object{{kSequence, segment.sequence}, {kVersions, std::move(byVersion)}};
}

Result<ArchiveSegment> segmentFromJson(const json::value& value) {
  const json::object* object = value.if_object();
  const std::optional<std::uint64_t> sequence = object ? sequenceOf(*object) : std::nullopt;
  const json::value* versions = object ? object->if_contains(kVersions) : nullptr;
  if (!sequence || versions == nullptr || !versions->is_object()) {
    return notASegment();
  }
  ArchiveSegment segment;
  segment.sequence = *sequence;
  for (const auto& version : versions->get_object()) {
    const json::array* streams = version.value().if_array();
    if (streams == nullptr) {
      return notASegment();
    }
    for (const json::value& text : *streams) {
      const std::optional<StreamKey> stream = streamOf(text);
      if (!stream) {
        return notASegment();
      }
      segment.records.push_back({*stream, SoftwareVersion(std::string(version.key()))});
    }
  }
  return segment;
}

json::value toJson(const ArchivedHistory& history) {
  json::object services;
  for (const auto& [service, versions] : history) {
    json::object ends;
    for (const auto& [version, leftAt] : versions) {
      ends[version.value()] = leftAt ? json::value(millisecondsOf(*leftAt)) : json::value();
    }
    services[service] = std::move(ends);
  }
  return json::object{{kServices, std::move(services)}};
}

Result<ArchivedHistory> historyFromJson(const json::value& value) {
  const json::object* object = value.if_object();
  const json::value* services = object ? object->if_contains(kServices) : nullptr;
  if (services == nullptr || !services->is_object()) {
    return notAHistory();
  }
  ArchivedHistory history;
  for (const auto& service : services->get_object()) {
    const json::object* versions = service.value().if_object();
    if (versions == nullptr) {
      return notAHistory();
    }
    for (const auto& version : *versions) {
      const json::value& leftAt = version.value();
      if (!leftAt.is_null() && !leftAt.is_int64()) {
        return notAHistory();
      }
      std::optional<WallTime>& end =
          history[service.key()][SoftwareVersion(std::string(version.key()))];
      if (leftAt.is_int64()) {
        end = WallTime(Milliseconds(leftAt.get_int64()));
      }
    }
  }
  return history;
}

std::string segmentName(std::size_t writer, std::uint64_t sequence) {
  return std::to_string(writer) + "-" + std::to_string(sequence % kArchiveSlots);
}

bool isSegmentOf(std::size_t writer, const std::string& name) {
  return name.starts_with(std::to_string(writer) + "-");
}

}  // namespace calicodrift::stream_versions
