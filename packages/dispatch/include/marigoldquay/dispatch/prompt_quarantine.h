// Finds prompt parts that crash engines, and quarantines them.
//
// Handles requests that end every engine which begins to answer them: without a
// quarantine, each new request and each retry with the same part ends another engine,
// together with all sound streams on it.
#ifndef MARIGOLDQUAY_DISPATCH_PROMPT_QUARANTINE_H_
#define MARIGOLDQUAY_DISPATCH_PROMPT_QUARANTINE_H_

#include <algorithm>
#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "marigoldquay/core/types.h"

namespace marigoldquay {

/// Crash of an engine under a request that had not been answered yet.
struct EngineCrash {
  BackendServerId engine;
  /// Parts of the prompt that the request may share with others.
  std::vector<PromptPartId> parts;
  absl::Time at;

  bool operator==(const EngineCrash&) const = default;
};

/// Requests whose prompts hold all of these parts are refused.
struct QuarantinedPrompt {
  /// Sorted; never empty. More than one when the evidence does not tell which of them is deadly.
  std::vector<PromptPartId> parts;
  absl::Time until;

  bool operator==(const QuarantinedPrompt&) const = default;
};

/// Evidence about prompt parts, as known to one VM. A part is quarantined when engines crash under
/// requests with it and no request with it has been answered since the first of these crashes. A
/// part that was answered lately needs more crashes, so that the parts which sound requests share
/// with deadly ones stay in use; parts with the same evidence are quarantined in combination only.
/// Deterministic: all inputs are arguments. Not thread-safe.
class PromptQuarantine {
 public:
  /// A stream that has been sending events for this long shows that its parts crash no engine.
  static constexpr absl::Duration kProvenAfter = absl::Milliseconds(50);

  /// A request with these parts was answered, beginning at `began_at`. Ends quarantines that this
  /// contradicts, and takes the parts out of those that they share with others.
  void OnServed(std::span<const PromptPartId> parts, absl::Time began_at);
  /// Returns the quarantine that begins because of the crash. Requests that the same crash broke
  /// off count once for each part.
  std::optional<QuarantinedPrompt> OnCrash(const EngineCrash& crash);
  /// Adopts the decision of another VM. Returns whether it is new here.
  bool Adopt(const QuarantinedPrompt& prompt, absl::Time now);

  /// Time for which a request with these parts is refused; zero when it is not.
  absl::Duration TimeLeft(std::span<const PromptPartId> parts, absl::Time now) const;
  /// All quarantines that are in force.
  std::vector<QuarantinedPrompt> quarantined(absl::Time now) const;
  /// Number of parts about which something is known.
  std::size_t size() const { return records_.size(); }

 private:
  struct CountedCrash {
    BackendServerId engine;
    absl::Time at;
  };
  struct Record {
    // When the last stream that proved the part sound began.
    absl::Time served_at = absl::InfinitePast();
    // Distinct crashes since then, within kEvidenceLifetime; at most kCrashesOfProvenPart.
    std::vector<CountedCrash> crashes;
    absl::Time last_crash_at = absl::InfinitePast();
    // Whether it has been quarantined and not been served since.
    bool condemned = false;

    absl::Time touched_at() const { return std::max(served_at, last_crash_at); }
  };

  // Adds the crash; returns false when it was counted before, e.g. for another request.
  static bool Count(Record& record, const EngineCrash& crash);
  static std::size_t CrashesToQuarantine(const Record& record, absl::Time now);
  // Parts of the request that may have caused the crash, those with the most evidence only; sorted.
  std::vector<PromptPartId> Suspects(const EngineCrash& crash) const;
  // Returns whether no other entry covers it already.
  bool AddEntry(const QuarantinedPrompt& prompt, absl::Time now);
  // Drops the oldest evidence when there is too much.
  void Prune();

  absl::flat_hash_map<PromptPartId, Record> records_;
  // At most kMaxEntries.
  std::vector<QuarantinedPrompt> entries_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_DISPATCH_PROMPT_QUARANTINE_H_
