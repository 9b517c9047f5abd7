// Evidence about prompt parts and their quarantine.
#include "marigoldquay/dispatch/prompt_quarantine.h"

#include <algorithm>

namespace marigoldquay {
namespace {

// Crashes until a part is quarantined: one may have another cause.
constexpr std::size_t kCrashesOfUnprovenPart = 2;
// A part that was answered lately is shared by sound requests, which are broken off together with
// deadly ones.
constexpr std::size_t kCrashesOfProvenPart = 4;
constexpr absl::Duration kEvidenceLifetime = absl::Minutes(5);
// The engines may have been repaired by then; if not, the next crash quarantines the part again.
constexpr absl::Duration kQuarantineTime = absl::Minutes(10);
// An engine needs longer to start again.
constexpr absl::Duration kSameCrashWindow = absl::Seconds(1);
// Some 2 MB.
constexpr std::size_t kMaxRecords = 16'384;
// Far more than prompts that crash engines at the same time.
constexpr std::size_t kMaxEntries = 256;

bool HoldsAll(std::span<const PromptPartId> parts, const std::vector<PromptPartId>& required) {
  return std::all_of(required.begin(), required.end(), [&](PromptPartId part) {
    return std::find(parts.begin(), parts.end(), part) != parts.end();
  });
}

}  // namespace

void PromptQuarantine::OnServed(std::span<const PromptPartId> parts, absl::Time began_at) {
  for (const PromptPartId part : parts) {
    Record& record = records_[part];
    record.served_at = std::max(record.served_at, began_at);
    std::erase_if(record.crashes, [&](const CountedCrash& crash) { return crash.at < began_at; });
    if (began_at < record.last_crash_at) continue;
    record.condemned = false;
    for (QuarantinedPrompt& entry : entries_) std::erase(entry.parts, part);
  }
  std::erase_if(entries_, [](const QuarantinedPrompt& entry) { return entry.parts.empty(); });
  Prune();
}

bool PromptQuarantine::Count(Record& record, const EngineCrash& crash) {
  auto& crashes = record.crashes;
  const auto is_same = [&](const CountedCrash& counted) {
    return counted.engine == crash.engine &&
           absl::AbsDuration(crash.at - counted.at) < kSameCrashWindow;
  };
  if (crash.at < record.served_at || std::any_of(crashes.begin(), crashes.end(), is_same)) {
    return false;
  }
  std::erase_if(crashes, [&](const CountedCrash& counted) {
    return crash.at - counted.at > kEvidenceLifetime;
  });
  if (crashes.size() >= kCrashesOfProvenPart) crashes.erase(crashes.begin());
  crashes.push_back({crash.engine, crash.at});
  record.last_crash_at = std::max(record.last_crash_at, crash.at);
  return true;
}

std::size_t PromptQuarantine::CrashesToQuarantine(const Record& record, absl::Time now) {
  if (record.condemned) return 1;
  const bool proven = now - record.served_at < kEvidenceLifetime;
  return proven ? kCrashesOfProvenPart : kCrashesOfUnprovenPart;
}

std::vector<PromptPartId> PromptQuarantine::Suspects(const EngineCrash& crash) const {
  std::vector<PromptPartId> suspects;
  std::size_t most = 0;
  for (const PromptPartId part : crash.parts) {
    const Record& record = records_.at(part);
    const std::size_t count = record.crashes.size();
    if (count < CrashesToQuarantine(record, crash.at) || count < most) continue;
    if (count > most) suspects.clear();
    most = count;
    suspects.push_back(part);
  }
  std::sort(suspects.begin(), suspects.end());
  suspects.erase(std::unique(suspects.begin(), suspects.end()), suspects.end());
  return suspects;
}

std::optional<QuarantinedPrompt> PromptQuarantine::OnCrash(const EngineCrash& crash) {
  bool counted = false;
  for (const PromptPartId part : crash.parts) counted = Count(records_[part], crash) || counted;
  if (!counted) return std::nullopt;
  const QuarantinedPrompt prompt{Suspects(crash), crash.at + kQuarantineTime};
  Prune();
  if (prompt.parts.empty()) return std::nullopt;
  for (const PromptPartId part : prompt.parts) records_[part].condemned = true;
  return AddEntry(prompt, crash.at) ? std::make_optional(prompt) : std::nullopt;
}

bool PromptQuarantine::AddEntry(const QuarantinedPrompt& prompt, absl::Time now) {
  std::erase_if(entries_, [&](const QuarantinedPrompt& entry) { return entry.until < now; });
  for (QuarantinedPrompt& entry : entries_) {
    if (entry.parts == prompt.parts) entry.until = std::max(entry.until, prompt.until);
    if (HoldsAll(prompt.parts, entry.parts)) return false;
  }
  // The new entry covers those that need further parts.
  std::erase_if(entries_, [&](const QuarantinedPrompt& entry) {
    return HoldsAll(entry.parts, prompt.parts) && entry.until <= prompt.until;
  });
  if (entries_.size() >= kMaxEntries) entries_.erase(entries_.begin());
  entries_.push_back(prompt);
  return true;
}

bool PromptQuarantine::Adopt(const QuarantinedPrompt& prompt, absl::Time now) {
  if (prompt.parts.empty() || prompt.until <= now) return false;
  QuarantinedPrompt adopted{prompt.parts, std::min(prompt.until, now + kQuarantineTime)};
  std::sort(adopted.parts.begin(), adopted.parts.end());
  if (!AddEntry(adopted, now)) return false;
  for (const PromptPartId part : adopted.parts) {
    Record& record = records_[part];
    record.condemned = true;
    record.last_crash_at = std::max(record.last_crash_at, now);
  }
  Prune();
  return true;
}

absl::Duration PromptQuarantine::TimeLeft(std::span<const PromptPartId> parts,
                                          absl::Time now) const {
  absl::Duration left = absl::ZeroDuration();
  for (const QuarantinedPrompt& entry : entries_) {
    if (HoldsAll(parts, entry.parts)) left = std::max(left, entry.until - now);
  }
  return left;
}

std::vector<QuarantinedPrompt> PromptQuarantine::quarantined(absl::Time now) const {
  std::vector<QuarantinedPrompt> prompts;
  for (const QuarantinedPrompt& entry : entries_) {
    if (entry.until > now) prompts.push_back(entry);
  }
  return prompts;
}

void PromptQuarantine::Prune() {
  if (records_.size() <= kMaxRecords) return;
  std::vector<absl::Time> touched;
  touched.reserve(records_.size());
  for (const auto& [part, record] : records_) touched.push_back(record.touched_at());
  const auto middle = touched.begin() + static_cast<std::ptrdiff_t>(touched.size() / 2);
  std::nth_element(touched.begin(), middle, touched.end());
  const absl::Time cutoff = *middle;
  absl::erase_if(records_, [&](const auto& entry) {
    return entry.second.touched_at() < cutoff && !entry.second.condemned;
  });
}

}  // namespace marigoldquay
