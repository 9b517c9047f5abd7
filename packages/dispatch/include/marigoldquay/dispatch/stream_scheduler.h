// Places model requests of one service on its prefill and decode engines.
//
// Handles long prompts that arrive faster than the engines can prefill them: a request
// that can meet its first-token target is placed immediately, and its decode memory is
// reserved before its prefill starts. A request that cannot meet the target waits for
// spare capacity until its caller gives up, and is refused immediately when it cannot
// be served by then.
#ifndef MARIGOLDQUAY_DISPATCH_STREAM_SCHEDULER_H_
#define MARIGOLDQUAY_DISPATCH_STREAM_SCHEDULER_H_

#include <array>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/dispatch/quota_ledger.h"
#include "marigoldquay/dispatch/role_planner.h"
#include "marigoldquay/routing/catalog.h"
#include "marigoldquay/routing/replica_table.h"

namespace marigoldquay {

/// Resource demand and time limits of one request.
struct StreamDemand {
  RequestId request;
  TokenCount prompt_tokens = 0;
  TokenCount output_tokens = 0;
  /// Latest time at which the first event is on time.
  absl::Time first_event_due;
  /// Time at which the caller gives up when it has received no event.
  absl::Time caller_deadline;
  /// 0 is the highest priority.
  int priority = 0;
  std::string availability_zone;
  /// Engines that have already failed this request.
  std::vector<BackendServerId> excluded;
  /// Parts of the prompt that other requests may share.
  std::vector<PromptPartId> shared_parts;
  /// Software version that the decode engine must have, as it began the stream; unset for a stream
  /// that any version may begin. Prefill engines may have any version.
  std::optional<std::string> software_version;

  bool operator==(const StreamDemand&) const = default;
};

/// Result of a placement attempt.
enum class StreamVerdict { kGranted, kQueued, kRefused };

/// Placement decision on a demand. The ticket identifies the demand in later calls.
struct StreamDecision {
  StreamVerdict verdict = StreamVerdict::kRefused;
  std::uint64_t ticket = 0;
  /// Unset when the decode engine prefills the prompt itself.
  std::optional<BackendServerId> prefill;
  BackendServerId decode;
  /// Predicted time to the first event.
  absl::Duration expected;
  /// When refused: the time after which capacity is likely.
  absl::Duration retry_after;
  /// When refused: the reason, for the log.
  std::string reason;

  bool operator==(const StreamDecision&) const = default;
};

/// How a placed request ended.
enum class StreamEnd {
  kDone,
  /// The caller disconnected or the deadline passed.
  kCancelled,
  /// The decode engine did not accept the request.
  kRefused,
  /// The prefill engine dropped the KV cache before the decode engine fetched it.
  kCacheLost,
  /// Another instance of an engine runs at the address of the decode engine.
  kEngineReplaced,
  /// The decode engine broke off the stream or was unreachable.
  kFailed,
};

/// Options of a StreamScheduler.
struct StreamSchedulerOptions {
  /// Fraction of every engine that this scheduler may use; below 1 when several schedulers are
  /// active.
  double share = 1.0;
  /// Charged for the requests to engines that state a request limit; limits are ignored when null.
  QuotaLedger* request_quota = nullptr;
};

/// Places the requests of one service. Deterministic: all inputs are arguments. Not thread-safe.
class StreamScheduler {
 public:
  explicit StreamScheduler(StreamSchedulerOptions options = {}) : options_(options) {}

  void SetShare(double share) { options_.share = share; }
  /// Replaces the limits and the replicas of the service. `replicas` must omit draining ones.
  void SetEngines(const EngineProfile& profile, std::span<const Replica> replicas);

  /// Grants, queues or refuses a new demand.
  StreamDecision Place(const StreamDemand& demand, absl::Time now);
  /// Takes over a request that another scheduler has placed; returns its ticket in this scheduler.
  std::uint64_t Adopt(const StreamDemand& demand, const BackendServerId& decode, absl::Time now);
  /// Decides on waiting demands. Must be called every few tens of ms while demands wait. The result
  /// contains only the demands that this call granted or refused.
  std::vector<StreamDecision> PlaceWaiting(absl::Time now);

  /// The prefill of a granted demand ended; `ok` is true when its KV cache is available.
  void OnPrefillEnd(std::uint64_t ticket, bool ok, absl::Time now);
  /// The decode engine sent the first event.
  void OnFirstEvent(std::uint64_t ticket, absl::Time now);
  /// The demand ended, possibly while waiting; releases its reservation. Ignores unknown tickets.
  void OnEnd(std::uint64_t ticket, StreamEnd end, absl::Time now);

  /// Load since the last call.
  ServiceLoad TakeLoad(absl::Time now);
  /// The engine is about to change its role: it gets no requests until SetEngines lists the new
  /// role, or until `until`.
  void OnRoleChangeAccepted(absl::string_view engine, absl::Time until);

  /// Calls `visit` for every running stream that began to send events before `before`, with the
  /// time at which it did.
  void VisitBegun(absl::Time before,
                  const std::function<void(const StreamDemand&, absl::Time)>& visit) const;
  /// As VisitBegun, for one stream only.
  void VisitBegun(std::uint64_t ticket, absl::Time before,
                  const std::function<void(const StreamDemand&, absl::Time)>& visit) const;

  /// The request of a ticket that was granted or adopted here; nullopt for others.
  std::optional<RequestId> RequestOf(std::uint64_t ticket) const;
  /// The request of a ticket that was granted here and has sent no event; nullopt for others.
  std::optional<RequestId> RequestWithoutEvents(std::uint64_t ticket) const;

  std::size_t waiting() const { return waiting_.size(); }
  std::size_t running() const { return placed_.size(); }
  /// Tokens reserved at the engine; 0 for an unknown engine.
  TokenCount reserved_tokens(absl::string_view engine) const;
  /// Load of the engines in the decision and the numbers of running and waiting demands, for the
  /// log.
  std::string Describe(const StreamDecision& decision, absl::Time now) const;

 private:
  // Size of a demand that did not fit into an engine.
  struct CapacityRefusal {
    TokenCount prompt_tokens = 0;
    TokenCount output_tokens = 0;
    absl::Time refused_at = absl::InfinitePast();
  };
  struct Engine {
    Replica replica;
    // Time to prefill one prompt token, in ms.
    double prefill_ms_per_token = 0;
    // Time at which the prefills placed on the engine are expected to be complete.
    absl::Time prefill_busy_until = absl::InfinitePast();
    // Time between two generated tokens of a stream, in ms.
    double decode_ms_per_token = 0;
    // Sum of the final token counts of its streams.
    TokenCount reserved = 0;
    int running = 0;
    // Tickets of the running streams.
    std::vector<std::uint64_t> streams;
    // The last demand that did not fit, by urgency.
    std::array<CapacityRefusal, 2> last_refusal;
    int failures = 0;
    absl::Time suspended_until = absl::InfinitePast();
    // When a stream of the engine last started or completed.
    absl::Time last_activity = absl::InfinitePast();
  };
  struct PlacedStream {
    StreamDemand demand;
    std::optional<BackendServerId> prefill;
    BackendServerId decode;
    absl::Time placed_at;
    // When the prefill is expected to be complete.
    absl::Time prefill_done_at;
    // When the first event arrived or is expected.
    absl::Time first_event;
    bool prefilling = true;
    bool started = false;
    // Another scheduler placed it, so it is unknown when it began.
    bool adopted = false;
  };
  struct Candidate {
    // Null when the decode engine prefills the prompt itself.
    Engine* prefill = nullptr;
    Engine* decode = nullptr;
    // Time until the prefill is complete, including the backlog of the engine, in ms.
    double prefill_ms = 0;
    double cost_ms = 0;
  };
  // A prefill engine and the time until it would complete the prefill, in ms.
  struct PrefillOption {
    Engine* engine = nullptr;
    double prefill_ms = 0;
  };
  // Lower bounds over all engines: the earliest end of a prefill backlog and the least time per
  // prompt token, in ms.
  struct EngineBounds {
    absl::Time earliest_idle = absl::InfiniteFuture();
    double min_ms_per_token = std::numeric_limits<double>::infinity();
  };
  using Engines = std::map<BackendServerId, Engine, std::less<>>;

  // Late demands leave more headroom than demands that can be on time.
  enum class Urgency { kOnTime, kLate };

  // Whether the engine may decode the stream, which only its own software version can continue.
  static bool HasRequiredVersion(const Engine& engine, const StreamDemand& demand);
  bool HasDecodeEngine(const StreamDemand& demand) const;
  // Of the engines of the role that have the version that the demand requires.
  bool AllSuspended(EngineRole role, const StreamDemand& demand, absl::Time now) const;
  // Whether several streams of the engine are overdue and no stream has made progress since.
  bool IsStalled(const Engine& decode, absl::Time now) const;
  bool IsUsable(const Engine& engine, const StreamDemand& demand, absl::Time now) const;
  // Whether the request limit of the engine allows another request now.
  bool AcceptsRequest(const Engine& engine, absl::Time now) const;
  // Charges a request to the limit of the engine.
  void ChargeRequest(const Engine& engine, absl::Time now) const;
  // Time until the request limits of the decode engines allow a demand behind all waiting ones;
  // zero when a usable engine has no limit.
  absl::Duration WaitingRequestTime(const StreamDemand& demand, absl::Time now) const;
  bool HasCapacity(Engine& decode, const StreamDemand& demand, Urgency urgency,
                   absl::Time now) const;
  // Peak number of tokens that the engine will hold if it accepts the demand.
  double PeakTokens(const Engine& decode, const StreamDemand& demand, absl::Time now) const;
  // Time until the engine would complete the prefill, in ms; `factor` is 1 for prefill engines.
  double PrefillMs(const Engine& engine, double factor, const StreamDemand& demand,
                   absl::Time now) const;
  // The prefill engine of each availability zone that would complete the prefill first.
  std::vector<PrefillOption> EarliestPrefillOptions(const StreamDemand& demand, Urgency urgency,
                                                    absl::Time now);
  // The cheapest way to prefill the prompt for the decode engine.
  std::optional<Candidate> BestPrefillOption(Engine& decode,
                                             const std::vector<PrefillOption>& prefill_options,
                                             const StreamDemand& demand, Urgency urgency,
                                             absl::Time now) const;
  // Whether any decode engine has capacity, regardless of the prefill.
  bool AnyDecodeHasCapacity(const StreamDemand& demand, absl::Time now);
  EngineBounds ComputeEngineBounds() const;
  bool MayStart(const EngineBounds& bounds, const StreamDemand& demand, absl::Time now) const;
  // Waiting tickets by priority, then by order of arrival.
  std::vector<std::uint64_t> WaitingOrder() const;
  std::optional<Candidate> FindBestCandidate(const StreamDemand& demand, Urgency urgency,
                                             absl::Time now);
  StreamDecision Grant(std::uint64_t ticket, const StreamDemand& demand, const Candidate& candidate,
                       absl::Time now);
  // `min_wait` is the least time after which the caller may retry.
  StreamDecision Refuse(std::uint64_t ticket, std::string reason, absl::Time now,
                        absl::Duration min_wait = absl::ZeroDuration()) const;
  absl::Duration WaitingPrefillTime() const;
  void UpdateDecodeSpeed(Engine& engine, const PlacedStream& placed, absl::Time now) const;
  void UpdatePrefillSpeed(Engine& engine, const PlacedStream& placed, absl::Time now);
  static void Suspend(Engine& engine, absl::Duration step, absl::Time now);
  Engine* Find(absl::string_view id);

  StreamSchedulerOptions options_;
  EngineProfile profile_;
  Engines engines_;
  std::map<std::uint64_t, PlacedStream> placed_;
  // Ordered by ticket, which is the order of arrival.
  std::map<std::uint64_t, StreamDemand> waiting_;
  std::uint64_t next_ticket_ = 1;
  // Prefill time placed on prefill engines since the last TakeLoad, in ms.
  double prefill_ms_placed_ = 0;
  absl::Time load_taken_ = absl::InfinitePast();
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_DISPATCH_STREAM_SCHEDULER_H_
