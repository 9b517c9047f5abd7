// Places model requests of one service on its prefill and decode engines.
//
// It answers the load of long prompts that arrive faster than they can be read:
// a request that can still meet its first-token target is placed at once, with
// its decode memory reserved before its prefill starts. One that cannot waits
// for capacity that the others leave, for as long as its caller stays, and is
// rejected at once when that will not do.
#ifndef MARIGOLDQUAY_DISPATCH_STREAM_SCHEDULER_H_
#define MARIGOLDQUAY_DISPATCH_STREAM_SCHEDULER_H_

#include <array>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/dispatch/role_planner.h"
#include "marigoldquay/routing/catalog.h"
#include "marigoldquay/routing/replica_table.h"

namespace marigoldquay {

/// What one request needs.
struct StreamDemand {
  RequestId request;
  TokenCount prompt_tokens = 0;
  TokenCount output_tokens = 0;
  /// When the first event is due to be on time.
  absl::Time due;
  /// When the caller leaves without a first event.
  absl::Time caller_deadline;
  /// 0 is the most urgent.
  int priority = 0;
  std::string availability_zone;
  /// Engines that already failed for this request.
  std::vector<BackendServerId> excluded;

  bool operator==(const StreamDemand&) const = default;
};

enum class StreamVerdict { kGranted, kQueued, kRefused };

/// What became of a demand. The ticket names it in later calls.
struct StreamDecision {
  StreamVerdict verdict = StreamVerdict::kRefused;
  std::uint64_t ticket = 0;
  /// Unset when the decode engine is to read the prompt itself.
  std::optional<BackendServerId> prefill;
  BackendServerId decode;
  /// Predicted time to the first event.
  absl::Duration expected;
  /// When last_refusal: the time after which capacity is likely.
  absl::Duration retry_after;
  /// When last_refusal: why, for the log.
  std::string reason;

  bool operator==(const StreamDecision&) const = default;
};

/// How a placed request ended.
enum class StreamEnd {
  kDone,
  /// The caller left or the time was up.
  kCancelled,
  /// The decode engine did not take it.
  kRefused,
  /// The KV cache was gone from the prefill engine before the decode engine could fetch it.
  kCacheLost,
  /// Another start of an engine has the decode engine's address.
  kEngineReplaced,
  /// The decode engine broke off or could not be reached.
  kFailed,
};

struct StreamSchedulerOptions {
  /// Part of every engine that this scheduler may fill; below 1 when several schedulers act.
  double share = 1.0;
};

/// Deterministic: all inputs are arguments. Not thread-safe.
class StreamScheduler {
 public:
  explicit StreamScheduler(StreamSchedulerOptions options = {}) : options_(options) {}

  void SetShare(double share) { options_.share = share; }
  /// Takes over the service's limits and its replicas; draining ones must be left out.
  void SetEngines(const EngineProfile& profile, std::span<const Replica> replicas);

  /// Decides on a new demand.
  StreamDecision Place(const StreamDemand& demand, absl::Time now);
  /// Takes over a request that another scheduler placed; returns its ticket here.
  std::uint64_t Adopt(const StreamDemand& demand, const BackendServerId& decode, absl::Time now);
  /// Decides on waiting demands; to be called every few ten ms while some are waiting. Contains
  /// only those that were granted or last_refusal now.
  std::vector<StreamDecision> PlaceWaiting(absl::Time now);

  /// The prefill of a granted demand ended; `ok` tells whether its result is there.
  void OnPrefillEnd(std::uint64_t ticket, bool ok, absl::Time now);
  /// The decode engine sent the first event.
  void OnFirstEvent(std::uint64_t ticket, absl::Time now);
  /// The demand ended, also while waiting; frees what was reserved. Unknown tickets are ignored.
  void OnEnd(std::uint64_t ticket, StreamEnd end, absl::Time now);

  /// Load since the last call.
  ServiceLoad TakeLoad(absl::Time now);
  /// The engine is about to change its role: it gets no requests until its entry says so, or until
  /// `until`.
  void OnRoleChangeAccepted(absl::string_view engine, absl::Time until);

  std::size_t waiting() const { return waiting_.size(); }
  std::size_t running() const { return placed_.size(); }
  /// Tokens reserved at an engine; 0 for unknown ones.
  TokenCount reserved_tokens(absl::string_view engine) const;
  /// Load of the engines that a decision names, and how many demands run and wait, for the log.
  std::string Describe(const StreamDecision& decision, absl::Time now) const;

 private:
  struct CapacityRefusal {
    TokenCount prompt_tokens = 0;
    TokenCount output_tokens = 0;
    absl::Time refused_at = absl::InfinitePast();
  };
  struct Engine {
    Replica replica;
    // Time that the engine needs to read one prompt token, in ms.
    double prefill_ms_per_token = 0;
    // When the prompts that it was given are read.
    absl::Time prefill_busy_until = absl::InfinitePast();
    // Time between two generated tokens of a stream, in ms.
    double decode_ms_per_token = 0;
    // Tokens that its streams have when all are complete.
    TokenCount reserved = 0;
    int running = 0;
    // Tickets of these streams.
    std::vector<std::uint64_t> streams;
    // The smallest demand that has lately found no room, by urgency.
    std::array<CapacityRefusal, 2> last_refusal;
    int failures = 0;
    absl::Time suspended_until = absl::InfinitePast();
    // When a stream last began or ended well there.
    absl::Time last_activity = absl::InfinitePast();
  };
  struct PlacedStream {
    StreamDemand demand;
    std::optional<BackendServerId> prefill;
    BackendServerId decode;
    absl::Time placed_at;
    // When the prompt is expected to be read.
    absl::Time prefill_done_at;
    // When the first event came, or is expected.
    absl::Time first_event;
    bool prefilling = true;
    bool started = false;
  };
  struct Candidate {
    // Null when the decode engine is to read the prompt itself.
    Engine* prefill = nullptr;
    Engine* decode = nullptr;
    // Time until the prompt is read, in ms.
    double prefill_ms = 0;
    double cost_ms = 0;
  };
  // A prefill engine and the time until it would have read the prompt, in ms.
  struct PrefillOption {
    Engine* engine = nullptr;
    double prefill_ms = 0;
  };
  // What no engine can beat: the first to be free for a prompt, and the fastest.
  struct EngineBounds {
    absl::Time earliest_idle = absl::InfiniteFuture();
    double min_ms_per_token = std::numeric_limits<double>::infinity();
  };
  using Engines = std::map<BackendServerId, Engine, std::less<>>;

  // Headroom differs: waiting demands leave memory to those that can be on time.
  enum class Urgency { kOnTime, kLate };

  bool AllSuspended(EngineRole role, absl::Time now) const;
  // Whether several streams have waited for long without any sign of life from their engine.
  bool IsStalled(const Engine& decode, absl::Time now) const;
  bool IsUsable(const Engine& engine, const StreamDemand& demand, absl::Time now) const;
  bool HasCapacity(Engine& decode, const StreamDemand& demand, Urgency urgency,
                   absl::Time now) const;
  // Most tokens that the engine will hold at any time from now on if it takes the demand.
  double PeakTokens(const Engine& decode, const StreamDemand& demand, absl::Time now) const;
  // Time until the engine would have read the prompt, in ms; `factor` is 1 for prefill engines.
  double PrefillMs(const Engine& engine, double factor, const StreamDemand& demand,
                   absl::Time now) const;
  // The prefill engine of each availability zone that would have read the prompt first.
  std::vector<PrefillOption> EarliestPrefillOptions(const StreamDemand& demand, Urgency urgency,
                                                    absl::Time now);
  // The cheapest way to read the prompt for the decode engine.
  std::optional<Candidate> BestPrefillOption(Engine& decode,
                                             const std::vector<PrefillOption>& options,
                                             const StreamDemand& demand, Urgency urgency,
                                             absl::Time now) const;
  // Whether some decode engine has room, whoever reads the prompt.
  bool AnyDecodeHasCapacity(const StreamDemand& demand, absl::Time now);
  EngineBounds ComputeEngineBounds() const;
  bool MayStart(const EngineBounds& bounds, const StreamDemand& demand, absl::Time now) const;
  // Waiting tickets by priority, then by arrival.
  std::vector<std::uint64_t> WaitingOrder() const;
  std::optional<Candidate> FindBestCandidate(const StreamDemand& demand, Urgency urgency,
                                             absl::Time now);
  StreamDecision Grant(std::uint64_t ticket, const StreamDemand& demand, const Candidate& candidate,
                       absl::Time now);
  StreamDecision Refuse(std::uint64_t ticket, std::string reason, absl::Time now) const;
  absl::Duration WaitingPrefillTime() const;
  void UpdateDecodeSpeed(Engine& engine, const PlacedStream& placed, absl::Time now) const;
  void UpdatePrefillSpeed(Engine& engine, const PlacedStream& placed, absl::Time now);
  static void Suspend(Engine& engine, absl::Duration step, absl::Time now);
  Engine* Find(absl::string_view id);

  StreamSchedulerOptions options_;
  EngineProfile profile_;
  Engines engines_;
  std::map<std::uint64_t, PlacedStream> placed_;
  // By ticket, so in the order of arrival.
  std::map<std::uint64_t, StreamDemand> waiting_;
  std::uint64_t next_ticket_ = 1;
  // Reading time of the prompts that were placed on prefill engines, in ms, since the last
  // TakeLoad.
  double prefill_ms_placed_ = 0;
  absl::Time load_taken_ = absl::InfinitePast();
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_DISPATCH_STREAM_SCHEDULER_H_
