// RPC client: one shared connection per peer.
#include "marigoldquay/transport/rpc_client.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <limits>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "connection.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/core/logger.h"
#include "marigoldquay/core/metrics.h"
#include "rpc_errors.h"

namespace marigoldquay {
namespace {

constexpr absl::Duration kCancelPollInterval = absl::Milliseconds(20);
// Keeps waits within the range of the standard library's clocks.
constexpr absl::Duration kMaxTimeout = absl::Hours(24);
// Bounds for the replies of one stream that its caller has not taken yet. The bytes have room for
// a whole frame of the largest size.
constexpr std::size_t kMaxWaitingReplies = 8192;
constexpr std::size_t kMaxWaitingReplyBytes = 2 * std::size_t{kMaxPayloadSize};
// Twice the number of VMs at design scale, because replaced VMs leave addresses behind.
constexpr std::size_t kMaxPeers = 1024;

struct ClientMetrics {
  Counter& late_replies = MetricsRegistry::Global().counter(
      "marigoldquay_rpc_client_late_replies_total",
      "Replies dropped because their call was unknown or had ended.");
  Counter& timeouts = MetricsRegistry::Global().counter("marigoldquay_rpc_client_timeouts_total",
                                                        "Calls that ended at their timeout.");
  Counter& half_open = MetricsRegistry::Global().counter(
      "marigoldquay_rpc_client_half_open_total",
      "Connections closed because calls timed out and the peer sent nothing.");
  Counter& connects = MetricsRegistry::Global().counter("marigoldquay_rpc_client_connects_total",
                                                        "Connections opened to peers.");
};

ClientMetrics& Metrics() {
  static ClientMetrics metrics;
  return metrics;
}

absl::Time Now() { return SystemClock::Instance().Now(); }

// Deadline and cancellation of one call.
class CallWait {
 public:
  explicit CallWait(const CallOptions& options)
      : options_(options), deadline_(Now() + std::min(options.timeout, kMaxTimeout)) {}

  bool cancelled() const { return options_.cancelled && options_.cancelled(); }
  absl::Duration left() const { return std::max(deadline_ - Now(), absl::ZeroDuration()); }
  // Waits until `ready`, the deadline or the next poll of `cancelled`.
  template <class Ready>
  bool Step(std::condition_variable& changed, std::unique_lock<std::mutex>& lock,
            Ready ready) const {
    const absl::Duration step = options_.cancelled ? std::min(left(), kCancelPollInterval) : left();
    return changed.wait_for(lock, absl::ToChronoMicroseconds(step), ready);
  }

 private:
  const CallOptions& options_;
  const absl::Time deadline_;
};

// Replies of one call on their way from the reading thread to the caller.
class PendingCall {
 public:
  using Event = std::variant<Frame, Error>;

  void Deliver(Frame frame) {
    const std::scoped_lock lock(mutex_);
    if (failed_) return;
    bytes_ += frame.payload.size();
    if (replies_.size() >= kMaxWaitingReplies || bytes_ > kMaxWaitingReplyBytes) {
      failed_ = Error{ErrorCode::kResourceExhausted, "receive replies", "",
                      "caller takes replies too slowly"};
    } else {
      replies_.push_back(std::move(frame));
    }
    changed_.notify_one();
  }

  void Fail(const Error& error) {
    const std::scoped_lock lock(mutex_);
    if (!failed_) failed_ = error;
    changed_.notify_one();
  }

  // Next reply or failure; nullopt when the wait ended a step early.
  std::optional<Event> Next(const CallWait& wait) {
    std::unique_lock lock(mutex_);
    const auto ready = [this] { return !replies_.empty() || failed_; };
    if (!wait.Step(changed_, lock, ready)) return std::nullopt;
    // Replies that came before a failure are still delivered, in order.
    if (replies_.empty()) return *failed_;
    Event event = std::move(replies_.front());
    bytes_ -= std::get<Frame>(event).payload.size();
    replies_.pop_front();
    return event;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<Frame> replies_;
  std::size_t bytes_ = 0;
  std::optional<Error> failed_;
};

// A connection with the calls that wait on it and its reading thread.
class ClientConnection {
 public:
  ClientConnection(UniqueFd fd, const Address& peer, absl::Duration half_open_silence)
      : half_open_silence_(half_open_silence),
        connection_(std::move(fd), peer, {}),
        reader_([this] { Read(); }) {}
  ~ClientConnection() {
    connection_.Close();
    reader_.join();
  }
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  bool closed() const { return connection_.closed(); }

  void Add(std::uint64_t id, PendingCall& call) {
    const std::scoped_lock lock(mutex_);
    if (ended_) return call.Fail(*ended_);
    calls_[id] = &call;
  }

  // After it returns, the reading thread no longer uses the call.
  void Remove(std::uint64_t id) {
    const std::scoped_lock lock(mutex_);
    calls_.erase(id);
  }

  SendStatus Send(const FrameHeader& header, absl::string_view payload, absl::Duration wait) {
    return connection_.Send(EncodeFrame(header, payload), wait);
  }

  void SendCancel(std::uint64_t id, protocol::MessageType type) {
    Send({.flags = kFrameIsCancel, .type = type, .call_id = id}, "", absl::ZeroDuration());
  }

  // Notes that a call sent at `sent` timed out; closes the connection when it looks half-open.
  void OnTimeout(absl::Time sent) {
    {
      const std::scoped_lock lock(mutex_);
      if (last_received_ >= sent) return;
      silent_since_ = std::min(silent_since_, sent);
      if (Now() - silent_since_ < half_open_silence_) return;
    }
    Metrics().half_open.Increment();
    logger_.Warn("closing connection to ", connection_.peer(),
                 ": calls time out and the peer sends nothing");
    connection_.Close();
  }

 private:
  void Read() {
    const Error end = connection_.Run([this](Frame frame) { return OnFrame(std::move(frame)); });
    connection_.Close();
    const std::scoped_lock lock(mutex_);
    ended_ = end;
    for (auto& [id, call] : calls_) call->Fail(end);
  }

  std::optional<Error> OnFrame(Frame frame) {
    const FrameHeader& header = frame.header;
    const bool is_error = header.type == protocol::MessageType::Error;
    // Errors without a call concern the connection, e.g. a version that the peer does not speak.
    if (is_error && header.call_id == 0) return DecodeError(frame.payload, connection_.peer());
    const std::scoped_lock lock(mutex_);
    last_received_ = Now();
    silent_since_ = absl::InfiniteFuture();
    const auto call = calls_.find(header.call_id);
    if (call == calls_.end() || (header.flags & kFrameIsReply) == 0) {
      Metrics().late_replies.Increment();
      return std::nullopt;
    }
    if (is_error) {
      call->second->Fail(DecodeError(frame.payload, connection_.peer()));
    } else {
      call->second->Deliver(std::move(frame));
    }
    return std::nullopt;
  }

  const absl::Duration half_open_silence_;
  Logger logger_{"rpc"};
  Connection connection_;
  std::mutex mutex_;
  // Guarded by mutex_. Calls live on their callers' stacks and are removed before they end.
  std::map<std::uint64_t, PendingCall*> calls_;
  std::optional<Error> ended_;
  absl::Time last_received_ = absl::InfinitePast();
  // Send time of the first call that timed out since the peer last sent anything.
  absl::Time silent_since_ = absl::InfiniteFuture();
  std::thread reader_;
};

// Shared by the calls that use the connection.
using ConnectionPtr = std::shared_ptr<ClientConnection>;

// One peer's connection and who opens it.
struct PeerSlot {
  std::mutex mutex;
  std::condition_variable changed;
  // Guarded by mutex.
  ConnectionPtr connection;
  bool opening = false;
  std::uint64_t attempts = 0;
  // Why the last attempt failed; empty when it succeeded or was given up by its caller.
  std::optional<Error> last_error;
};

// Shared by the calls that use the slot, so that an unused one can be dropped any time.
using PeerSlotPtr = std::shared_ptr<PeerSlot>;

class TcpRpcClient final : public RpcClient {
 public:
  explicit TcpRpcClient(const RpcClientOptions& options) : options_(options) {}

  Result<std::string> Call(const Address& peer, protocol::MessageType type,
                           absl::string_view payload, const CallOptions& options) override {
    std::string reply;
    BOOST_LEAF_CHECK(Stream(peer, type, payload, options, [&](absl::string_view part) {
      reply.assign(part.data(), part.size());
      return true;
    }));
    return reply;
  }

  Result<void> Stream(const Address& peer, protocol::MessageType type, absl::string_view payload,
                      const CallOptions& options,
                      const std::function<bool(absl::string_view)>& on_reply) override {
    const CallWait wait(options);
    if (payload.size() > kMaxPayloadSize) {
      return Fail(
          ErrorCode::kNotSent, "send call", peer,
          absl::StrCat("payload_size ", payload.size(), ", allowed 0 to ", kMaxPayloadSize));
    }
    const std::uint64_t id = next_id_.fetch_add(1);
    // A kept connection may turn out to be closed before anything was sent on it; then the call
    // goes to a fresh one.
    for (int attempt = 0; attempt < 2; ++attempt) {
      BOOST_LEAF_AUTO(connection, Connect(peer, wait, options));
      PendingCall call;
      connection->Add(id, call);
      const absl::Time sent = Now();
      const FrameHeader header{.type = type, .remaining_ms = RemainingMs(wait), .call_id = id};
      const SendStatus status = connection->Send(header, payload, wait.left());
      if (status == SendStatus::kQueued) {
        return Await(peer, type, id, *connection, call, wait, sent, on_reply);
      }
      connection->Remove(id);
      if (status == SendStatus::kFull) {
        connection->OnTimeout(sent);
        return Fail(ErrorCode::kNotSent, "send call", peer, "send queue stayed full");
      }
    }
    return Fail(ErrorCode::kNotSent, "send call", peer, "connection closed");
  }

 private:
  static std::uint32_t RemainingMs(const CallWait& wait) {
    const auto ms = absl::ToInt64Milliseconds(wait.left());
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(ms, 1, std::numeric_limits<std::uint32_t>::max()));
  }

  Result<void> Await(const Address& peer, protocol::MessageType type, std::uint64_t id,
                     ClientConnection& connection, PendingCall& call, const CallWait& wait,
                     absl::Time sent, const std::function<bool(absl::string_view)>& on_reply) {
    const auto end = [&](ErrorCode code, std::string message) {
      connection.Remove(id);
      connection.SendCancel(id, type);
      return Fail(code, "await reply", peer, std::move(message));
    };
    while (true) {
      auto event = call.Next(wait);
      if (event && std::holds_alternative<Error>(*event)) {
        return EndFailed(peer, type, id, connection, std::get<Error>(*event));
      }
      if (event) {
        const Frame& frame = std::get<Frame>(*event);
        const bool last = (frame.header.flags & kFrameIsLast) != 0;
        if (last) connection.Remove(id);
        if (!on_reply(frame.payload) && !last) {
          return end(ErrorCode::kCancelled, "caller wants no more replies");
        }
        if (last) return {};
      }
      if (wait.cancelled()) return end(ErrorCode::kCancelled, "cancelled by the caller");
      if (wait.left() <= absl::ZeroDuration()) {
        Metrics().timeouts.Increment();
        connection.OnTimeout(sent);
        return end(ErrorCode::kTimeout, "no complete answer in time");
      }
    }
  }

  static Result<void> EndFailed(const Address& peer, protocol::MessageType type, std::uint64_t id,
                                ClientConnection& connection, Error error) {
    connection.Remove(id);
    if (error.code == ErrorCode::kResourceExhausted && error.step == "receive replies") {
      connection.SendCancel(id, type);
    }
    if (error.peer.empty()) error.peer = peer;
    return Fail(std::move(error));
  }

  // The peer's open connection. Among simultaneous callers one opens it and the others wait.
  Result<ConnectionPtr> Connect(const Address& peer, const CallWait& wait,
                                const CallOptions& options) {
    const auto slot = FindSlot(peer);
    if (!slot) {
      return Fail(ErrorCode::kNotSent, "connect", peer,
                  absl::StrCat("connections at their bound of ", kMaxPeers));
    }
    std::unique_lock lock(slot->mutex);
    while (slot->opening) {
      const std::uint64_t attempt = slot->attempts;
      const bool done = wait.Step(slot->changed, lock, [&] { return slot->attempts != attempt; });
      if (done && slot->last_error) return Fail(*slot->last_error);
      if (wait.cancelled()) {
        return Fail(ErrorCode::kCancelled, "connect", peer, "cancelled by the caller");
      }
      if (!done && wait.left() <= absl::ZeroDuration()) {
        return Fail(ErrorCode::kNotSent, "connect", peer, "no connection in time");
      }
    }
    if (slot->connection && !slot->connection->closed()) return slot->connection;
    slot->opening = true;
    ConnectionPtr former = std::move(slot->connection);
    lock.unlock();
    former.reset();
    auto opened = Open(peer, wait, options);
    lock.lock();
    slot->opening = false;
    ++slot->attempts;
    slot->last_error.reset();
    slot->changed.notify_all();
    if (auto* connection = std::get_if<0>(&opened)) {
      slot->connection = *connection;
      return *connection;
    }
    const Error& error = std::get<1>(opened);
    // A caller with a short timeout says nothing about the peer; the next one tries again.
    if (wait.left() > absl::ZeroDuration() && error.code == ErrorCode::kNotSent) {
      slot->last_error = error;
    }
    return Fail(error);
  }

  std::variant<ConnectionPtr, Error> Open(const Address& peer, const CallWait& wait,
                                          const CallOptions& options) {
    return Capture<ConnectionPtr>([&]() -> Result<ConnectionPtr> {
      const absl::Duration timeout = std::min(wait.left(), options_.connect_timeout);
      BOOST_LEAF_AUTO(fd, ConnectTcp(peer, timeout, options.cancelled));
      Metrics().connects.Increment();
      return std::make_shared<ClientConnection>(std::move(fd), peer, options_.half_open_silence);
    });
  }

  PeerSlotPtr FindSlot(const Address& peer) {
    const std::scoped_lock lock(mutex_);
    if (const auto found = slots_.find(peer); found != slots_.end()) return found->second;
    if (slots_.size() >= kMaxPeers) {
      std::erase_if(slots_, [](const auto& entry) {
        const std::scoped_lock slot_lock(entry.second->mutex);
        return entry.second.use_count() == 1 &&
               (!entry.second->connection || entry.second->connection->closed());
      });
    }
    if (slots_.size() >= kMaxPeers) return nullptr;
    return slots_.emplace(peer, std::make_shared<PeerSlot>()).first->second;
  }

  const RpcClientOptions options_;
  // Ids start at 1; 0 marks errors that concern the whole connection.
  std::atomic<std::uint64_t> next_id_{1};
  std::mutex mutex_;
  // Guarded by mutex_; at most kMaxPeers.
  std::map<Address, PeerSlotPtr> slots_;
};

}  // namespace

std::unique_ptr<RpcClient> MakeTcpRpcClient(const RpcClientOptions& options) {
  return std::make_unique<TcpRpcClient>(options);
}

}  // namespace marigoldquay
