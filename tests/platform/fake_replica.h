// Stand-in of a backend server on the platform, plain or a model engine. It keeps
// what it saw, so that tests can check the promises from its side.
#ifndef MARIGOLDQUAY_TESTS_PLATFORM_FAKE_REPLICA_H_
#define MARIGOLDQUAY_TESTS_PLATFORM_FAKE_REPLICA_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "marigoldquay/net/http_listener.h"

namespace marigoldquay::testing {

/// What a replica does with a request.
enum class ReplicaBehavior {
  kNormal,
  /// A server error, after running.
  kError,
  /// Rejects without running.
  kShed,
  /// Runs and never answers.
  kHang,
  /// Runs and breaks the connection without an answer.
  kLoseAnswer,
  /// Announces more bytes than it sends.
  kTruncate,
  /// Answers with the id of another request.
  kWrongId,
  /// Leaves its signature out.
  kUnsealed,
  /// Sends a second answer behind the first.
  kExtraAnswer,
  /// Sends a second copy of the answer 100 ms later.
  kLateExtraAnswer,
  /// Answers, and says that it is leaving.
  kLeaving,
  /// Rejects without running and asks for a pause of 2 s.
  kWantsPause,
  /// Sends a body of several MB per second without end.
  kEndlessBody,
};

/// One request that a replica has run.
struct ReplicaRun {
  std::string request_id;
  std::string replica;
  std::string method;
  std::string target;
  std::string body;
  std::string workspace;
  std::optional<std::uint64_t> resumed_after;
  double time_left_ms = 0;
  bool saw_key = false;
  absl::Time started;
  /// When the router closed the connection before the end.
  std::optional<absl::Time> cancelled;
};

/// One request for a backend server, whether it ran or not.
struct ReplicaArrival {
  std::string replica;
  std::string request_id;
  absl::Time at;
  /// Requests per second that the server named in its answers at that time.
  std::optional<double> limit;
  /// Parts of the prompt, as the request named them.
  std::string parts;
  std::string body;
  /// Whether only the prompt was to be read.
  bool prefill = false;
};

/// End of a server under a request that it was about to answer.
struct ReplicaCrash {
  std::string replica;
  absl::Time at;
  /// Body of the request that caused it.
  std::string body;
};

/// One order to change the role of an engine.
struct ReplicaOrder {
  std::string replica;
  std::string phase;
  std::string holder;
  std::int64_t claim = 0;
  absl::Time at;
};

/// What all replicas of a world have seen.
struct ReplicaLedger {
  std::vector<ReplicaArrival> arrivals;
  std::vector<ReplicaRun> runs;
  std::vector<ReplicaOrder> orders;
  std::vector<ReplicaCrash> crashes;
  /// KV caches that were neither fetched nor freed, with the time at which they were made.
  std::map<std::string, absl::Time> waiting_caches;
  /// When a server turned a request away.
  std::vector<absl::Time> rejections;
  std::vector<std::string> violations;
};

struct ReplicaOptions {
  std::string id;
  std::string service;
  std::string availability_zone = "z1";
  /// "", "prefill" or "decode".
  std::string phase;
  /// Called after an order has changed the phase.
  std::function<void()> on_phase = [] {};
  /// Version of its software, asked at each start.
  std::function<std::string()> version = [] { return "v1"; };
  /// Whether each event of a stream begins with the version that made it.
  bool marks_events = false;
  int events = 6;
  absl::Duration event_gap = absl::Milliseconds(15);
  absl::Duration work = absl::Milliseconds(5);
  /// Chooses what to do with each request that is to run.
  std::function<ReplicaBehavior()> behavior = [] { return ReplicaBehavior::kNormal; };
  /// Limit that the server names in all its answers, as header text; empty for none.
  std::function<std::string()> request_limit = [] { return ""; };
  /// Part of a prompt under which the server ends before its first event; empty for none.
  std::string deadly_part;
  /// Body of a request under which the server ends when it begins to run it; empty for none.
  std::string deadly_body;
  /// Time until it listens again.
  absl::Duration down_time = absl::Seconds(2);
  /// Called when it listens again.
  std::function<void()> on_restart = [] {};
};

class FakeReplica final : public HttpHandler {
 public:
  FakeReplica(asio::io_context& io, ReplicaLedger& ledger, ReplicaOptions options);

  void Handle(HttpRequest& request, HttpReplyWriter& reply, Cancellation& cancellation,
              Yield yield) override;

  const ReplicaOptions& options() const { return options_; }
  const Address& address() const { return address_; }
  /// Its next entry in the store, where `address` may be that of a proxy.
  std::string Entry(const std::string& state, const Address& address);
  /// Refuses connections from now on.
  void Stop() { listener_.StopAccepting(); }
  /// Ends all connections and refuses new ones for a while; the start after that is a new one.
  void Crash();
  /// Ends all connections and refuses new ones from now on.
  void End();
  /// Ends the connections on which a response is under way.
  void BreakResponses();

 private:
  void ChangePhase(const HttpRequest& request, HttpReplyWriter& reply, Yield yield);
  void Prefill(const std::string& id, HttpReplyWriter& reply, Yield yield);
  void AnswerPlain(const HttpRequest& request, std::size_t run, ReplicaBehavior behavior,
                   HttpReplyWriter& reply, Cancellation& cancellation, Yield yield);
  void Stream(const HttpRequest& request, std::size_t run, ReplicaBehavior behavior,
              HttpReplyWriter& reply, Cancellation& cancellation, Yield yield);
  // Fields of every answer.
  HttpFields CommonFields(const std::string& id) const;
  HttpFields SealedFields(const std::string& id, ReplicaBehavior behavior) const;
  std::size_t Record(const HttpRequest& request);
  // Whether the request holds the deadly part, which is never its last one.
  bool IsDeadly(const HttpRequest& request) const;
  void CrashUnder(const HttpRequest& request);

  asio::io_context& io_;
  ReplicaLedger& ledger_;
  const ReplicaOptions options_;
  HttpListener listener_;
  Address address_;
  // Version and time of the last start.
  std::string version_;
  absl::Time started_at_;
  // Entries since the last start.
  int sequence_ = 0;
  // Responses that are being written.
  std::set<HttpReplyWriter*> replies_;
  int next_cache_ = 1;
  std::string phase_;
  std::int64_t highest_claim_ = 0;
};

/// Body that a plain replica answers with.
std::string PlainBody(const std::string& request_id);
/// Event number `number`, from 1 on, of a stream.
std::string StreamEvent(const std::string& request_id, std::uint64_t number);

}  // namespace marigoldquay::testing

#endif  // MARIGOLDQUAY_TESTS_PLATFORM_FAKE_REPLICA_H_
