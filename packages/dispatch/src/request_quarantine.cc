// Evidence about requests that crash backend servers, and their quarantine.
#include "marigoldquay/dispatch/request_quarantine.h"

#include <algorithm>

#include "absl/container/flat_hash_set.h"

namespace marigoldquay {
namespace {

// Crashes until a part is quarantined: one may have another cause.
constexpr std::size_t kCrashesOfUnprovenPart = 2;
// A part that was answered lately is shared by sound requests, which are broken off together with
// deadly ones.
constexpr std::size_t kCrashesOfProvenPart = 4;
// A sound request and its repetition may each meet a crash that a deadly request beside them
// causes.
constexpr std::size_t kCrashesOfRequest = 3;
constexpr std::size_t kMaxCountedCrashes = 4;
constexpr absl::Duration kEvidenceLifetime = absl::Minutes(5);
// The servers may have been repaired by then; if not, the next crash quarantines the trait again.
constexpr absl::Duration kQuarantineTime = absl::Minutes(10);
// A server needs longer to start again.
constexpr absl::Duration kSameCrashWindow = absl::Seconds(1);
// Some 2 MB.
constexpr std::size_t kMaxRecords = 16'384;
// Far more than requests that crash servers at the same time.
constexpr std::size_t kMaxEntries = 256;

bool HoldsAll(std::span<const RequestTrait> traits, const std::vector<RequestTrait>& required) {
  return std::all_of(required.begin(), required.end(), [&](RequestTrait trait) {
    return std::find(traits.begin(), traits.end(), trait) != traits.end();
  });
}

}  // namespace

void RequestQuarantine::OnServed(RequestTrait trait, Record& record, absl::Time began_at) {
  record.served_at = std::max(record.served_at, began_at);
  std::erase_if(record.crashes, [&](const CountedCrash& crash) { return crash.at < began_at; });
  if (began_at < record.last_crash_at) return;
  record.condemned = false;
  for (QuarantinedTraits& entry : entries_) {
    if (std::erase(entry.traits, trait) > 0) ++version_;
  }
}

void RequestQuarantine::RemoveEmptyEntries() {
  std::erase_if(entries_, [](const QuarantinedTraits& entry) { return entry.traits.empty(); });
}

void RequestQuarantine::OnServed(std::span<const PromptPartId> parts, absl::Time began_at) {
  for (const PromptPartId part : parts) OnServed(part, records_[part], began_at);
  RemoveEmptyEntries();
  Prune();
}

void RequestQuarantine::OnRequestServed(RequestFingerprint request, absl::Time began_at) {
  const auto found = records_.find(request);
  if (found == records_.end()) return;
  OnServed(request, found->second, began_at);
  RemoveEmptyEntries();
}

bool RequestQuarantine::Count(Record& record, const ServerCrash& crash) {
  auto& crashes = record.crashes;
  const auto is_same = [&](const CountedCrash& counted) {
    return counted.server == crash.server &&
           absl::AbsDuration(crash.at - counted.at) < kSameCrashWindow;
  };
  if (crash.at < record.served_at || std::any_of(crashes.begin(), crashes.end(), is_same)) {
    return false;
  }
  std::erase_if(crashes, [&](const CountedCrash& counted) {
    return crash.at - counted.at > kEvidenceLifetime;
  });
  if (crashes.size() >= kMaxCountedCrashes) crashes.erase(crashes.begin());
  crashes.push_back({crash.server, crash.at});
  record.last_crash_at = std::max(record.last_crash_at, crash.at);
  return true;
}

std::size_t RequestQuarantine::CrashesToQuarantine(const Record& record, absl::Time now) {
  if (record.condemned) return 1;
  if (record.is_request) return kCrashesOfRequest;
  const bool proven = now - record.served_at < kEvidenceLifetime;
  return proven ? kCrashesOfProvenPart : kCrashesOfUnprovenPart;
}

std::vector<RequestTrait> RequestQuarantine::Suspects(const ServerCrash& crash) const {
  std::vector<RequestTrait> suspects;
  std::size_t most = 0;
  const auto consider = [&](RequestTrait trait, bool has_enough) {
    const std::size_t count = records_.at(trait).crashes.size();
    if (!has_enough || count < most) return;
    if (count > most) suspects.clear();
    most = count;
    suspects.push_back(trait);
  };
  const auto has_enough = [&](RequestTrait trait) {
    const Record& record = records_.at(trait);
    return record.crashes.size() >= CrashesToQuarantine(record, crash.at);
  };
  for (const PromptPartId part : crash.parts) consider(part, has_enough(part));
  // Only this request may be deadly when all crashes under one of its parts were crashes under it.
  if (crash.request != 0) consider(crash.request, most > 0 || has_enough(crash.request));
  std::sort(suspects.begin(), suspects.end());
  suspects.erase(std::unique(suspects.begin(), suspects.end()), suspects.end());
  return suspects;
}

std::optional<QuarantinedTraits> RequestQuarantine::OnCrash(const ServerCrash& crash) {
  bool counted = false;
  for (const PromptPartId part : crash.parts) counted = Count(records_[part], crash) || counted;
  if (crash.request != 0) {
    Record& record = records_[crash.request];
    record.is_request = true;
    counted = Count(record, crash) || counted;
  }
  if (!counted) return std::nullopt;
  const QuarantinedTraits quarantined{Suspects(crash), crash.at + kQuarantineTime};
  Prune();
  if (quarantined.traits.empty()) return std::nullopt;
  for (const RequestTrait trait : quarantined.traits) records_[trait].condemned = true;
  return AddEntry(quarantined, crash.at) ? std::make_optional(quarantined) : std::nullopt;
}

bool RequestQuarantine::AddEntry(const QuarantinedTraits& quarantined, absl::Time now) {
  std::erase_if(entries_, [&](const QuarantinedTraits& entry) { return entry.until < now; });
  for (QuarantinedTraits& entry : entries_) {
    if (entry.traits == quarantined.traits) entry.until = std::max(entry.until, quarantined.until);
    if (HoldsAll(quarantined.traits, entry.traits)) return false;
  }
  // The new entry covers those that need further traits.
  std::erase_if(entries_, [&](const QuarantinedTraits& entry) {
    return HoldsAll(entry.traits, quarantined.traits) && entry.until <= quarantined.until;
  });
  if (entries_.size() >= kMaxEntries) entries_.erase(entries_.begin());
  entries_.push_back(quarantined);
  ++version_;
  return true;
}

bool RequestQuarantine::Adopt(const QuarantinedTraits& quarantined, absl::Time now) {
  if (quarantined.traits.empty() || quarantined.until <= now) return false;
  QuarantinedTraits adopted{quarantined.traits, std::min(quarantined.until, now + kQuarantineTime)};
  std::sort(adopted.traits.begin(), adopted.traits.end());
  if (!AddEntry(adopted, now)) return false;
  for (const RequestTrait trait : adopted.traits) {
    Record& record = records_[trait];
    record.condemned = true;
    record.last_crash_at = std::max(record.last_crash_at, now);
  }
  Prune();
  return true;
}

absl::Duration RequestQuarantine::TimeLeft(std::span<const RequestTrait> traits,
                                           absl::Time now) const {
  absl::Duration left = absl::ZeroDuration();
  for (const QuarantinedTraits& entry : entries_) {
    if (HoldsAll(traits, entry.traits)) left = std::max(left, entry.until - now);
  }
  return left;
}

std::vector<QuarantinedTraits> RequestQuarantine::quarantined(absl::Time now) const {
  std::vector<QuarantinedTraits> in_force;
  for (const QuarantinedTraits& entry : entries_) {
    if (entry.until > now) in_force.push_back(entry);
  }
  return in_force;
}

std::vector<RequestFingerprint> RequestQuarantine::suspects() const {
  std::vector<RequestFingerprint> suspects;
  for (const auto& [trait, record] : records_) {
    const bool nearly = record.crashes.size() + 1 == kCrashesOfRequest;
    if (!record.is_request || record.condemned || !nearly) continue;
    suspects.push_back(trait);
    if (suspects.size() >= kMaxSuspects) break;
  }
  return suspects;
}

void RequestQuarantine::Prune() {
  if (records_.size() <= kMaxRecords) return;
  std::vector<absl::Time> touched;
  touched.reserve(records_.size());
  for (const auto& [trait, record] : records_) touched.push_back(record.touched_at());
  const auto middle = touched.begin() + static_cast<std::ptrdiff_t>(touched.size() / 2);
  std::nth_element(touched.begin(), middle, touched.end());
  const absl::Time cutoff = *middle;
  absl::flat_hash_set<RequestTrait> quarantined;
  for (const QuarantinedTraits& entry : entries_) {
    quarantined.insert(entry.traits.begin(), entry.traits.end());
  }
  absl::erase_if(records_, [&](const auto& entry) {
    return entry.second.touched_at() < cutoff && !quarantined.contains(entry.first);
  });
}

}  // namespace marigoldquay
