// Finds requests that crash backend servers, by the parts of their prompts and as a whole, and
// quarantines them.
//
// Handles requests that end every server which begins to run or to answer them: without a
// quarantine, each new request of the kind and each retry ends another server, together with all
// sound requests on it.
#ifndef MARIGOLDQUAY_DISPATCH_REQUEST_QUARANTINE_H_
#define MARIGOLDQUAY_DISPATCH_REQUEST_QUARANTINE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "marigoldquay/core/types.h"

namespace marigoldquay {

/// Hash of the method, target, workspace and body of a request; 0 when unknown. Retries have the
/// same one.
using RequestFingerprint = std::uint64_t;
/// What the evidence is about: a part of a prompt, or the fingerprint of a request.
using RequestTrait = std::uint64_t;

/// Crash of a backend server under a request that it had not answered.
struct ServerCrash {
  BackendServerId server;
  /// Parts of the prompt that the request may share with others.
  std::vector<PromptPartId> parts;
  absl::Time at;
  RequestFingerprint request = 0;

  bool operator==(const ServerCrash&) const = default;
};

/// Requests with all of these traits are refused.
struct QuarantinedTraits {
  /// Sorted; never empty. More than one when the evidence does not tell which of them is deadly.
  std::vector<RequestTrait> traits;
  absl::Time until;

  bool operator==(const QuarantinedTraits&) const = default;
};

/// Evidence about requests, as known to one VM. A part of a prompt is quarantined when servers
/// crash under requests with it and no request with it has been answered since the first of these
/// crashes. A part that was answered lately needs more crashes, so that the parts which sound
/// requests share with deadly ones stay in use; traits with the same evidence are quarantined in
/// combination only. A request as a whole needs three crashes, since one crash breaks off all
/// requests of the server. Deterministic: all inputs are arguments. Not thread-safe.
class RequestQuarantine {
 public:
  /// A stream that has been sending events for this long shows that its parts crash no engine.
  static constexpr absl::Duration kProvenAfter = absl::Milliseconds(50);
  static constexpr std::size_t kMaxSuspects = 32;

  /// A request with these parts was answered, beginning at `began_at`. Ends quarantines that this
  /// contradicts, and takes the parts out of those that they share with others.
  void OnServed(std::span<const PromptPartId> parts, absl::Time began_at);
  /// The same for a request as a whole. Nothing is kept of requests under which no server crashed.
  void OnRequestServed(RequestFingerprint request, absl::Time began_at);
  /// Returns the quarantine that begins because of the crash. Requests that the same crash broke
  /// off count once for each trait.
  std::optional<QuarantinedTraits> OnCrash(const ServerCrash& crash);
  /// Adopts the decision of another VM. Returns whether it is new here.
  bool Adopt(const QuarantinedTraits& quarantined, absl::Time now);

  /// Time for which a request with these traits is refused; zero when it is not.
  absl::Duration TimeLeft(std::span<const RequestTrait> traits, absl::Time now) const;
  /// All quarantines that are in force.
  std::vector<QuarantinedTraits> quarantined(absl::Time now) const;
  /// Requests that one more crash would quarantine; at most kMaxSuspects.
  std::vector<RequestFingerprint> suspects() const;
  /// Incremented when a quarantine begins or ends early.
  std::uint64_t version() const { return version_; }
  /// Number of traits about which something is known.
  std::size_t size() const { return records_.size(); }

 private:
  struct CountedCrash {
    BackendServerId server;
    absl::Time at;
  };
  struct Record {
    bool is_request = false;
    // When the last answer that proved the trait sound began.
    absl::Time served_at = absl::InfinitePast();
    // Distinct crashes since then, within kEvidenceLifetime; at most kMaxCountedCrashes.
    std::vector<CountedCrash> crashes;
    absl::Time last_crash_at = absl::InfinitePast();
    // Whether it has been quarantined and not been served since.
    bool condemned = false;

    absl::Time touched_at() const { return std::max(served_at, last_crash_at); }
  };

  // Adds the crash; returns false when it was counted before, e.g. for another request.
  static bool Count(Record& record, const ServerCrash& crash);
  static std::size_t CrashesToQuarantine(const Record& record, absl::Time now);
  void OnServed(RequestTrait trait, Record& record, absl::Time began_at);
  void RemoveEmptyEntries();
  // Traits of the request that may have caused the crash, those with the most evidence only;
  // sorted.
  std::vector<RequestTrait> Suspects(const ServerCrash& crash) const;
  // Returns whether no other entry covers it already.
  bool AddEntry(const QuarantinedTraits& quarantined, absl::Time now);
  // Drops the oldest evidence when there is too much.
  void Prune();

  absl::flat_hash_map<RequestTrait, Record> records_;
  // At most kMaxEntries.
  std::vector<QuarantinedTraits> entries_;
  std::uint64_t version_ = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_DISPATCH_REQUEST_QUARANTINE_H_
