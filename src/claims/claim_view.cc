#include "claims/claim_view.h"

#include <algorithm>
#include <boost/json.hpp>
#include <map>
#include <set>

#include "common/hashing.h"

namespace calicodrift::claims {
namespace {

namespace json = boost::json;

json::array membersToJson(const std::vector<ViewMember>& members) {
  json::array list;
  for (const ViewMember& member : members) {
    list.push_back(json::object{{"id", member.id.value()},
                                {"zone", member.zone.value()},
                                {"endpoint", member.endpoint.toString()}});
  }
  return list;
}

std::vector<ViewMember> membersFromJson(const json::value& list) {
  std::vector<ViewMember> members;
  for (const json::value& entry : list.as_array()) {
    const auto endpoint = parseEndpoint(json::value_to<std::string>(entry.at("endpoint")));
    members.push_back({NodeId(json::value_to<std::string>(entry.at("id"))),
                       ZoneId(json::value_to<std::string>(entry.at("zone"))),
                       endpoint ? endpoint.value() : Endpoint{}});
  }
  return members;
}

ReplicaSet chooseReplicas(const std::vector<ViewMember>& members, std::size_t group) {
  std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
  for (std::size_t index = 0; index < members.size(); ++index) {
    ranked.emplace_back(hashPair(group, hashBytes(members[index].id.value())), index);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  ReplicaSet chosen;
  std::set<ZoneId> zones;
  const auto take = [&](bool newZonesOnly) {
    for (const auto& [rank, index] : ranked) {
      const bool taken = std::find(chosen.begin(), chosen.end(), index) != chosen.end();
      const bool newZone = !zones.contains(members[index].zone);
      if (chosen.size() < kReplicasPerGroup && !taken && (newZone || !newZonesOnly)) {
        chosen.push_back(index);
        zones.insert(members[index].zone);
      }
    }
  };
  take(true);
  take(false);
  return chosen;
}

}  // namespace

std::array<ReplicaSet, kGroupCount> replicaSetsOf(const std::vector<ViewMember>& members) {
  std::array<ReplicaSet, kGroupCount> sets;
  for (std::size_t group = 0; group < kGroupCount; ++group) {
    sets[group] = chooseReplicas(members, group);
  }
  return sets;
}

std::vector<ViewMember> chooseMembers(const std::vector<peer::PeerInfo>& alive,
                                      const std::vector<ViewMember>& current) {
  const auto isCurrent = [&current](const NodeId& id) {
    return std::any_of(current.begin(), current.end(),
                       [&id](const ViewMember& member) { return member.id == id; });
  };
  std::vector<peer::PeerInfo> candidates = alive;
  std::sort(candidates.begin(), candidates.end(),
            [&](const peer::PeerInfo& first, const peer::PeerInfo& second) {
              return std::pair(!isCurrent(first.id), first.id) <
                     std::pair(!isCurrent(second.id), second.id);
            });
  std::vector<ViewMember> chosen;
  std::map<ZoneId, std::size_t> chosenInZone;
  while (chosen.size() < kMaxViewMembers && !candidates.empty()) {
    const auto next =
        std::min_element(candidates.begin(), candidates.end(),
                         [&](const peer::PeerInfo& first, const peer::PeerInfo& second) {
                           return chosenInZone[first.zone] < chosenInZone[second.zone];
                         });
    ++chosenInZone[next->zone];
    chosen.push_back({next->id, next->zone, next->endpoint});
    candidates.erase(next);
  }
  std::sort(chosen.begin(), chosen.end(),
            [](const ViewMember& first, const ViewMember& second) { return first.id < second.id; });
  return chosen;
}

std::string toJson(const ClaimView& view) {
  return json::serialize(json::object{{"epoch", view.epoch.value()},
                                      {"established", view.established},
                                      {"members", membersToJson(view.members)},
                                      {"previousMembers", membersToJson(view.previousMembers)}});
}

Result<ClaimView> claimViewFromJson(std::string_view text) {
  json::error_code code;
  const json::value document = json::parse(text, code);
  if (code) {
    return fail(ErrorKind::kProtocolViolation, "the claim view is not JSON: " + code.message());
  }
  try {
    ClaimView view;
    view.epoch = Epoch(json::value_to<std::uint64_t>(document.at("epoch")));
    view.established = document.at("established").as_bool();
    view.members = membersFromJson(document.at("members"));
    view.previousMembers = membersFromJson(document.at("previousMembers"));
    return view;
  } catch (const std::exception& exception) {
    return fail(ErrorKind::kProtocolViolation,
                std::string("the claim view lacks a field: ") + exception.what());
  }
}

}  // namespace calicodrift::claims
