// Backend servers that the platform's list reports as leaving. Together with the
// configured state it decides which servers get no new work.
#ifndef MARIGOLDQUAY_SCHEDULING_LEAVING_SERVERS_H_
#define MARIGOLDQUAY_SCHEDULING_LEAVING_SERVERS_H_

#include <set>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "marigoldquay/config/objects.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/logstore/vm_list_client.h"
#include "marigoldquay/scheduling/periodic_pool.h"

namespace marigoldquay {

/// Thread-safe.
class LeavingServers {
 public:
  /// Replaces the set by what a new list says.
  void Update(const std::vector<VmListEntry>& list);
  bool Contains(absl::string_view id) const;
  /// Whether the server may get new work as far as configuration and list say.
  bool MayGetWork(const BackendServer& server) const {
    return server.state == BackendState::kActive && !Contains(server.id);
  }

 private:
  mutable absl::Mutex mutex_;
  std::set<std::string, std::less<>> leaving_ ABSL_GUARDED_BY(mutex_);
};

/// Reads the platform's list every second; a failed read leaves the last list in force. The
/// references must outlive it.
class LeavingServersPoller {
 public:
  LeavingServersPoller(VmListClient& client, const Clock& clock, LeavingServers& leaving);

 private:
  PeriodicPool pool_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_SCHEDULING_LEAVING_SERVERS_H_
