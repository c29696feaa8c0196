#include "lease/candidates.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace calicodrift::lease {
namespace {

/// A fixed list of nodes as seen from one of them.
class FixedDirectory : public peer::PeerDirectory {
 public:
  FixedDirectory(std::vector<peer::PeerInfo> nodes, std::size_t self) : nodes_(std::move(nodes)) {
    self_ = nodes_[self];
    nodes_.erase(nodes_.begin() + static_cast<std::ptrdiff_t>(self));
  }
  const peer::PeerInfo& self() const override { return self_; }
  std::vector<peer::PeerInfo> alivePeers() const override { return nodes_; }

 private:
  peer::PeerInfo self_;
  std::vector<peer::PeerInfo> nodes_;
};

std::vector<peer::PeerInfo> nodesNamed(std::size_t count) {
  std::vector<peer::PeerInfo> nodes(count);
  for (std::size_t index = 0; index < count; ++index) {
    nodes[index].id = NodeId("n" + std::to_string(index));
  }
  return nodes;
}

std::vector<std::size_t> candidatesOf(const std::vector<peer::PeerInfo>& nodes) {
  constexpr std::size_t kCandidates = 3;
  std::vector<std::size_t> found;
  for (std::size_t index = 0; index < nodes.size(); ++index) {
    if (isCandidate(FixedDirectory(nodes, index), "orders", kCandidates)) {
      found.push_back(index);
    }
  }
  return found;
}

BOOST_AUTO_TEST_CASE(fewNodesAreCandidatesAndADeadOneIsReplaced) {
  std::vector<peer::PeerInfo> nodes = nodesNamed(200);
  const std::vector<std::size_t> before = candidatesOf(nodes);
  BOOST_REQUIRE(before.size() == 3U);
  nodes.erase(nodes.begin() + static_cast<std::ptrdiff_t>(before[0]));
  BOOST_TEST(candidatesOf(nodes).size() == 3U);
  BOOST_TEST(candidatesOf(nodesNamed(2)).size() == 2U);
}

}  // namespace
}  // namespace calicodrift::lease
