#pragma once

#include <vector>

#include "membership/member_table.h"
#include "membership/messages.h"
#include "membership/update_queue.h"
#include "peer/transport.h"

namespace calicodrift::membership {

/// Puts bodies into envelopes with the sender's version, its digest, the records asked for and as
/// much news as fits, and sends them. Pages and answers (Page, Records) carry no news, as their
/// records aren't spread further.
class Messenger {
 public:
  /// Bytes of a message for records and large bodies; the rest of the payload is for the envelope.
  static constexpr std::size_t kRecordBytes = 1000;
  /// Bytes of a message for news. Together with the bounded number of messages a period it caps
  /// what a node sends however much happens at once.
  static constexpr std::size_t kNewsBytes = 500;

  Messenger(peer::Transport& transport, const MemberTable& table)
      : transport_(transport), table_(table) {}

  UpdateQueue& news() { return news_; }
  const UpdateQueue& news() const { return news_; }
  /// @param records sent first, as many as fit into kRecordBytes; the rest is left out.
  void send(const Endpoint& to, Body body, const std::vector<MemberRecord>& records = {});

 private:
  std::size_t transmissionLimit() const;

  peer::Transport& transport_;
  const MemberTable& table_;
  UpdateQueue news_;
};

}  // namespace calicodrift::membership
