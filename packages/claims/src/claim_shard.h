// One claims stream at a VM that runs requests of its keys: follows the stream,
// appends batches, and runs each key at most once.
//
// Invariants: a request is dispatched only under a claim that this shard has
// read back as the winning one and for which it has started no void; each nonce
// is dispatched at most once; "not run" is answered only for a request whose
// nonces are then abandoned, which only a later request may take up again, and
// only with evidence that nobody has run the key before the request came: an
// undispatched winning claim of this shard, a read of the stream sent after the
// request came, or the word of all members when the log does not answer.
#ifndef MARIGOLDQUAY_CLAIMS_SRC_CLAIM_SHARD_H_
#define MARIGOLDQUAY_CLAIMS_SRC_CLAIM_SHARD_H_

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "marigoldquay/claims/claim_service.h"
#include "marigoldquay/claims/claim_table.h"
#include "marigoldquay/logstore/stream_tailer.h"

namespace marigoldquay::internal {

/// Limits appends of this VM to its share of what the log takes. Thread-safe.
class AppendPacer {
 public:
  AppendPacer(const MemberView& members, const Clock& clock) : members_(members), clock_(clock) {}
  /// Waits for the next free append.
  void Wait();

 private:
  const MemberView& members_;
  const Clock& clock_;
  std::mutex mutex_;
  absl::Time next_ = absl::InfinitePast();
};

/// What a shard uses; all references outlive it.
struct ShardContext {
  const ClaimOptions& options;
  const MemberView& members;
  LogClient& log;
  RpcClient& rpc;
  OnceDispatcher& dispatcher;
  const Clock& clock;
  AppendPacer& pacer;
};

/// Thread-safe.
class ClaimShard final : public StreamConsumer {
 public:
  ClaimShard(int number, ShardContext context);
  ~ClaimShard() override;
  ClaimShard(const ClaimShard&) = delete;
  ClaimShard& operator=(const ClaimShard&) = delete;

  /// Runs or joins the request, or returns its recorded outcome; blocks until `deadline`.
  OnceResult Run(const OnceRequest& request, const std::string& key, absl::Time deadline);
  /// What this VM knows of a run of the key, for another VM; nullopt when this VM has not run it
  /// and its table holds no claim that only the log could tell about.
  std::optional<OnceResult> Lookup(const std::string& key, absl::Time deadline);
  /// Whether the whole stream has been read once.
  bool caught_up() const;

  /// Whether nothing runs and no record waits, and nobody has asked for a while.
  bool idle(absl::Time now) const;
  int running() const;

  // StreamConsumer
  Offset next_offset() const override;
  void OnPage(const LogPage& page, absl::Time read_sent_at) override;
  void OnReadError(const Error& error) override;

 private:
  // A request that this VM runs, or has run and whose outcome is not yet in the table.
  struct ActiveRun {
    std::string request_digest;
    // The claim appended for it; empty while there is none.
    std::string nonce;
    std::optional<OnceResult> result;
    bool dispatched = false;
    // When the request that leads the run came.
    absl::Time came_at;
    // With a result of "not run": nobody had run the key by then.
    absl::Time not_run_by = absl::InfinitePast();
  };
  using ActiveRunPtr = std::shared_ptr<ActiveRun>;  // Shared by all that wait for the run.
  using Lock = std::unique_lock<std::mutex>;
  // An own claim that was given up, or whose void was started.
  struct ReleasedClaim {
    std::string key;
    absl::Time since;
  };
  // A void or an outcome that is not yet read back.
  struct Unconfirmed {
    ClaimRecord record;
    absl::Time next_append;
  };

  OnceResult Lead(Lock& lock, ActiveRun& run, const OnceRequest& request, const std::string& key,
                  absl::Time deadline);
  OnceResult Dispatch(Lock& lock, ActiveRun& run, const OnceRequest& request,
                      const std::string& key, absl::Time deadline);
  // nullopt when the run was given up and the evidence does not cover a request that came later.
  std::optional<OnceResult> Follow(Lock& lock, const ActiveRunPtr& run, absl::Time came_at,
                                   absl::Time deadline);
  /// What a claimed key means for a request; nullopt when this VM may run it.
  std::optional<OnceResult> FromTable(Lock& lock, const std::string& key,
                                      const std::string& request_digest, absl::Time deadline);
  std::optional<OnceResult> AskHolder(Lock& lock, const ClaimState& claim, const std::string& key,
                                      absl::Time deadline);
  // Adds the body of a recorded outcome that the table no longer holds.
  OnceResult Recorded(Lock& lock, const ClaimState& claim, absl::Time deadline);
  OnceResult GiveUp(Lock& lock, ActiveRun& run, const std::string& key, std::string message);
  // Whether the winning claim of the key is one that this shard gave up without dispatching.
  bool ClaimedHere(const std::string& key) const;
  // Whether the winning claim is somebody else's, or was dispatched here.
  bool ClaimedElsewhere(const std::string& key) const;
  // Whether no member has run the key; asks all of them. For when the log does not answer.
  bool NoMemberRan(Lock& lock, const std::string& key);
  protocol::RunOnceRequestT LookupRequest(const std::string& key) const;
  OnceResult NotRun(std::string message) const;
  bool WaitFor(Lock& lock, absl::Time deadline, const std::function<bool()>& condition);
  /// Queues a record that is repeated until it is read back.
  void Record(ClaimRecord record);
  ClaimRecord MakeRecord(ClaimRecordKind kind, const std::string& key,
                         const std::string& nonce) const;
  void StartVoid(const std::string& nonce, const std::string& key);
  void ApplyBatch(const std::vector<ClaimRecord>& batch, Offset offset);

  void AppendLoop();
  void QueueDueRecords();
  std::vector<ClaimRecord> TakeBatch();
  void RepeatClaims(const std::vector<ClaimRecord>& batch);

  const std::string stream_;
  const ShardContext context_;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  ClaimTable table_;
  Offset next_ = 0;
  bool tail_read_ = false;
  // Everything that was in the stream at this time has been applied.
  absl::Time evidence_ = absl::InfinitePast();
  // The epoch when the read that gave the evidence was sent, and the one to go with the next read.
  Offset evidence_epoch_ = 0;
  Offset next_evidence_epoch_ = 0;
  absl::Time last_use_;
  std::map<std::string, ActiveRunPtr> active_;
  // By nonce. Claims in abandoned_ were never dispatched and may be taken up again; those in
  // voided_ never are. No nonce is in both.
  std::map<std::string, ReleasedClaim> abandoned_;
  std::map<std::string, ReleasedClaim> voided_;
  std::map<std::string, Unconfirmed> unconfirmed_;
  std::deque<ClaimRecord> queue_;
  bool stopping_ = false;
  std::thread appender_;
  // Last, so that it stops before what it calls is destroyed.
  std::unique_ptr<StreamTailer> tailer_;
};

}  // namespace marigoldquay::internal

#endif  // MARIGOLDQUAY_CLAIMS_SRC_CLAIM_SHARD_H_
