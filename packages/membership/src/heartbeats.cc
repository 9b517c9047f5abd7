// Heartbeat rounds.
#include "marigoldquay/membership/heartbeats.h"

#include <algorithm>
#include <functional>

#include "marigoldquay/core/logger.h"
#include "marigoldquay/core/metrics.h"

namespace marigoldquay {
namespace {

constexpr absl::Duration kIntervalSmall = absl::Milliseconds(500);
constexpr absl::Duration kIntervalLarge = absl::Seconds(1);
// Age that means "no evidence" in a message.
constexpr std::uint32_t kNoEvidenceMs = 3'600'000;

const Logger& Log() {
  static const Logger logger("member");
  return logger;
}

Counter& FailedCounter() {
  static Counter& counter =
      MetricsRegistry::Global().counter("heartbeats_failed_total", "Heartbeats without an answer.");
  return counter;
}

void Raise(std::atomic<Offset>& highest, Offset value) {
  auto known = highest.load();
  while (value > known && !highest.compare_exchange_weak(known, value)) {
  }
}

}  // namespace

void Heartbeats::RegisterHandler(RpcRegistry& registry) {
  marigoldquay::RegisterHandler<protocol::HeartbeatMessageT>(
      registry, protocol::MessageType::Heartbeat,
      [this](const protocol::HeartbeatMessageT& request,
             const RpcCall& /*call*/) -> Result<protocol::HeartbeatMessageT> {
        if (const auto sender = state_.FindMember(request.sender->vm)) {
          NotePeer(request, sender->inner_address);
        }
        return state_.AnswerHeartbeat(request, Status());
      });
}

LocalStatus Heartbeats::Status() const {
  LocalStatus status;
  // The offset is read first: evidence that arrives in between covers at least this offset.
  status.config_next = config_.applied_offset();
  status.config_evidence_age = config_.evidence_age();
  // An outage is reported only when neither stream can be read.
  status.log_reachable = config_.log_reachable() || state_.log_reachable();
  status.spare_capacity = spare_capacity_;
  status.draining = draining_;
  return status;
}

void Heartbeats::NotePeer(const protocol::HeartbeatMessageT& message, const Address& address) {
  Raise(named_config_next_, message.config_next);
  Raise(named_members_next_, message.members_next);
  if (message.config_next > config_.applied_offset() ||
      message.members_next > state_.applied_offset()) {
    catch_up_.AddHint(address);
  }
}

bool Heartbeats::Send(const Address& peer) {
  const auto sent_at = clock_.Now();
  return HandleError(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(answer, CallPeer<protocol::HeartbeatMessageT>(
                                    client_, peer, protocol::MessageType::Heartbeat,
                                    state_.MakeHeartbeat(Status()), {kHeartbeatTimeout, {}}));
        state_.OnHeartbeatAnswer(answer, sent_at);
        if (answer.config_evidence_age_ms < kNoEvidenceMs) {
          config_.OnPeerEvidence(answer.config_next,
                                 absl::Milliseconds(answer.config_evidence_age_ms), sent_at);
        }
        NotePeer(answer, peer);
        return true;
      },
      [&](const Error& error) {
        FailedCounter().Increment();
        Log().Debug("heartbeat without answer: ", error.ToString());
        return false;
      });
}

std::vector<Address> Heartbeats::Targets() const {
  std::vector<Address> targets;
  const auto add = [&](const Address& address) {
    if (std::find(targets.begin(), targets.end(), address) == targets.end()) {
      targets.push_back(address);
    }
  };
  if (!was_caught_up_) {
    for (const auto& seed : seeds_) add(seed);
    std::vector<std::string> zones{state_.self_member().availability_zone};
    for (const auto& member : state_.members()) {
      if (std::find(zones.begin(), zones.end(), member.availability_zone) != zones.end()) continue;
      zones.push_back(member.availability_zone);
      add(member.inner_address);
    }
  }
  const auto members = state_.HeartbeatTargets(RandomId());
  for (const auto& member : members) add(member.inner_address);
  if (targets.empty()) targets = seeds_;
  return targets;
}

void Heartbeats::RunRound() {
  state_.Tick(Status());
  const auto targets = Targets();
  std::vector<std::function<void()>> calls;
  std::atomic<int> answered{0};
  for (std::size_t i = 0; i < targets.size(); ++i) {
    calls.emplace_back([this, &targets, &answered, i] {
      const bool good = Send(targets[i]);
      if (good) ++answered;
      if (i + 1 == targets.size()) state_.OnRandomCall(good);
    });
  }
  if (!calls.empty()) RunInParallel(calls);
  round_reached_peer_ = answered > 0;
  round_config_next_ = named_config_next_.exchange(0);
  round_members_next_ = named_members_next_.exchange(0);
  ran_ = true;
  if (CaughtUp()) was_caught_up_ = true;
}

absl::Duration Heartbeats::interval() const {
  return state_.members().size() > PeerTable::kSmallSet ? kIntervalLarge : kIntervalSmall;
}

bool Heartbeats::CaughtUp() const {
  return ran_ && (round_reached_peer_ || config_.tail_was_read()) &&
         config_.applied_offset() >= round_config_next_ &&
         state_.applied_offset() >= round_members_next_;
}

}  // namespace marigoldquay
