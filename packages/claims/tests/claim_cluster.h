// Several VMs with claim services on one log in memory, joined by calls in
// memory. Each VM can be killed, paused, cut off from the log, and can rank
// owners in another order than the rest, so that a shard has several owners.
// Only what must never happen is asserted, so real time decides no verdict.
#ifndef MARIGOLDQUAY_CLAIMS_TESTS_CLAIM_CLUSTER_H_
#define MARIGOLDQUAY_CLAIMS_TESTS_CLAIM_CLUSTER_H_

#include <algorithm>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "fake_log_client.h"
#include "marigoldquay/claims/claim_service.h"

namespace marigoldquay::testing {

struct Execution {
  std::string key;
  RequestId request;
  absl::Time at;
};

class ClaimCluster;

/// One instance of a VM with everything that its claim service uses.
class ClaimVm final : public MemberView,
                      public RpcClient,
                      public RpcRegistry,
                      public LogClient,
                      public OnceDispatcher {
 public:
  ClaimVm(ClaimCluster& cluster, Instance instance, const ClaimOptions& options);

  Instance self() const override { return instance; }
  Offset epoch() const override;
  std::vector<Member> members() const override;
  std::optional<Member> FindMember(absl::string_view vm) const override;
  bool IsMember(const Instance& other) const override;
  MemberHealth health(absl::string_view vm) const override;
  std::vector<Member> RankFor(absl::string_view key) const override;
  std::optional<Member> OwnerOf(absl::string_view key) const override;
  std::optional<Member> PreviousOwnerOf(absl::string_view) const override { return std::nullopt; }
  bool HoldsExclusively(absl::string_view) const override { return false; }
  bool LeaseValid() const override { return IsMember(instance); }

  Result<std::string> Call(const Address& peer, protocol::MessageType type,
                           absl::string_view payload, const CallOptions& options) override;
  Result<void> Stream(const Address&, protocol::MessageType, absl::string_view, const CallOptions&,
                      const std::function<bool(absl::string_view)>&) override {
    return {};
  }
  void Register(protocol::MessageType, RpcHandler handler) override { handler_ = handler; }

  Result<Offset> Append(absl::string_view stream, absl::string_view data,
                        absl::Duration timeout) override;
  Result<LogPage> Read(absl::string_view stream, Offset from, int max_records, absl::Duration wait,
                       absl::Duration timeout) override;
  DispatchResult Dispatch(const OnceRequest& request, absl::Duration timeout) override;

  // Blocks while the VM is paused; false once it is killed.
  bool Step() const {
    while (paused && !killed) absl::SleepFor(absl::Milliseconds(1));
    return !killed;
  }

  ClaimCluster& cluster;
  const Instance instance;
  std::atomic<bool> killed{false};
  std::atomic<bool> paused{false};
  std::atomic<bool> log_cut{false};
  // Shifts the order in which this VM ranks owners.
  std::atomic<int> rank_shift{0};
  RpcHandler handler_;
  std::unique_ptr<ClaimService> service;
};

class ClaimCluster {
 public:
  struct Faults {
    double lost_append = 0;  // Takes effect, its answer is lost.
    double late_append = 0;  // Is answered with a timeout and takes effect later.
    double lost_reply = 0;   // Of a call, whose handler goes on.
    double unreachable_backend = 0;
    double lost_answer = 0;  // Of the service.
  };

  ClaimCluster(std::uint32_t seed, const ClaimOptions& options)
      : random_(seed), options_(options) {}
  ~ClaimCluster() {
    ending_ = true;
    do {
      const std::scoped_lock lock(mutex_);
      for (auto& vm : vms_) {
        vm->killed = true;
        vm->paused = false;
      }
      absl::SleepFor(absl::Milliseconds(1));
    } while (background_ > 0);
    for (auto& vm : vms_) vm->service.reset();
  }

  int Pick(int low, int high) {
    const std::scoped_lock lock(mutex_);
    return std::uniform_int_distribution<int>(low, high)(random_);
  }
  bool Chance(double probability) { return Pick(1, 10'000) <= probability * 10'000; }

  ClaimVm& Join(const VmId& name) {
    auto vm = std::make_unique<ClaimVm>(*this, Instance{name, RandomId()}, options_);
    auto& added = *vm;
    {
      const std::scoped_lock lock(mutex_);
      members_[name] = &added;
      ++epoch_;
      vms_.push_back(std::move(vm));
    }
    added.service->Start();
    return added;
  }
  void Remove(ClaimVm& vm) {
    const std::scoped_lock lock(mutex_);
    const auto found = members_.find(vm.instance.vm);
    if (found == members_.end() || found->second != &vm) return;
    members_.erase(found);
    ++epoch_;
  }
  std::vector<ClaimVm*> Members() const {
    const std::scoped_lock lock(mutex_);
    std::vector<ClaimVm*> members;
    for (const auto& [_, vm] : members_) members.push_back(vm);
    return members;
  }
  ClaimVm* Find(absl::string_view name) const {
    const std::scoped_lock lock(mutex_);
    const auto found = members_.find(VmId(name));
    return found == members_.end() ? nullptr : found->second;
  }
  Offset epoch() const { return epoch_; }

  void RunInBackground(std::function<void()> work) {
    ++background_;
    std::thread([this, work = std::move(work)] {
      work();
      --background_;
    }).detach();
  }

  void Executed(const OnceRequest& request) {
    const std::scoped_lock lock(mutex_);
    executions_.push_back({request.idempotency_key, request.request_id, absl::Now()});
  }
  std::vector<Execution> executions() const {
    const std::scoped_lock lock(mutex_);
    return executions_;
  }

  FakeLogClient log;
  Faults faults;
  std::atomic<bool> ending_{false};

 private:
  mutable std::mutex mutex_;
  std::mt19937 random_;
  const ClaimOptions options_;
  std::vector<std::unique_ptr<ClaimVm>> vms_;
  std::map<VmId, ClaimVm*> members_;
  std::atomic<Offset> epoch_{0};
  std::atomic<int> background_{0};
  std::vector<Execution> executions_;
};

/// Keeps what a handler answers.
class KeptReply final : public ReplyWriter {
 public:
  bool Write(absl::string_view) override { return true; }
  void Finish(absl::string_view payload) override { payload_ = std::string(payload); }
  void FinishWithError(const Error& error) override { error_ = error; }
  bool cancelled() const override { return false; }

  std::string payload_;
  std::optional<Error> error_;
};

inline ClaimVm::ClaimVm(ClaimCluster& c, Instance i, const ClaimOptions& options)
    : cluster(c),
      instance(std::move(i)),
      service(std::make_unique<ClaimService>(options, *this, *this, *this, *this,
                                             SystemClock::Instance())) {
  service->RegisterHandlers(*this);
}

inline Member MemberOf(const ClaimVm& vm) {
  Member member;
  member.instance = vm.instance;
  member.inner_address = vm.instance.vm;
  return member;
}

inline Offset ClaimVm::epoch() const { return cluster.epoch(); }
inline std::vector<Member> ClaimVm::members() const {
  std::vector<Member> members;
  for (const auto* vm : cluster.Members()) members.push_back(MemberOf(*vm));
  return members;
}
inline std::optional<Member> ClaimVm::FindMember(absl::string_view vm) const {
  const auto* found = cluster.Find(vm);
  return found == nullptr ? std::nullopt : std::optional(MemberOf(*found));
}
inline bool ClaimVm::IsMember(const Instance& other) const {
  const auto* found = cluster.Find(other.vm);
  return found != nullptr && found->instance == other;
}
inline MemberHealth ClaimVm::health(absl::string_view vm) const {
  MemberHealth health;
  const auto* found = cluster.Find(vm);
  health.responsive = found != nullptr && !found->killed;
  return health;
}
inline std::vector<Member> ClaimVm::RankFor(absl::string_view) const {
  auto ranked = members();
  if (!ranked.empty()) {
    std::rotate(ranked.begin(),
                ranked.begin() + rank_shift % static_cast<std::ptrdiff_t>(ranked.size()),
                ranked.end());
  }
  return ranked;
}
inline std::optional<Member> ClaimVm::OwnerOf(absl::string_view key) const {
  const auto ranked = RankFor(key);
  return ranked.empty() ? std::nullopt : std::optional(ranked.front());
}

inline Result<std::string> ClaimVm::Call(const Address& peer, protocol::MessageType type,
                                         absl::string_view payload, const CallOptions& options) {
  const auto deadline = absl::Now() + options.timeout;
  ClaimVm* target = cluster.Find(peer);
  if (!Step() || target == nullptr || target->killed) {
    return Fail(ErrorCode::kNotSent, "call", peer, "connection refused");
  }
  // The handler runs beside the caller, who may stop waiting for it.
  auto reply = std::make_shared<KeptReply>();
  auto done = std::make_shared<std::atomic<bool>>(false);
  RpcCall call{type, std::string(payload), instance.vm,
               SystemClock::Instance().Now() + options.timeout};
  cluster.RunInBackground([target, call, reply, done] {
    if (target->Step()) target->handler_(call, *reply);
    if (target->Step()) *done = true;
  });
  if (cluster.Chance(cluster.faults.lost_reply)) {
    return Fail(ErrorCode::kUnavailable, "call", peer, "connection broken");
  }
  while (!*done) {
    if (target->killed) return Fail(ErrorCode::kUnavailable, "call", peer, "connection broken");
    if (absl::Now() > deadline) return Fail(ErrorCode::kTimeout, "call", peer, "no answer");
    absl::SleepFor(absl::Microseconds(200));
  }
  Step();
  if (reply->error_) return Fail(*reply->error_);
  return reply->payload_;
}

inline Result<Offset> ClaimVm::Append(absl::string_view stream, absl::string_view data,
                                      absl::Duration timeout) {
  if (!Step()) return Fail(ErrorCode::kNotSent, "append", "log", "killed");
  if (log_cut) {
    absl::SleepFor(absl::Milliseconds(5));
    return Fail(ErrorCode::kNotSent, "append", "log", "cut off");
  }
  if (cluster.Chance(cluster.faults.late_append)) {
    const auto delay = absl::Milliseconds(cluster.Pick(0, 150));
    cluster.RunInBackground([this, delay, s = std::string(stream), d = std::string(data)] {
      absl::SleepFor(delay);
      if (!cluster.ending_) cluster.log.AppendDirectly(s, d);
    });
    return Fail(ErrorCode::kTimeout, "append", "log", "no answer");
  }
  BOOST_LEAF_AUTO(offset, cluster.log.Append(stream, data, timeout));
  if (!Step()) return Fail(ErrorCode::kTimeout, "append", "log", "killed");
  if (cluster.Chance(cluster.faults.lost_append)) {
    return Fail(ErrorCode::kTimeout, "append", "log", "answer lost");
  }
  return offset;
}

inline Result<LogPage> ClaimVm::Read(absl::string_view stream, Offset from, int max_records,
                                     absl::Duration wait, absl::Duration timeout) {
  if (!Step() || log_cut) return Fail(ErrorCode::kNotSent, "read", "log", "cut off");
  BOOST_LEAF_AUTO(page, cluster.log.Read(stream, from, max_records, wait, timeout));
  if (!Step() || log_cut) return Fail(ErrorCode::kTimeout, "read", "log", "cut off");
  return page;
}

inline DispatchResult ClaimVm::Dispatch(const OnceRequest& request, absl::Duration) {
  DispatchResult result;
  if (!Step()) return result;
  if (cluster.Chance(cluster.faults.unreachable_backend)) {
    result.outcome = DispatchOutcome::kNotSent;
    return result;
  }
  cluster.Executed(request);
  absl::SleepFor(absl::Milliseconds(cluster.Pick(0, 20)));
  if (!Step() || cluster.Chance(cluster.faults.lost_answer)) return result;
  result.outcome = DispatchOutcome::kAnswered;
  result.status = 201;
  result.body = request.request_id;
  return result;
}

}  // namespace marigoldquay::testing

#endif  // MARIGOLDQUAY_CLAIMS_TESTS_CLAIM_CLUSTER_H_
