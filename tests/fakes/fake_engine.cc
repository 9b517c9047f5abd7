// Stand-in for a model engine: the interface of docs/design.md, section 11.
//
// Progress depends on time only: a hold ends when its time is over or it is cancelled, never
// because its client disconnected, as with real engines. A prefill's result is freed by its first
// transfer.
//
// POST /test/faults: freeze (answers nothing), refuse_all (429 to prefill and decode), delay_ms,
// stall_transfer_ms, and for decode streams cut_after=N (closes the connection after N tokens),
// truncate_after=N (ends the body without the final event), repeat_at=N, skip_at=N (token index),
// other_tokens (sends another request's answer and X-Request-Id); streams=K limits them to K
// streams. GET /test/stats: counts, see Stats().
#include <gflags/gflags.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <list>
#include <memory>
#include <random>
#include <stdexcept>
#include <thread>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "http_server.h"
#include "marigoldquay/core/clock.h"
#include "test_http.h"
#include "tokens.h"

DEFINE_int32(port, 0, "port on 127.0.0.1; 0 chooses one");
DEFINE_string(role, "both", "prefill, decode or both");
DEFINE_string(model, "brief-writer", "loaded model");
DEFINE_int32(slots, 20, "requests decoded at the same time");
DEFINE_int64(pieces, 400, "memory in pieces of 2,000 tokens");
DEFINE_int32(queue, 64, "prefills that may wait");
DEFINE_int64(prefill_tokens_per_s, 200000, "prefill rate");
DEFINE_double(token_ms, 20, "time between tokens");
DEFINE_int64(link_bytes_per_s, 2000000000, "rate of the transfer link");
DEFINE_int64(kv_bytes_per_token, 10000, "size of the KV cache of a token");
DEFINE_int64(evict_ms, 800, "time after which an unused prefill result is evicted");
DEFINE_int64(load_lag_ms, 300, "age of load reports");
DEFINE_int64(event_lag_ms, 500, "age of cache events");
DEFINE_double(event_gap, 0.02, "probability that a cache event is lost");
DEFINE_int32(prefix_cache, 64, "cached prefixes");
DEFINE_bool(check_fencing, false, "reject orders with an old fencing number");
DEFINE_string(order_token, "", "bearer token that orders must carry; empty accepts all");
DEFINE_uint64(seed, 1, "seed of the lost cache events");

namespace marigoldquay::testing {
namespace {

constexpr TokenCount kTokensPerPiece = 2000;
// A prefix is the first 2,000 tokens of a prompt at 4 bytes per token.
constexpr TokenCount kPrefixTokens = 2000;
constexpr std::size_t kPrefixBytes = 8000;
constexpr absl::Duration kTick = absl::Milliseconds(10);
constexpr absl::Duration kTombstoneLife = absl::Seconds(60);
constexpr std::size_t kMaxEvents = 10000;

absl::Time Now() { return SystemClock::Instance().Now(); }

enum class Phase { kQueued, kPrefilling, kReady, kTransferring, kImporting, kDecoding };

/// Memory held by one request.
struct Hold {
  std::string request_id;
  std::string holder;
  std::string handle;
  std::uint64_t prompt_hash = 0;
  TokenCount answer_length = 0;
  TokenCount prompt_tokens = 0;
  std::int64_t pieces = 0;
  std::int64_t priority = 0;
  Phase phase = Phase::kQueued;
  absl::Time created = Now();
  /// Eviction in kReady, last token in kDecoding.
  absl::Time ends = absl::InfiniteFuture();
  absl::Time decode_start;
  std::int64_t from_token = 0;
  bool cancelled = false;
};
/// Shared by the table and the handler that waits for it, which outlives the entry after a cancel.
using HoldPtr = std::shared_ptr<Hold>;

struct CacheEvent {
  std::int64_t seq = 0;
  std::string kind;
  std::string prefix;
  absl::Time visible_at;
};

std::string Text(const boost::json::object& object, const char* name) {
  const auto* value = object.if_contains(name);
  if (value == nullptr) throw std::invalid_argument(absl::StrCat("field ", name, " is missing"));
  return value->as_string().c_str();
}

std::int64_t Number(const boost::json::object& object, const char* name, std::int64_t fallback) {
  const auto* value = object.if_contains(name);
  return value == nullptr ? fallback : value->to_number<std::int64_t>();
}

class Engine {
 public:
  Engine() : random_(FLAGS_seed), role_(FLAGS_role), model_(FLAGS_model) {
    std::thread([this] {
      for (;; absl::SleepFor(kTick)) {
        absl::MutexLock lock(&mutex_);
        Sweep();
        loads_.emplace_back(Now(), Load());
        while (loads_.size() > 1 &&
               loads_[1].first <= Now() - absl::Milliseconds(FLAGS_load_lag_ms)) {
          loads_.pop_front();
        }
      }
    }).detach();
  }

  ServerResponse Handle(const ServerRequest& request) {
    if (request.path == "/test/faults") return faults_.Set(request);
    if (request.path == "/test/stats") return Stats();
    faults_.AwaitZero("freeze");
    faults_.SleepMs("delay_ms");
    ServerResponse response = Route(request);
    faults_.AwaitZero("freeze");
    if (response.status == 429) {
      absl::MutexLock lock(&mutex_);
      ++refusals_;
    }
    return response;
  }

 private:
  ServerResponse Route(const ServerRequest& request) {
    const bool refuse = faults_.Value("refuse_all") != 0;
    if (request.path == "/v1/prefill") {
      return refuse ? ErrorResponse(429, "refused") : Prefill(request.Json());
    }
    if (request.path == "/v1/decode") {
      return refuse ? ErrorResponse(429, "refused") : Decode(request.Json());
    }
    if (absl::StartsWith(request.path, "/v1/kv/")) return Export(request.path.substr(7));
    if (request.path == "/v1/cancel") return Cancel(Text(request.Json(), "request_id"));
    if (request.path == "/v1/orders") return Order(request);
    absl::MutexLock lock(&mutex_);
    Sweep();
    if (request.path == "/v1/holds") return JsonResponse(200, {{"holds", Holds()}});
    if (request.path == "/v1/load") {
      return JsonResponse(200, loads_.empty() ? Load() : loads_[0].second);
    }
    if (request.path == "/v1/cache_events") return CacheEvents(request.QueryInt("from", 0));
    return ErrorResponse(404, "no such path");
  }

  // Adds a hold, or sets `refusal`.
  HoldPtr Start(const boost::json::object& body, const char* role, Phase phase, TokenCount tokens,
                ServerResponse* refusal) {
    const std::string id = Text(body, "request_id");
    const std::string model = Text(body, "model");
    Sweep();
    const auto refuse = [&](int status, absl::string_view message) {
      *refusal = ErrorResponse(status, message);
      return nullptr;
    };
    if (tombstones_.contains(id)) return refuse(409, "cancelled before its start");
    if (role_ != role && role_ != "both") return refuse(400, "wrong role");
    if (model != model_) return refuse(404, "model is not loaded");
    if (phase == Phase::kQueued && Count(Phase::kQueued) >= FLAGS_queue) {
      return refuse(429, "queue is full");
    }
    if (phase == Phase::kImporting && SlotsUsed() >= FLAGS_slots) return refuse(429, "no slot");
    const std::int64_t pieces = (tokens + kTokensPerPiece - 1) / kTokensPerPiece;
    if (PiecesUsed() + pieces > FLAGS_pieces) return refuse(429, "no memory");
    auto hold = std::make_shared<Hold>();
    hold->request_id = id;
    hold->holder = Text(body, "holder");
    hold->pieces = pieces;
    hold->priority = Number(body, "priority", 0);
    hold->prompt_tokens = Number(body, "prompt_tokens", 0);
    hold->phase = phase;
    holds_.push_back(hold);
    started_[id] = Now();
    max_slots_used_ = std::max(max_slots_used_, SlotsUsed());
    return hold;
  }

  ServerResponse Prefill(const boost::json::object& body) {
    const std::string prompt = Text(body, "prompt");
    const TokenCount tokens = Number(body, "prompt_tokens", 0);
    absl::MutexLock lock(&mutex_);
    ServerResponse refusal;
    const HoldPtr hold = Start(body, "prefill", Phase::kQueued, tokens, &refusal);
    if (hold == nullptr) return refusal;
    hold->prompt_hash = StableHash(prompt);
    hold->answer_length = FakeAnswerLength(prompt);
    const auto my_turn = [&] { return hold->cancelled || IsNextPrefill(*hold); };
    mutex_.Await(absl::Condition(&my_turn));
    if (hold->cancelled) return ErrorResponse(409, "cancelled");
    hold->phase = Phase::kPrefilling;
    const TokenCount cached = UsePrefix(prompt, tokens);
    const absl::Duration duration =
        absl::Seconds(static_cast<double>(tokens - cached) / FLAGS_prefill_tokens_per_s);
    mutex_.AwaitWithTimeout(absl::Condition(&hold->cancelled), duration);
    if (hold->cancelled) return ErrorResponse(409, "cancelled");
    hold->phase = Phase::kReady;
    hold->handle = absl::StrCat("kv-", absl::Hex(random_(), absl::kZeroPad16));
    hold->ends = Now() + absl::Milliseconds(FLAGS_evict_ms);
    ++prefills_;
    prefill_tokens_ += tokens;
    return JsonResponse(200, {{"handle", hold->handle},
                              {"pieces", hold->pieces},
                              {"prompt_tokens", tokens},
                              {"cached_tokens", cached}});
  }

  // Higher priority first, then by arrival.
  bool IsNextPrefill(const Hold& hold) const {
    const Hold* next = nullptr;
    for (const HoldPtr& other : holds_) {
      if (other->phase == Phase::kPrefilling) return false;
      if (other->phase != Phase::kQueued) continue;
      if (next == nullptr || other->priority > next->priority) next = other.get();
    }
    return next == &hold;
  }

  // Looks the prompt's prefix up in the cache and makes it the most recent one.
  TokenCount UsePrefix(const std::string& prompt, TokenCount tokens) {
    if (prompt.size() < kPrefixBytes || tokens < kPrefixTokens) return 0;
    const std::string prefix = absl::StrCat(
        absl::Hex(StableHash(absl::string_view(prompt).substr(0, kPrefixBytes)), absl::kZeroPad16));
    const auto found = std::find(prefixes_.begin(), prefixes_.end(), prefix);
    const bool hit = found != prefixes_.end();
    if (hit) prefixes_.erase(found);
    prefixes_.push_front(prefix);
    if (!hit) AddEvent("add", prefix);
    if (static_cast<int>(prefixes_.size()) > FLAGS_prefix_cache) {
      AddEvent("evict", prefixes_.back());
      prefixes_.pop_back();
    }
    return hit ? kPrefixTokens : 0;
  }

  void AddEvent(const char* kind, const std::string& prefix) {
    const std::int64_t seq = next_event_++;
    if (std::bernoulli_distribution(FLAGS_event_gap)(random_)) return;
    events_.push_back({seq, kind, prefix, Now() + absl::Milliseconds(FLAGS_event_lag_ms)});
    if (events_.size() > kMaxEvents) events_.pop_front();
  }

  // Transfers a prefill's result to a decode server and frees it.
  ServerResponse Export(const std::string& handle) {
    absl::MutexLock lock(&mutex_);
    Sweep();
    const auto found = std::find_if(holds_.begin(), holds_.end(), [&](const HoldPtr& hold) {
      return hold->phase == Phase::kReady && hold->handle == handle;
    });
    if (found == holds_.end()) return ErrorResponse(410, "no such handle");
    const HoldPtr hold = *found;
    hold->phase = Phase::kTransferring;
    hold->ends = absl::InfiniteFuture();
    const absl::Duration transfer = ReserveLink(hold->prompt_tokens);
    const absl::Duration stall = absl::Milliseconds(faults_.Value("stall_transfer_ms"));
    if (mutex_.AwaitWithTimeout(absl::Condition(&hold->cancelled), transfer + stall)) {
      return ErrorResponse(410, "cancelled");
    }
    holds_.remove(hold);
    return JsonResponse(200, {{"prompt_hash", hold->prompt_hash},
                              {"answer_length", hold->answer_length},
                              {"prompt_tokens", hold->prompt_tokens}});
  }

  // Time until the link has carried a KV cache of this size after those before it.
  absl::Duration ReserveLink(TokenCount tokens) {
    const double bytes = static_cast<double>(tokens) * FLAGS_kv_bytes_per_token;
    link_free_ = std::max(link_free_, Now()) + absl::Seconds(bytes / FLAGS_link_bytes_per_s);
    return link_free_ - Now();
  }

  ServerResponse Decode(const boost::json::object& body) {
    const boost::json::object& source = body.at("source").as_object();
    const TokenCount max_tokens = Number(body, "max_tokens", 16);
    HoldPtr hold;
    absl::Time import_end;
    {
      absl::MutexLock lock(&mutex_);
      ServerResponse refusal;
      hold = Start(body, "decode", Phase::kImporting, Number(body, "prompt_tokens", 0) + max_tokens,
                   &refusal);
      if (hold == nullptr) return refusal;
      import_end = Now() + ReserveLink(hold->prompt_tokens);
    }
    ClientRequest get;
    get.url = absl::StrCat("http://", Text(source, "address"), "/v1/kv/", Text(source, "handle"));
    get.timeout = absl::Seconds(60);
    const ClientResponse kv = Fetch(get);
    absl::MutexLock lock(&mutex_);
    mutex_.AwaitWithTimeout(absl::Condition(&hold->cancelled), import_end - Now());
    if (hold->cancelled) return ErrorResponse(409, "cancelled");
    if (!kv.complete() || kv.status != 200) {
      holds_.remove(hold);
      return ErrorResponse(kv.status == 410 ? 410 : 502, "import failed");
    }
    const boost::json::object content = kv.Json();
    hold->prompt_hash = content.at("prompt_hash").to_number<std::uint64_t>();
    const TokenCount whole = Number(content, "answer_length", 0);
    hold->answer_length = std::min(whole, max_tokens);
    hold->from_token =
        std::clamp<std::int64_t>(Number(body, "from_token", 0), 0, hold->answer_length);
    hold->phase = Phase::kDecoding;
    hold->decode_start = Now();
    hold->ends = TokenTime(*hold, hold->answer_length - 1);
    ++decodes_;
    return StreamTokens(hold, whole > max_tokens ? "length" : "stop");
  }

  static absl::Time TokenTime(const Hold& hold, std::int64_t index) {
    const auto position = static_cast<double>(index - hold.from_token + 1);
    return hold.decode_start + absl::Milliseconds(FLAGS_token_ms * position);
  }

  ServerResponse StreamTokens(const HoldPtr& hold, const std::string& finish_reason) {
    const bool faulty = faults_.Value("streams", -1) < 0 || faults_.Take("streams");
    const auto fault = [&](const char* name) { return faulty ? faults_.Value(name, -1) : -1; };
    const bool other = fault("other_tokens") > 0;
    const std::string id = other ? "another-request" : hold->request_id;
    const std::uint64_t hash = other ? ~hold->prompt_hash : hold->prompt_hash;
    // Shared because std::function copies its target.
    auto next = std::make_shared<std::int64_t>(hold->from_token);
    ServerResponse response;
    response.headers = {{"Content-Type", "text/event-stream"}, {"X-Request-Id", id}};
    response.next_chunk = [this, hold, hash, id, next, finish_reason, cut = fault("cut_after"),
                           truncate = fault("truncate_after"), repeat = fault("repeat_at"),
                           skip = fault("skip_at"), repeated = std::make_shared<bool>(false)] {
      if (*next == skip) ++*next;
      const std::int64_t index = *next;
      const std::int64_t sent = index - hold->from_token;
      if (sent == cut) return Chunk{ChunkKind::kAbort, ""};
      if (sent == truncate) return Chunk{ChunkKind::kEnd, ""};
      if (index > hold->answer_length) return Chunk{ChunkKind::kEnd, ""};
      if (!AwaitToken(*hold, std::min(index, hold->answer_length - 1))) {
        return Chunk{ChunkKind::kAbort, ""};
      }
      const bool again = index == repeat && !*repeated;
      *repeated = *repeated || again;
      if (!again) ++*next;
      if (index >= hold->answer_length) {
        return Chunk{ChunkKind::kData, Final(*hold, id, finish_reason)};
      }
      return Event({{"index", index}, {"token", FakeToken(hash, index)}});
    };
    return response;
  }

  static Chunk Event(const boost::json::object& event) {
    return {ChunkKind::kData, absl::StrCat("data: ", boost::json::serialize(event), "\n\n")};
  }

  static std::string Final(const Hold& hold, const std::string& id, const std::string& reason) {
    const boost::json::object usage = {{"prompt_tokens", hold.prompt_tokens},
                                       {"completion_tokens", hold.answer_length}};
    return Event({{"done", true}, {"finish_reason", reason}, {"usage", usage}, {"request_id", id}})
               .data +
           "data: [DONE]\n\n";
  }

  // False when the request was cancelled.
  bool AwaitToken(const Hold& hold, std::int64_t index) {
    faults_.AwaitZero("freeze");
    absl::MutexLock lock(&mutex_);
    return !mutex_.AwaitWithTimeout(absl::Condition(&hold.cancelled),
                                    TokenTime(hold, index) - Now());
  }

  ServerResponse Cancel(const std::string& id) {
    absl::MutexLock lock(&mutex_);
    Sweep();
    ++cancels_;
    std::int64_t released = 0;
    for (auto it = holds_.begin(); it != holds_.end();) {
      const HoldPtr hold = *it;
      if (hold->request_id != id) {
        ++it;
        continue;
      }
      hold->cancelled = true;
      if (hold->phase == Phase::kReady) ++cancelled_prefills_;
      CountTokens(*hold);
      ++released;
      it = holds_.erase(it);
    }
    if (released == 0 && !started_.contains(id)) {
      tombstones_[id] = Now();
      ++tombstones_left_;
    }
    return JsonResponse(200, {{"released", released}});
  }

  ServerResponse Order(const ServerRequest& request) {
    const boost::json::object body = request.Json();
    const std::string kind = Text(body, "kind");
    const std::int64_t fencing = Number(body, "fencing", 0);
    absl::MutexLock lock(&mutex_);
    if (!FLAGS_order_token.empty() &&
        request.Header("authorization") != absl::StrCat("Bearer ", FLAGS_order_token)) {
      ++refused_orders_;
      return ErrorResponse(403, "unknown sender");
    }
    if (fencing < fencing_) {
      if (FLAGS_check_fencing) {
        ++refused_orders_;
        return ErrorResponse(409, "old fencing number");
      }
      ++stale_orders_;
    }
    fencing_ = std::max(fencing_, fencing);
    orders_.push_back(body);
    if (kind == "set_role") role_ = Text(body, "value");
    if (kind == "load_model") model_ = Text(body, "value");
    return JsonResponse(200, {{"fencing", fencing_}});
  }

  // Frees what has ended by itself.
  void Sweep() {
    const absl::Time now = Now();
    holds_.remove_if([&](const HoldPtr& hold) {
      if (hold->ends > now) return false;
      if (hold->phase == Phase::kReady) {
        ++wasted_prefills_;
        wasted_prefill_tokens_ += hold->prompt_tokens;
      }
      CountTokens(*hold);
      return true;
    });
    if (now < next_prune_) return;
    next_prune_ = now + absl::Seconds(1);
    const auto old = [&](const auto& entry) { return entry.second < now - kTombstoneLife; };
    absl::erase_if(started_, old);
    absl::erase_if(tombstones_, old);
  }

  void CountTokens(const Hold& hold) {
    if (hold.phase != Phase::kDecoding) return;
    const double passed = absl::ToDoubleMilliseconds(Now() - hold.decode_start) / FLAGS_token_ms;
    tokens_ += std::min<std::int64_t>(hold.answer_length - hold.from_token,
                                      static_cast<std::int64_t>(std::floor(passed)));
  }

  int Count(Phase phase) const {
    return static_cast<int>(std::count_if(
        holds_.begin(), holds_.end(), [&](const HoldPtr& hold) { return hold->phase == phase; }));
  }

  int SlotsUsed() const { return Count(Phase::kImporting) + Count(Phase::kDecoding); }

  std::int64_t PiecesUsed() const {
    std::int64_t sum = 0;
    for (const HoldPtr& hold : holds_) sum += hold->pieces;
    return sum;
  }

  boost::json::array Holds() const {
    boost::json::array holds;
    for (const HoldPtr& hold : holds_) {
      holds.push_back({{"request_id", hold->request_id},
                       {"holder", hold->holder},
                       {"pieces", hold->pieces},
                       {"age_ms", absl::ToInt64Milliseconds(Now() - hold->created)}});
    }
    return holds;
  }

  boost::json::object Load() {
    return {{"slots", FLAGS_slots},
            {"slots_used", SlotsUsed()},
            {"pieces", FLAGS_pieces},
            {"pieces_used", PiecesUsed()},
            {"queue", Count(Phase::kQueued)},
            {"role", role_},
            {"model", model_},
            {"fencing", fencing_},
            {"seq", next_load_++}};
  }

  ServerResponse CacheEvents(std::int64_t from) const {
    boost::json::array events;
    for (const CacheEvent& event : events_) {
      if (event.seq < from || event.visible_at > Now()) continue;
      events.push_back({{"seq", event.seq},
                        {"kind", event.kind},
                        {"prefix", event.prefix},
                        {"tokens", kPrefixTokens}});
    }
    return JsonResponse(200, {{"events", std::move(events)}});
  }

  ServerResponse Stats() {
    absl::MutexLock lock(&mutex_);
    Sweep();
    return JsonResponse(200, {{"prefills", prefills_},
                              {"prefill_tokens", prefill_tokens_},
                              {"wasted_prefills", wasted_prefills_},
                              {"wasted_prefill_tokens", wasted_prefill_tokens_},
                              {"cancelled_prefills", cancelled_prefills_},
                              {"decodes", decodes_},
                              {"tokens", tokens_},
                              {"cancels", cancels_},
                              {"tombstones", tombstones_left_},
                              {"refusals", refusals_},
                              {"held_pieces", PiecesUsed()},
                              {"holds", Holds()},
                              {"slots_used", SlotsUsed()},
                              {"max_slots_used", max_slots_used_},
                              {"orders", orders_},
                              {"refused_orders", refused_orders_},
                              {"stale_orders", stale_orders_},
                              {"key_leaks", KeyLeaks()}});
  }

  FaultSet faults_{{"freeze", "refuse_all", "delay_ms", "stall_transfer_ms", "cut_after",
                    "truncate_after", "repeat_at", "skip_at", "other_tokens", "streams"}};
  absl::Mutex mutex_;
  std::mt19937_64 random_;
  std::string role_;
  std::string model_;
  std::list<HoldPtr> holds_;
  absl::flat_hash_map<std::string, absl::Time> started_;
  absl::flat_hash_map<std::string, absl::Time> tombstones_;
  std::list<std::string> prefixes_;
  std::deque<CacheEvent> events_;
  std::deque<std::pair<absl::Time, boost::json::object>> loads_;
  absl::Time next_prune_ = absl::InfinitePast();
  absl::Time link_free_ = absl::InfinitePast();
  boost::json::array orders_;
  std::int64_t fencing_ = 0;
  std::int64_t next_event_ = 0;
  std::int64_t next_load_ = 0;
  int max_slots_used_ = 0;
  std::int64_t prefills_ = 0;
  std::int64_t prefill_tokens_ = 0;
  std::int64_t wasted_prefills_ = 0;
  std::int64_t wasted_prefill_tokens_ = 0;
  std::int64_t cancelled_prefills_ = 0;
  std::int64_t decodes_ = 0;
  std::int64_t tokens_ = 0;
  std::int64_t cancels_ = 0;
  std::int64_t tombstones_left_ = 0;
  std::int64_t refusals_ = 0;
  std::int64_t refused_orders_ = 0;
  std::int64_t stale_orders_ = 0;
};

}  // namespace
}  // namespace marigoldquay::testing

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  marigoldquay::testing::Engine engine;
  return marigoldquay::testing::RunHttpServer(
      FLAGS_port, [&](const auto& request) { return engine.Handle(request); });
}
