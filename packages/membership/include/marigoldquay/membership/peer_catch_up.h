// Exchange of config and members records between VMs, so that changes spread
// when only some VMs can read the log, and a VM can start while it is down.
#ifndef MARIGOLDQUAY_MEMBERSHIP_PEER_CATCH_UP_H_
#define MARIGOLDQUAY_MEMBERSHIP_PEER_CATCH_UP_H_

#include <deque>
#include <vector>

#include "absl/synchronization/mutex.h"
#include "marigoldquay/config/config_store.h"
#include "marigoldquay/membership/periodic_thread.h"
#include "marigoldquay/transport/rpc.h"

namespace marigoldquay {

class PeerCatchUp {
 public:
  /// `streams` are served to peers and kept up to date; they must outlive this object.
  PeerCatchUp(RpcClient& client, std::vector<PeerStream*> streams)
      : client_(client), streams_(std::move(streams)) {}

  /// Registers the FetchRecords handler. It has no effect, so that repeated calls are harmless.
  void RegisterHandler(RpcRegistry& registry);
  /// Notes that a peer may be ahead; at most kMaxHints wait. Wakes the thread.
  void AddHint(const Address& peer);
  /// Fetches everything that the peer has; true when all streams came to the peer's end.
  bool Pull(const Address& peer);
  /// Pulls from the peers noted so far.
  void RunOnce();
  void Start();
  void Stop() { thread_.Stop(); }

 private:
  static constexpr std::size_t kMaxHints = 8;

  bool PullStream(const Address& peer, PeerStream& stream);

  RpcClient& client_;
  const std::vector<PeerStream*> streams_;
  absl::Mutex mutex_;
  std::deque<Address> hints_ ABSL_GUARDED_BY(mutex_);
  // One pull at a time: the parts of a snapshot follow each other.
  absl::Mutex pulling_;
  PeriodicThread thread_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_MEMBERSHIP_PEER_CATCH_UP_H_
