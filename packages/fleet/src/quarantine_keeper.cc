// Quarantines in the store: read when this VM becomes the coordinator, written as they change.
#include "marigoldquay/fleet/quarantine_keeper.h"

#include <utility>

#include "marigoldquay/core/logger.h"

namespace marigoldquay {
namespace {

constexpr absl::Duration kCheckInterval = absl::Milliseconds(250);

const Logger& Log() {
  static const Logger logger("sched");
  return logger;
}

}  // namespace

void QuarantineKeeper::LogFailure(absl::string_view call, const Error& error) const {
  Log().Event("quarantine_not_kept", LogFields().Add("call", call).Add("detail", error.ToString()),
              LogLevel::kWarn);
}

bool QuarantineKeeper::Load(Yield yield) {
  const auto listed = store_.ListQuarantines(yield);
  if (!listed) {
    LogFailure("list", listed.error());
    return false;
  }
  for (const std::string& reason : listed->skipped) {
    Log().Event("quarantine_skipped", LogFields().Add("reason", reason), LogLevel::kWarn);
  }
  kept_.clear();
  for (const KeptQuarantine& kept : listed->listed) {
    kept_.insert(kept.traits);
    if (kept.left > absl::ZeroDuration()) {
      coordinator_.AdoptQuarantine({kept.traits, clock_.Now() + kept.left});
    }
  }
  // After the store has come back from a copy, what it has lost is written again.
  era_ = store_.era();
  return true;
}

void QuarantineKeeper::Save(Yield yield) {
  std::set<std::vector<RequestTrait>> in_force;
  for (const QuarantinedTraits& quarantined : coordinator_.quarantined()) {
    in_force.insert(quarantined.traits);
    if (kept_.contains(quarantined.traits)) continue;
    const auto saved =
        store_.KeepQuarantine({quarantined.traits, quarantined.until - clock_.Now()}, yield);
    if (!saved) return LogFailure("keep", saved.error());
    kept_.insert(quarantined.traits);
  }
  const auto before = kept_;
  for (const auto& traits : before) {
    if (in_force.contains(traits)) continue;
    const auto dropped = store_.DropQuarantine(traits, yield);
    if (!dropped) return LogFailure("drop", dropped.error());
    kept_.erase(traits);
  }
}

void QuarantineKeeper::Run(Yield yield) {
  while (true) {
    SleepFor(io_, kCheckInterval, yield);
    if (!coordinates_()) {
      loaded_ = false;
      continue;
    }
    if (!loaded_ || store_.era() != era_) loaded_ = Load(yield);
    if (loaded_) Save(yield);
  }
}

}  // namespace marigoldquay
