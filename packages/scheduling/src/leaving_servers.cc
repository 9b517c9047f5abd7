// Leaving backend servers as the platform's list shows them.
#include "marigoldquay/scheduling/leaving_servers.h"

#include <utility>

#include "marigoldquay/core/logger.h"

namespace marigoldquay {
namespace {

// One interval plus one read stays under the 3 s after which a leaving server gets no new work.
constexpr absl::Duration kListInterval = absl::Seconds(1);
constexpr absl::Duration kListTimeout = absl::Seconds(1);

const Logger& Log() {
  static const Logger logger("sched");
  return logger;
}

}  // namespace

void LeavingServers::Update(const std::vector<VmListEntry>& list) {
  std::set<std::string, std::less<>> leaving;
  for (const auto& entry : list) {
    if (entry.kind == VmKind::kBackend && entry.state == VmState::kLeaving) {
      leaving.insert(entry.id);
    }
  }
  absl::MutexLock lock(&mutex_);
  leaving_ = std::move(leaving);
}

bool LeavingServers::Contains(absl::string_view id) const {
  absl::MutexLock lock(&mutex_);
  return leaving_.find(id) != leaving_.end();
}

LeavingServersPoller::LeavingServersPoller(VmListClient& client, const Clock& clock,
                                           LeavingServers& leaving)
    : pool_({.interval = kListInterval, .workers = 1, .max_keys = 1}, clock,
            [&client, &leaving](const std::string&) {
              return HandleError(
                  [&]() -> Result<TaskOutcome> {
                    BOOST_LEAF_AUTO(list, client.List(kListTimeout));
                    leaving.Update(list);
                    return TaskOutcome::kSucceeded;
                  },
                  [](const Error& error) {
                    Log().Warn("list of leaving servers not read: ", error.ToString());
                    return TaskOutcome::kFailed;
                  });
            }) {
  pool_.Add("vms");
}

}  // namespace marigoldquay
