#include "bundle/review.h"

#include <algorithm>
#include <map>

namespace calicodrift::bundle {
namespace {

std::string rulePath(std::size_t index) {
  return "$.policies[" + std::to_string(index) + "]";
}

std::string joined(const std::vector<std::string_view>& names) {
  std::string text;
  for (const std::string_view name : names) {
    text += (text.empty() ? "" : ", ") + std::string(name);
  }
  return text;
}

/// Whether every request that `later` matches is matched by `earlier` too.
bool covers(const PolicyRule& earlier, const PolicyRule& later) {
  return (!earlier.tenant || earlier.tenant == later.tenant) &&
         (!earlier.model || earlier.model == later.model) &&
         (!earlier.priority || earlier.priority == later.priority);
}

void reviewArms(const PolicyRule& rule, const std::string& path,
                const std::vector<std::string_view>& policies, std::vector<std::string>& problems) {
  for (std::size_t index = 0; index < rule.arms.size(); ++index) {
    const std::string& name = rule.arms[index].policy;
    if (std::find(policies.begin(), policies.end(), name) != policies.end()) {
      continue;
    }
    std::string problem = path + ".arms[" + std::to_string(index) + "].policy names '";
    problem += name + "', which is no policy; the policies are ";
    problem += joined(policies);
    problems.push_back(problem);
  }
}

void reviewRules(const Bundle& bundle, const std::vector<std::string_view>& policies,
                 std::vector<std::string>& problems) {
  for (std::size_t index = 0; index < bundle.policies.size(); ++index) {
    const PolicyRule& rule = bundle.policies[index];
    const std::string path = rulePath(index);
    reviewArms(rule, path, policies, problems);
    const auto sameTenant = [&rule](const Tenant& tenant) { return tenant.id == *rule.tenant; };
    if (rule.tenant && std::none_of(bundle.tenants.begin(), bundle.tenants.end(), sameTenant)) {
      problems.push_back(path + ".tenant names '" + rule.tenant->value() +
                         "', which is not among $.tenants");
    }
    if (rule.model && bundle.findModel(*rule.model) == nullptr) {
      problems.push_back(path + ".model names '" + rule.model->value() +
                         "', which is not among $.models");
    }
    for (std::size_t earlier = 0; earlier < index; ++earlier) {
      if (covers(bundle.policies[earlier], rule)) {
        problems.push_back(path + " is never reached, as " + rulePath(earlier) +
                           " matches the same requests before; remove it or put it first");
        break;
      }
    }
  }
}

void reviewKeys(const Bundle& bundle, std::vector<std::string>& problems) {
  std::map<std::string, std::string> owners;
  for (std::size_t index = 0; index < bundle.tenants.size(); ++index) {
    const Tenant& tenant = bundle.tenants[index];
    for (const std::string& hash : tenant.apiKeyHashes) {
      const auto [owner, added] = owners.emplace(hash, tenant.id.value());
      if (!added) {
        problems.push_back("$.tenants[" + std::to_string(index) +
                           "].api_key_sha256 holds a key of '" + owner->second +
                           "' too; give each tenant its own keys");
      }
    }
  }
}

void reviewServices(const Bundle& bundle, std::vector<std::string>& problems) {
  for (std::size_t index = 0; index < bundle.services.size(); ++index) {
    for (std::size_t earlier = 0; earlier < index; ++earlier) {
      if (bundle.services[index].pathPrefix.starts_with(bundle.services[earlier].pathPrefix)) {
        problems.push_back("$.services[" + std::to_string(index) +
                           "].path_prefix is never reached, " + "as $.services[" +
                           std::to_string(earlier) +
                           "] takes its paths; put the longer prefix first");
      }
    }
  }
}

}  // namespace

std::vector<std::string> reviewBundle(const Bundle& bundle,
                                      const std::vector<std::string_view>& policies) {
  std::vector<std::string> problems;
  reviewRules(bundle, policies, problems);
  reviewKeys(bundle, problems);
  reviewServices(bundle, problems);
  return problems;
}

}  // namespace calicodrift::bundle
