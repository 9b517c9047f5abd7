// RPC server: accepts connections, reads requests and runs their handlers.
#include "marigoldquay/transport/rpc_server.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <exception>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include "absl/strings/str_cat.h"
#include "connection.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/core/logger.h"
#include "marigoldquay/core/metrics.h"
#include "marigoldquay/protocol/codec.h"
#include "rpc_errors.h"
#include "worker_pool.h"

namespace marigoldquay {
namespace {

// Bound for the remaining time that a request may claim.
constexpr std::uint32_t kMaxRemainingMs = 3'600'000;

struct ServerMetrics {
  Counter& calls = MetricsRegistry::Global().counter("marigoldquay_rpc_server_calls_total",
                                                     "Calls that inner handlers have run.");
  Counter& rejected = MetricsRegistry::Global().counter(
      "marigoldquay_rpc_server_rejected_calls_total",
      "Calls rejected because the bound of running calls was reached.");
  Counter& dropped_replies = MetricsRegistry::Global().counter(
      "marigoldquay_rpc_server_dropped_replies_total",
      "Replies dropped because the peer was gone or did not read.");
  Counter& malformed = MetricsRegistry::Global().counter(
      "marigoldquay_rpc_server_malformed_frames_total", "Frames that ended their connection.");
  Counter& dropped_frames = MetricsRegistry::Global().counter(
      "marigoldquay_rpc_server_dropped_frames_total",
      "Requests with the call id of a running call, and replies sent to a server.");
  Gauge& connections = MetricsRegistry::Global().gauge("marigoldquay_rpc_server_connections",
                                                       "Open inner connections.");
};

ServerMetrics& Metrics() {
  static ServerMetrics metrics;
  return metrics;
}

bool WaitsLong(protocol::MessageType type) {
  return type == protocol::MessageType::RunOnce || type == protocol::MessageType::Ask ||
         type == protocol::MessageType::Acquire;
}

// One call: its state as the reader sees it and its writer as the handler sees it.
class ServerCall final : public ReplyWriter {
 public:
  ServerCall(Connection& connection, absl::Duration send_timeout, const FrameHeader& header)
      : connection_(connection), send_timeout_(send_timeout), header_(header) {
    deadline_ = SystemClock::Instance().Now() +
                absl::Milliseconds(std::min(header.remaining_ms, kMaxRemainingMs));
  }

  bool Write(absl::string_view payload) override {
    if (finished_ || cancelled()) return false;
    if (payload.size() > kMaxPayloadSize) {
      FinishWithError(TooLarge(payload.size()));
      return false;
    }
    if (Send(header_.type, kFrameIsReply, payload)) return true;
    // The caller would see a gap, so nothing more is sent of this answer.
    cancelled_ = true;
    return false;
  }

  void Finish(absl::string_view payload) override {
    if (payload.size() > kMaxPayloadSize) return FinishWithError(TooLarge(payload.size()));
    if (finished_.exchange(true) || cancelled_) return;
    Send(header_.type, kFrameIsReply | kFrameIsLast, payload);
  }

  void FinishWithError(const Error& error) override {
    if (finished_.exchange(true) || cancelled_) return;
    Send(protocol::MessageType::Error, kFrameIsReply | kFrameIsLast, EncodeError(error));
  }

  bool cancelled() const override {
    return cancelled_ || SystemClock::Instance().Now() >= deadline_;
  }

  void Cancel() { cancelled_ = true; }
  bool finished() const { return finished_; }
  absl::Time deadline() const { return deadline_; }

 private:
  Error TooLarge(std::size_t size) const {
    return {ErrorCode::kInternal, "reply to call", connection_.peer(),
            absl::StrCat("payload_size ", size, ", allowed 0 to ", kMaxPayloadSize)};
  }

  bool Send(protocol::MessageType type, int flags, absl::string_view payload) {
    FrameHeader header = header_;
    header.flags = static_cast<std::uint8_t>(flags);
    header.type = type;
    header.remaining_ms = 0;
    const absl::Duration left = deadline_ - SystemClock::Instance().Now();
    const auto wait = std::clamp(left, absl::ZeroDuration(), send_timeout_);
    if (connection_.Send(EncodeFrame(header, payload), wait) == SendStatus::kQueued) return true;
    Metrics().dropped_replies.Increment();
    return false;
  }

  Connection& connection_;
  const absl::Duration send_timeout_;
  const FrameHeader header_;
  absl::Time deadline_;
  std::atomic<bool> cancelled_{false};
  std::atomic<bool> finished_{false};
};

using Handlers = std::map<protocol::MessageType, RpcHandler>;

// A connection with its running calls. Shared by its reading thread and its running calls, which
// may outlive the connection.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  ServerConnection(UniqueFd fd, const Address& peer, const RpcServerOptions& options,
                   const Handlers& handlers, WorkerPool& pool)
      : options_(options),
        handlers_(handlers),
        pool_(pool),
        connection_(
            std::move(fd), peer,
            {.max_queued_bytes = options.max_queued_bytes, .send_timeout = options.send_timeout}) {}

  void Run() {
    const Error end = connection_.Run([this](Frame frame) { return OnFrame(std::move(frame)); });
    if (end.code == ErrorCode::kProtocol) {
      Metrics().malformed.Increment();
      logger_.Warn("closing connection from ", end.peer, ": ", end.message);
      connection_.SayFarewell(
          EncodeFrame({.flags = kFrameIsReply | kFrameIsLast, .type = protocol::MessageType::Error},
                      EncodeError(end)));
    } else {
      logger_.Debug("connection from ", end.peer, " ended: ", end.message);
    }
    connection_.Close();
    const std::scoped_lock lock(mutex_);
    for (auto& [id, call] : calls_) call->Cancel();
    ended_ = true;
  }

  void Close() { connection_.Close(); }
  bool ended() const {
    const std::scoped_lock lock(mutex_);
    return ended_;
  }

 private:
  std::optional<Error> OnFrame(Frame frame) {
    const FrameHeader& header = frame.header;
    if ((header.flags & kFrameIsCancel) != 0) {
      const std::scoped_lock lock(mutex_);
      if (const auto call = calls_.find(header.call_id); call != calls_.end()) {
        call->second->Cancel();
      }
      return std::nullopt;
    }
    if ((header.flags & kFrameIsReply) != 0) {
      Metrics().dropped_frames.Increment();
      return std::nullopt;
    }
    StartCall(std::move(frame));
    return std::nullopt;
  }

  void StartCall(Frame frame) {
    const FrameHeader header = frame.header;
    const auto call = std::make_shared<ServerCall>(connection_, options_.send_timeout, header);
    const auto handler = handlers_.find(header.type);
    if (handler == handlers_.end()) {
      return Reject(header, ErrorCode::kRefused,
                    absl::StrCat("no handler for message type ", static_cast<int>(header.type)));
    }
    {
      const std::scoped_lock lock(mutex_);
      if (!calls_.emplace(header.call_id, call).second) {
        Metrics().dropped_frames.Increment();
        return;
      }
    }
    RpcCall request{header.type, std::move(frame.payload), connection_.peer(), call->deadline()};
    const auto reserved = WaitsLong(header.type) ? options_.reserved_calls : 0;
    if (pool_.TryRun(
            [self = shared_from_this(), call, id = header.call_id, request = std::move(request),
             &handler = handler->second] { self->RunCall(handler, request, id, *call); },
            static_cast<std::size_t>(reserved))) {
      return;
    }
    Metrics().rejected.Increment();
    RemoveCall(header.call_id);
    Reject(header, ErrorCode::kResourceExhausted,
           absl::StrCat("running calls at their bound of ", options_.max_running_calls));
  }

  void RunCall(const RpcHandler& handler, const RpcCall& request, std::uint64_t id,
               ServerCall& call) {
    Metrics().calls.Increment();
    std::string fault = "handler ended without a reply";
    try {
      if (!call.cancelled()) handler(request, call);
    } catch (const std::exception& exception) {
      fault = absl::StrCat("handler failed: ", exception.what());
      logger_.Error("call of type ", static_cast<int>(request.type), " from ", request.peer, ": ",
                    fault);
    }
    if (!call.finished()) {
      const bool late = call.cancelled();
      call.FinishWithError({late ? ErrorCode::kTimeout : ErrorCode::kInternal, "handle call", "",
                            late ? "deadline passed" : std::move(fault)});
    }
    RemoveCall(id);
  }

  // Runs on the reading thread, so it never waits for room.
  void Reject(const FrameHeader& request, ErrorCode code, std::string message) {
    FrameHeader header = request;
    header.flags = kFrameIsReply | kFrameIsLast;
    header.type = protocol::MessageType::Error;
    header.remaining_ms = 0;
    const Error error{code, "accept call", "", std::move(message)};
    if (connection_.Send(EncodeFrame(header, EncodeError(error)), absl::ZeroDuration()) !=
        SendStatus::kQueued) {
      Metrics().dropped_replies.Increment();
    }
  }

  void RemoveCall(std::uint64_t id) {
    const std::scoped_lock lock(mutex_);
    calls_.erase(id);
  }

  const RpcServerOptions& options_;
  const Handlers& handlers_;
  WorkerPool& pool_;
  Logger logger_{"rpc"};
  Connection connection_;
  mutable std::mutex mutex_;
  // Guarded by mutex_; bounded by max_running_calls. A call is here while its handler runs; it is
  // shared with the thread that runs the handler.
  std::map<std::uint64_t, std::shared_ptr<ServerCall>> calls_;
  bool ended_ = false;
};

}  // namespace

class RpcServer::Impl {
 public:
  explicit Impl(RpcServerOptions options)
      : options_(std::move(options)),
        pool_(static_cast<std::size_t>(std::max(1, options_.max_running_calls))) {}
  ~Impl() { Stop(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Register(protocol::MessageType type, RpcHandler handler) {
    handlers_[type] = std::move(handler);
  }

  Result<void> Start() {
    BOOST_LEAF_ASSIGN(listener_, ListenTcp(options_.host, options_.port));
    address_ = LocalAddress(listener_.descriptor());
    acceptor_ = std::thread([this] { Accept(); });
    logger_.Info("listening on ", address_);
    return {};
  }

  const Address& address() const { return address_; }

  void Stop() {
    stopping_ = true;
    wake_.Wake();
    if (acceptor_.joinable()) acceptor_.join();
    listener_.Reset();
    for (Peer& peer : peers_) peer.connection->Close();
    for (Peer& peer : peers_) peer.reader.join();
    peers_.clear();
    pool_.Stop();
    Metrics().connections.Set(0);
  }

 private:
  struct Peer {
    std::shared_ptr<ServerConnection> connection;
    std::thread reader;
  };

  void Accept() {
    // Ended connections are joined at the latest after this long.
    constexpr int kSweepMs = 1000;
    while (!stopping_) {
      std::array<pollfd, 2> waiting{pollfd{listener_.descriptor(), POLLIN, 0},
                                    pollfd{wake_.fd(), POLLIN, 0}};
      poll(waiting.data(), waiting.size(), kSweepMs);
      if (stopping_) return;
      Sweep();
      Address peer;
      UniqueFd fd = AcceptTcp(listener_.descriptor(), peer);
      if (fd.valid()) AddPeer(std::move(fd), peer);
    }
  }

  void AddPeer(UniqueFd fd, const Address& peer) {
    if (peers_.size() >= static_cast<std::size_t>(options_.max_connections)) {
      logger_.Warn("closing connection from ", peer, ": connections at their bound of ",
                   options_.max_connections);
      return;
    }
    auto connection =
        std::make_shared<ServerConnection>(std::move(fd), peer, options_, handlers_, pool_);
    std::thread reader([connection] { connection->Run(); });
    peers_.push_back({std::move(connection), std::move(reader)});
    Metrics().connections.Set(static_cast<std::int64_t>(peers_.size()));
  }

  void Sweep() {
    std::erase_if(peers_, [](Peer& peer) {
      if (!peer.connection->ended()) return false;
      peer.reader.join();
      return true;
    });
    Metrics().connections.Set(static_cast<std::int64_t>(peers_.size()));
  }

  const RpcServerOptions options_;
  Logger logger_{"rpc"};
  Handlers handlers_;
  UniqueFd listener_;
  WakeFd wake_;
  Address address_;
  std::atomic<bool> stopping_{false};
  std::thread acceptor_;
  // Used by the accepting thread, and by Stop once that has ended.
  std::vector<Peer> peers_;
  WorkerPool pool_;
};

RpcServer::RpcServer(RpcServerOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}
RpcServer::~RpcServer() = default;

void RpcServer::Register(protocol::MessageType type, RpcHandler handler) {
  impl_->Register(type, std::move(handler));
}

Result<void> RpcServer::Start() { return impl_->Start(); }
Address RpcServer::address() const { return impl_->address(); }
void RpcServer::Stop() { impl_->Stop(); }

}  // namespace marigoldquay
