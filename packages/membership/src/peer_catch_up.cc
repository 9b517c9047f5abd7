// Fetching records from peers.
#include "marigoldquay/membership/peer_catch_up.h"

#include <algorithm>

#include "marigoldquay/core/logger.h"

namespace marigoldquay {
namespace {

constexpr absl::Duration kFetchTimeout = absl::Seconds(2);
constexpr absl::Duration kInterval = absl::Seconds(1);
// Enough for a snapshot of all parts and the records after it.
constexpr int kMaxCallsPerPull = 1000;

const Logger& Log() {
  static const Logger logger("member");
  return logger;
}

}  // namespace

void PeerCatchUp::RegisterHandler(RpcRegistry& registry) {
  marigoldquay::RegisterHandler<protocol::FetchRecordsRequestT>(
      registry, protocol::MessageType::FetchRecords,
      [this](const protocol::FetchRecordsRequestT& request,
             const RpcCall& call) -> Result<protocol::FetchRecordsReplyT> {
        for (auto* stream : streams_) {
          if (stream->Serves(request.stream)) return stream->Serve(request);
        }
        return Fail(ErrorCode::kNotFound, "serve records", call.peer,
                    "stream is " + request.stream.substr(0, 40) + "; allowed: config, members");
      });
}

void PeerCatchUp::AddHint(const Address& peer) {
  {
    absl::MutexLock lock(&mutex_);
    if (std::find(hints_.begin(), hints_.end(), peer) != hints_.end()) return;
    hints_.push_back(peer);
    if (hints_.size() > kMaxHints) hints_.pop_front();
  }
  thread_.Wake();
}

bool PeerCatchUp::PullStream(const Address& peer, PeerStream& stream) {
  for (int i = 0; i < kMaxCallsPerPull; ++i) {
    const auto request = stream.NextRequest();
    const int outcome = HandleError(
        [&]() -> Result<int> {
          BOOST_LEAF_AUTO(reply, CallPeer<protocol::FetchRecordsReplyT>(
                                     client_, peer, protocol::MessageType::FetchRecords, request,
                                     {kFetchTimeout, {}}));
          return stream.TakeReply(request, reply) ? 1 : 0;
        },
        [&](const Error& error) {
          Log().Debug("records not fetched: ", error.ToString());
          return -1;
        });
    if (outcome <= 0) return outcome == 0;
  }
  return false;
}

bool PeerCatchUp::Pull(const Address& peer) {
  absl::MutexLock lock(&pulling_);
  return std::all_of(streams_.begin(), streams_.end(),
                     [&](PeerStream* stream) { return PullStream(peer, *stream); });
}

void PeerCatchUp::RunOnce() {
  std::deque<Address> hints;
  {
    absl::MutexLock lock(&mutex_);
    hints.swap(hints_);
  }
  for (const auto& peer : hints) Pull(peer);
}

void PeerCatchUp::Start() {
  thread_.Start(kInterval, [this] { RunOnce(); });
}

}  // namespace marigoldquay
