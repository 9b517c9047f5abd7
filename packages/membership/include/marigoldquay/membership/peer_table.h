// What this VM knows of the other members from heartbeats and from what peers
// pass on. Pure logic.
#ifndef MARIGOLDQUAY_MEMBERSHIP_PEER_TABLE_H_
#define MARIGOLDQUAY_MEMBERSHIP_PEER_TABLE_H_

#include <map>
#include <memory>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/membership/member_set.h"
#include "marigoldquay/protocol/codec.h"

namespace marigoldquay {

/// State of this VM that its heartbeats carry.
struct LocalStatus {
  Offset config_next = 0;
  absl::Duration config_evidence_age = absl::InfiniteDuration();
  bool log_reachable = true;
  std::int32_t spare_capacity = 0;
  bool draining = false;
};

struct PeerInfo {
  Instance instance;
  std::uint64_t sequence = 0;
  /// Latest time at which the peer is known to have been alive.
  absl::Time alive_at = absl::InfinitePast();
  /// When its capacity, reachability of the log or draining last changed.
  absl::Time changed_at = absl::InfinitePast();
  std::int32_t spare_capacity = 0;
  bool log_reachable = true;
  bool draining = false;
  /// Epoch that the peer has named to this VM directly, and when that epoch was first named.
  Offset epoch = 0;
  absl::Time epoch_named_at = absl::InfiniteFuture();
};

class PeerTable {
 public:
  /// Up to this many members, every message carries the state of all that changed and a member is
  /// expected to be heard of within kAliveWindow.
  static constexpr std::size_t kSmallSet = 64;
  static constexpr std::size_t kEntriesSmall = 8;
  static constexpr std::size_t kEntriesLarge = 4;
  static constexpr absl::Duration kAliveWindow = absl::Milliseconds(2500);

  explicit PeerTable(const Clock& clock) : clock_(clock) {}

  /// Follows the member set; new members count as alive now.
  void Sync(const MemberSet::Members& members, const Instance& self);
  /// Takes the header and the entries of a message that its sender sent no earlier than
  /// `sent_after`.
  void Merge(const protocol::HeartbeatMessageT& message, absl::Time sent_after);
  /// Entries for the next message: this VM itself first, then half of them the most recently
  /// changed, the rest in turn.
  std::vector<std::unique_ptr<protocol::PeerStateT>> MakeEntries(const Instance& self,
                                                                 const LocalStatus& status);

  const PeerInfo* Find(absl::string_view vm) const;
  /// Heard of within the window that fits the size of the set; true for unknown VMs.
  bool Responsive(absl::string_view vm) const;
  /// Whether this VM reaches more than half of the members, counting itself when it is one.
  bool ReachesMajority(std::size_t member_count, bool self_is_member) const;
  /// Whether more than half of the members were heard of within kAliveWindow, counting this VM, and
  /// all of them report the log as unreachable. In sets larger than kSmallSet entries are mostly
  /// older, so that the answer is then usually false, the safe side.
  bool AllReachableSayLogDown(std::size_t member_count, bool self_is_member) const;

 private:
  absl::Duration Window() const;
  void MergeEntry(const Instance& instance, std::uint64_t sequence, absl::Time alive_at,
                  std::int32_t spare_capacity, bool log_reachable, bool draining);

  const Clock& clock_;
  std::map<VmId, PeerInfo, std::less<>> peers_;
  std::uint64_t own_sequence_ = 0;
  // Where the entries that go out in turn continue.
  VmId turn_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_MEMBERSHIP_PEER_TABLE_H_
