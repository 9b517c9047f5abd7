// Frames and heartbeats of the inner protocol, and rendezvous ranking.
#include <benchmark/benchmark.h>

#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "marigoldquay/core/rendezvous.h"
#include "marigoldquay/protocol/codec.h"
#include "marigoldquay/protocol/frame.h"

namespace marigoldquay {
namespace {

void EncodeFrames(benchmark::State& state) {
  const std::string payload(static_cast<std::size_t>(state.range(0)), 'x');
  FrameHeader header;
  header.type = protocol::MessageType::Reserve;
  for ([[maybe_unused]] auto _ : state) benchmark::DoNotOptimize(EncodeFrame(header, payload));
  state.SetBytesProcessed(state.iterations() *
                          static_cast<std::int64_t>(payload.size() + kFrameHeaderSize));
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(EncodeFrames)->Arg(100)->Arg(100000)->ThreadRange(1, 8)->UseRealTime();

void DecodeFrames(benchmark::State& state) {
  FrameHeader header;
  header.type = protocol::MessageType::Reserve;
  const std::string frame =
      EncodeFrame(header, std::string(static_cast<std::size_t>(state.range(0)), 'x'));
  FrameDecoder decoder;
  for ([[maybe_unused]] auto _ : state) {
    decoder.Append(frame);
    const auto decoded = decoder.Next();
    if (!decoded || !decoded.value()) state.SkipWithError("the frame was not decoded");
  }
  state.SetBytesProcessed(state.iterations() * static_cast<std::int64_t>(frame.size()));
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(DecodeFrames)->Arg(100)->Arg(100000)->ThreadRange(1, 8)->UseRealTime();

protocol::HeartbeatMessageT MakeHeartbeat(std::int64_t peers) {
  constexpr std::uint64_t kIncarnation = 0x123456789abcdef0;
  protocol::HeartbeatMessageT heartbeat;
  heartbeat.sender = ToWire(Instance{"vm-lagos-ikeja-01", kIncarnation});
  heartbeat.epoch = 123456;
  heartbeat.config_next = 234567;
  heartbeat.members_next = 123457;
  heartbeat.config_evidence_age_ms = 250;
  heartbeat.log_reachable = true;
  heartbeat.spare_capacity = 100;
  heartbeat.promise_ms = 2500;
  for (std::int64_t i = 0; i < peers; ++i) {
    auto peer = std::make_unique<protocol::PeerStateT>();
    peer->instance = ToWire(Instance{absl::StrCat("vm-lagos-yaba-", 10 + i), kIncarnation});
    peer->age_ms = 1000;
    peer->sequence = 1000000;
    peer->spare_capacity = 100;
    peer->log_reachable = true;
    heartbeat.peers.push_back(std::move(peer));
  }
  return heartbeat;
}

// Entries per heartbeat: 8 today, 4 at 390 VMs.
void EncodeHeartbeat(benchmark::State& state) {
  const protocol::HeartbeatMessageT heartbeat = MakeHeartbeat(state.range(0));
  for ([[maybe_unused]] auto _ : state) benchmark::DoNotOptimize(EncodeMessage(heartbeat));
  state.SetItemsProcessed(state.iterations());
  state.counters["frame_bytes"] =
      benchmark::Counter(static_cast<double>(EncodeMessage(heartbeat).size() + kFrameHeaderSize),
                         benchmark::Counter::kAvgThreads);
}
BENCHMARK(EncodeHeartbeat)->Arg(4)->Arg(8)->ThreadRange(1, 8)->UseRealTime();

void DecodeHeartbeat(benchmark::State& state) {
  const std::string payload = EncodeMessage(MakeHeartbeat(state.range(0)));
  for ([[maybe_unused]] auto _ : state) {
    const auto decoded = DecodeMessage<protocol::HeartbeatMessageT>(payload, "peer");
    if (!decoded) state.SkipWithError("the heartbeat was not decoded");
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(DecodeHeartbeat)->Arg(4)->Arg(8)->ThreadRange(1, 8)->UseRealTime();

std::vector<VmId> MakeVms(std::int64_t count) {
  std::vector<VmId> vms;
  for (std::int64_t i = 0; i < count; ++i) vms.push_back(absl::StrCat("vm-", i));
  return vms;
}

std::vector<std::string> MakeKeys() {
  std::vector<std::string> keys;
  constexpr int kKeys = 1024;
  for (int i = 0; i < kKeys; ++i) keys.push_back(absl::StrCat("workspace/", i));
  return keys;
}

void FirstOfRendezvous(benchmark::State& state) {
  const std::vector<VmId> vms = MakeVms(state.range(0));
  const std::vector<std::string> keys = MakeKeys();
  std::size_t next = 0;
  for ([[maybe_unused]] auto _ : state) {
    benchmark::DoNotOptimize(FirstByRendezvous(keys[next++ % keys.size()], vms));
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(FirstOfRendezvous)->Arg(9)->Arg(390)->ThreadRange(1, 8)->UseRealTime();

void RankAllByRendezvous(benchmark::State& state) {
  const std::vector<VmId> vms = MakeVms(state.range(0));
  const std::vector<std::string> keys = MakeKeys();
  std::size_t next = 0;
  for ([[maybe_unused]] auto _ : state) {
    benchmark::DoNotOptimize(RankByRendezvous(keys[next++ % keys.size()], vms));
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(RankAllByRendezvous)->Arg(9)->Arg(390)->ThreadRange(1, 8)->UseRealTime();

}  // namespace
}  // namespace marigoldquay
