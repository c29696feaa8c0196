#include "bundle/bundle.h"

#include <algorithm>
#include <boost/json.hpp>
#include <limits>
#include <set>

namespace calicodrift::bundle {
namespace {

namespace json = boost::json;

/// Reads one JSON object with known keys and collects every problem with its path.
class ObjectReader {
 public:
  ObjectReader(const json::value& value, std::string path, std::vector<std::string>& problems)
      : path_(std::move(path)), problems_(problems) {
    if (value.is_object()) {
      object_ = &value.get_object();
    } else {
      problem("", "must be an object");
    }
  }

  std::string text(std::string_view key) {
    const json::value* value = find(key);
    if (value == nullptr || !value->is_string() || value->get_string().empty()) {
      problem(key, "must be a non-empty string");
      return "";
    }
    return std::string(value->get_string());
  }

  /// "*" and an absent key both mean any.
  std::optional<std::string> pattern(std::string_view key) {
    if (find(key) == nullptr) {
      return std::nullopt;
    }
    const std::string value = text(key);
    return value == "*" || value.empty() ? std::nullopt : std::optional<std::string>(value);
  }

  std::int64_t number(std::string_view key, std::int64_t minimum, std::int64_t maximum,
                      std::optional<std::int64_t> absent) {
    const json::value* value = find(key);
    if (value == nullptr && absent) {
      return *absent;
    }
    const bool inBounds = value != nullptr && value->is_int64() && value->get_int64() >= minimum &&
                          value->get_int64() <= maximum;
    if (!inBounds) {
      problem(key, "must be a whole number from " + std::to_string(minimum) + " to " +
                       std::to_string(maximum));
      return minimum;
    }
    return value->get_int64();
  }

  const json::array& list(std::string_view key) {
    static const json::array empty;
    const json::value* value = find(key);
    if (value == nullptr) {
      return empty;
    }
    if (!value->is_array()) {
      problem(key, "must be a list");
      return empty;
    }
    return value->get_array();
  }

  /// Names every key that was not asked for.
  void finish() {
    if (object_ == nullptr) {
      return;
    }
    for (const auto& entry : *object_) {
      if (!known_.contains(std::string(entry.key()))) {
        problem(entry.key(), "is unknown; remove it or correct its name");
      }
    }
  }

  void problem(std::string_view key, const std::string& message) {
    const std::string place = key.empty() ? path_ : path_ + "." + std::string(key);
    problems_.push_back(place + " " + message);
  }

  std::string childPath(std::string_view key, std::size_t index) const {
    return path_ + "." + std::string(key) + "[" + std::to_string(index) + "]";
  }

  std::vector<std::string>& problems() { return problems_; }

 private:
  const json::value* find(std::string_view key) {
    known_.insert(std::string(key));
    return object_ == nullptr ? nullptr : object_->if_contains(key);
  }

  const json::object* object_ = nullptr;
  std::string path_;
  std::vector<std::string>& problems_;
  std::set<std::string> known_;
};

/// Reads each element of a list with `readItem(ObjectReader&)`.
template <typename Item, typename ReadItem>
std::vector<Item> readList(ObjectReader& parent, std::string_view key, ReadItem readItem) {
  std::vector<Item> items;
  for (const json::value& value : parent.list(key)) {
    ObjectReader reader(value, parent.childPath(key, items.size()), parent.problems());
    items.push_back(readItem(reader));
    reader.finish();
  }
  return items;
}

constexpr std::int64_t kMaxWeight = 1000;
constexpr std::int64_t kMaxRate = 10'000'000;
constexpr std::int64_t kMaxBytes = 1'000'000'000;
constexpr std::int64_t kFullShare = 100;
constexpr std::int64_t kMaxTargetMs = 3'600'000;
constexpr std::int64_t kMaxMicrosecondsPerToken = 1'000'000;
constexpr std::int64_t kMaxLoads = 10'000;

Tenant readTenant(ObjectReader& reader) {
  Tenant tenant;
  tenant.id = TenantId(reader.text("id"));
  for (const json::value& hash : reader.list("api_key_sha256")) {
    constexpr std::size_t kHashLength = 64;
    if (!hash.is_string() || hash.get_string().size() != kHashLength) {
      reader.problem("api_key_sha256", "must hold SHA-256 hashes of 64 hexadecimal digits");
      continue;
    }
    tenant.apiKeyHashes.emplace_back(hash.get_string());
  }
  tenant.weight = reader.number("weight", 1, kMaxWeight, 1);
  tenant.requestsPerSecond = reader.number("requests_per_second", 0, kMaxRate, 0);
  return tenant;
}

Model readModel(ObjectReader& reader) {
  Model model;
  model.id = ModelId(reader.text("id"));
  const std::int64_t largest = std::numeric_limits<std::int64_t>::max();
  model.weights =
      WeightsVersion(static_cast<std::uint64_t>(reader.number("weights_version", 1, largest, 1)));
  model.blockBytes = reader.number("block_bytes", 16, kMaxBytes, model.blockBytes);
  model.maxPromptBytes = reader.number("max_prompt_bytes", 1, kMaxBytes, model.maxPromptBytes);
  model.firstTokenTarget = Milliseconds(
      reader.number("first_token_target_ms", 1, kMaxTargetMs, model.firstTokenTarget.count()));
  model.firstTokenPerPromptToken =
      Microseconds(reader.number("first_token_us_per_prompt_token", 0, kMaxMicrosecondsPerToken,
                                 model.firstTokenPerPromptToken.count()));
  model.minUsablePercent =
      reader.number("min_usable_percent", 0, kFullShare, model.minUsablePercent);
  return model;
}

Service readService(ObjectReader& reader) {
  Service service{reader.text("name"), reader.text("path_prefix")};
  if (!service.pathPrefix.starts_with('/') || service.pathPrefix.starts_with("/v1/")) {
    reader.problem("path_prefix", "must start with '/' and not with '/v1/'");
  }
  return service;
}

PolicyArm readArm(ObjectReader& reader) {
  PolicyArm arm;
  arm.policy = reader.text("policy");
  arm.share = reader.number("share", 0, kFullShare, kFullShare);
  return arm;
}

PolicyRule readRule(ObjectReader& reader) {
  PolicyRule rule;
  if (const auto tenant = reader.pattern("tenant")) {
    rule.tenant = TenantId(*tenant);
  }
  if (const auto model = reader.pattern("model")) {
    rule.model = ModelId(*model);
  }
  if (const auto priority = reader.pattern("priority")) {
    rule.priority = parsePriority(*priority);
    if (!rule.priority) {
      reader.problem("priority", "must be high, normal, low or *");
    }
  }
  rule.arms = readList<PolicyArm>(reader, "arms", readArm);
  std::int64_t total = 0;
  for (const PolicyArm& arm : rule.arms) {
    total += arm.share;
  }
  if (total != kFullShare) {
    reader.problem("arms", "must have shares that add up to 100");
  }
  return rule;
}

template <typename Item, typename Key>
void checkUnique(const std::vector<Item>& items, std::string_view list, Key key,
                 std::vector<std::string>& problems) {
  std::set<std::string> seen;
  for (const Item& item : items) {
    if (!seen.insert(key(item)).second) {
      problems.push_back("$." + std::string(list) + " names '" + key(item) + "' twice");
    }
  }
}

}  // namespace

const Tenant* Bundle::findTenantByKeyHash(std::string_view keyHash) const {
  for (const Tenant& tenant : tenants) {
    for (const std::string& hash : tenant.apiKeyHashes) {
      if (hash == keyHash) {
        return &tenant;
      }
    }
  }
  return nullptr;
}

const Model* Bundle::findModel(const ModelId& id) const {
  const auto found = std::find_if(models.begin(), models.end(),
                                  [&id](const Model& model) { return model.id == id; });
  return found == models.end() ? nullptr : &*found;
}

const Service* Bundle::findService(std::string_view path) const {
  const auto found = std::find_if(services.begin(), services.end(), [path](const Service& service) {
    return path.starts_with(service.pathPrefix);
  });
  return found == services.end() ? nullptr : &*found;
}

Result<Bundle> parseBundle(std::string_view text) {
  json::error_code code;
  const json::value document = json::parse(text, code);
  if (code) {
    return fail(ErrorKind::kBundleInvalid, "the bundle is not JSON: " + code.message());
  }
  std::vector<std::string> problems;
  ObjectReader reader(document, "$", problems);
  Bundle bundle;
  const std::int64_t largest = std::numeric_limits<std::int64_t>::max();
  bundle.version =
      BundleVersion(static_cast<std::uint64_t>(reader.number("version", 1, largest, {})));
  bundle.tenants = readList<Tenant>(reader, "tenants", readTenant);
  bundle.models = readList<Model>(reader, "models", readModel);
  bundle.services = readList<Service>(reader, "services", readService);
  bundle.policies = readList<PolicyRule>(reader, "policies", readRule);
  bundle.maxConcurrentLoads =
      reader.number("max_concurrent_loads", 1, kMaxLoads, bundle.maxConcurrentLoads);
  reader.finish();
  checkUnique(
      bundle.tenants, "tenants", [](const Tenant& item) { return item.id.value(); }, problems);
  checkUnique(
      bundle.models, "models", [](const Model& item) { return item.id.value(); }, problems);
  checkUnique(
      bundle.services, "services", [](const Service& item) { return item.name; }, problems);
  if (problems.empty()) {
    return bundle;
  }
  std::string detail;
  for (const std::string& problem : problems) {
    detail += (detail.empty() ? "" : "\n") + problem;
  }
  return fail(ErrorKind::kBundleInvalid, detail);
}

}  // namespace calicodrift::bundle
