// TCP proxy that injects network faults between two processes. One thread runs a poll loop; a
// control server changes the settings.
//
// POST /control/target {"target":"HOST:PORT"}.
// POST /control/faults: delay_ms, jitter_ms (more delay per piece, random, so that connections
// overtake each other), rate_bytes_per_s (per direction, over all connections), refuse (connection
// refused), freeze_to_target and freeze_to_client (accepts, forwards nothing in this direction).
// POST /control/cut resets all connections. POST /control/half_open makes existing connections drop
// everything silently, while new ones work. GET /control/stats: accepted, connections, bytes.
#include <arpa/inet.h>
#include <fcntl.h>
#include <gflags/gflags.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstdio>
#include <deque>
#include <list>
#include <random>
#include <thread>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"
#include "http_server.h"
#include "marigoldquay/core/clock.h"

DEFINE_int32(listen, 0, "port on 127.0.0.1; 0 chooses one");
DEFINE_string(target, "", "HOST:PORT to connect to; connections are reset while it is empty");
DEFINE_uint64(seed, 1, "seed of the jitter");

namespace marigoldquay::testing {
namespace {

constexpr std::size_t kMaxQueued = 1 << 20;
constexpr std::size_t kReadSize = 65536;
// Longest time until the loop notices changed settings.
constexpr absl::Duration kMaxPoll = absl::Milliseconds(5);

absl::Time Now() { return SystemClock::Instance().Now(); }

sockaddr_in ParseAddress(const std::string& text) {
  const std::vector<std::string> parts = absl::StrSplit(text, ':');
  sockaddr_in address{};
  std::uint32_t port = 0;
  if (parts.size() == 2 && absl::SimpleAtoi(parts[1], &port) &&
      inet_pton(AF_INET, parts[0].c_str(), &address.sin_addr) == 1) {
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
  }
  return address;
}

void SetOption(int fd, int level, int name) {
  const int on = 1;
  setsockopt(fd, level, name, &on, sizeof(on));
}

int BoundSocket(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  SetOption(fd, SOL_SOCKET, SO_REUSEADDR);
  const sockaddr_in address = ParseAddress(absl::StrCat("127.0.0.1:", port));
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    std::perror("bind");
    std::exit(1);
  }
  return fd;
}

void CloseWithReset(int fd) {
  const linger reset = {1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  close(fd);
}

struct Piece {
  absl::Time due;
  /// Empty for the end of the stream.
  std::string data;
};

/// One direction of a connection.
struct Flow {
  int from = -1;
  int to = -1;
  const char* freeze = nullptr;
  std::atomic<std::int64_t>* bytes = nullptr;
  absl::Time* link_free = nullptr;
  std::deque<Piece> pieces;
  std::size_t queued = 0;
  bool read_end = false;
  bool sent_end = false;
  /// Poll results of this round.
  bool readable = false;
  bool writable = false;
};

struct Connection {
  Flow to_target;
  Flow to_client;
  bool half_open = false;
};

class Proxy {
 public:
  Proxy() : random_(FLAGS_seed), target_(FLAGS_target) {
    // Holds the port while connections are refused, when nothing listens on it.
    reservation_ = BoundSocket(FLAGS_listen);
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(reservation_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    Listen();
  }

  int port() const { return port_; }

  ServerResponse Control(const ServerRequest& request) {
    if (request.path == "/control/faults") return faults_.Set(request);
    if (request.path == "/control/stats") {
      return JsonResponse(200, {{"accepted", accepted_.load()},
                                {"connections", open_.load()},
                                {"bytes_to_target", bytes_to_target_.load()},
                                {"bytes_to_client", bytes_to_client_.load()}});
    }
    absl::MutexLock lock(&mutex_);
    if (request.path == "/control/target") {
      target_ = request.Json().at("target").as_string().c_str();
    } else if (request.path == "/control/cut") {
      cut_ = true;
    } else if (request.path == "/control/half_open") {
      half_open_ = true;
    } else {
      return ErrorResponse(404, "no such path");
    }
    const auto is_done = [&] { return !cut_ && !half_open_; };
    mutex_.Await(absl::Condition(&is_done));
    return JsonResponse(200, boost::json::object());
  }

  void Run() {
    for (;;) {
      ApplyControl();
      Poll();
      connections_.remove_if([&](Connection& connection) { return !Step(connection); });
      open_ = static_cast<std::int64_t>(connections_.size());
    }
  }

 private:
  void Listen() {
    listener_ = BoundSocket(port_);
    if (listen(listener_, SOMAXCONN) != 0) {
      std::perror("listen");
      std::exit(1);
    }
  }

  void ApplyControl() {
    const bool refuse = faults_.Value("refuse") != 0;
    if (refuse && listener_ >= 0) {
      close(listener_);
      listener_ = -1;
    } else if (!refuse && listener_ < 0) {
      Listen();
    }
    absl::MutexLock lock(&mutex_);
    for (Connection& connection : connections_) connection.half_open |= half_open_;
    if (cut_) {
      for (const Connection& connection : connections_) Reset(connection);
      connections_.clear();
    }
    cut_ = half_open_ = false;
  }

  static void Reset(const Connection& connection) {
    CloseWithReset(connection.to_target.from);
    CloseWithReset(connection.to_target.to);
  }

  bool IsFrozen(const Flow& flow) const { return faults_.Value(flow.freeze) != 0; }

  void Poll() {
    std::vector<pollfd> fds = {{listener_, POLLIN, 0}};
    std::vector<std::pair<Flow*, bool>> uses = {{nullptr, false}};
    absl::Duration timeout = kMaxPoll;
    for (Connection& connection : connections_) {
      for (Flow* flow : {&connection.to_target, &connection.to_client}) {
        flow->readable = flow->writable = false;
        if (!flow->read_end &&
            (connection.half_open || (!IsFrozen(*flow) && flow->queued < kMaxQueued))) {
          fds.push_back({flow->from, POLLIN, 0});
          uses.emplace_back(flow, false);
        }
        if (flow->pieces.empty() || connection.half_open || IsFrozen(*flow)) continue;
        const absl::Duration wait = flow->pieces.front().due - Now();
        if (wait > absl::ZeroDuration()) {
          timeout = std::min(timeout, wait);
        } else {
          fds.push_back({flow->to, POLLOUT, 0});
          uses.emplace_back(flow, true);
        }
      }
    }
    const timespec wait = absl::ToTimespec(timeout);
    ppoll(fds.data(), fds.size(), &wait, nullptr);
    for (std::size_t i = 1; i < fds.size(); ++i) {
      if (fds[i].revents == 0) continue;
      (uses[i].second ? uses[i].first->writable : uses[i].first->readable) = true;
    }
    if (fds[0].revents != 0) Accept();
  }

  void Accept() {
    const int client = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (client < 0) return;
    ++accepted_;
    absl::MutexLock lock(&mutex_);
    const sockaddr_in address = ParseAddress(target_);
    const int target = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const bool fails =
        connect(target, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0;
    if (address.sin_family != AF_INET || (fails && errno != EINPROGRESS)) {
      CloseWithReset(client);
      close(target);
      return;
    }
    SetOption(client, IPPROTO_TCP, TCP_NODELAY);
    SetOption(target, IPPROTO_TCP, TCP_NODELAY);
    Connection& connection = connections_.emplace_back();
    connection.to_target = {client, target, "freeze_to_target", &bytes_to_target_, &target_free_};
    connection.to_client = {target, client, "freeze_to_client", &bytes_to_client_, &client_free_};
  }

  // Moves what is due; false when the connection has ended and its sockets are closed.
  bool Step(Connection& connection) {
    for (Flow* flow : {&connection.to_target, &connection.to_client}) {
      if (flow->readable && !Read(*flow, connection.half_open)) {
        Reset(connection);
        return false;
      }
      if (flow->writable && !Write(*flow)) {
        Reset(connection);
        return false;
      }
    }
    if (!connection.to_target.sent_end || !connection.to_client.sent_end) return true;
    close(connection.to_target.from);
    close(connection.to_target.to);
    return false;
  }

  // False when the connection is broken.
  bool Read(Flow& flow, bool discard) {
    std::string data(kReadSize, '\0');
    const ssize_t size = read(flow.from, data.data(), data.size());
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) return true;
    flow.read_end = size <= 0;
    if (discard) return true;  // A half-open connection also hides its peer's end.
    if (size < 0) return false;
    data.resize(size);
    flow.queued += data.size();
    const absl::Time last = flow.pieces.empty() ? absl::InfinitePast() : flow.pieces.back().due;
    flow.pieces.push_back({std::max(last, DueTime(flow, data.size())), std::move(data)});
    return true;
  }

  absl::Time DueTime(const Flow& flow, std::size_t size) {
    absl::Time due = Now() + absl::Milliseconds(faults_.Value("delay_ms"));
    if (const std::int64_t jitter = faults_.Value("jitter_ms"); jitter > 0) {
      due += absl::Milliseconds(std::uniform_real_distribution<double>(0, jitter)(random_));
    }
    if (const std::int64_t rate = faults_.Value("rate_bytes_per_s"); rate > 0) {
      *flow.link_free =
          std::max(*flow.link_free, Now()) + absl::Seconds(static_cast<double>(size) / rate);
      due = std::max(due, *flow.link_free);
    }
    return due;
  }

  // False when the connection is broken.
  bool Write(Flow& flow) {
    while (!flow.pieces.empty() && flow.pieces.front().due <= Now()) {
      std::string& data = flow.pieces.front().data;
      if (data.empty()) {
        shutdown(flow.to, SHUT_WR);
        flow.sent_end = true;
      } else {
        const ssize_t size = send(flow.to, data.data(), data.size(), MSG_NOSIGNAL);
        if (size < 0) return errno == EAGAIN || errno == EINTR;
        *flow.bytes += size;
        flow.queued -= size;
        data.erase(0, size);
        if (!data.empty()) return true;
      }
      flow.pieces.pop_front();
    }
    return true;
  }

  FaultSet faults_{{"delay_ms", "jitter_ms", "rate_bytes_per_s", "refuse", "freeze_to_target",
                    "freeze_to_client"}};
  std::mt19937_64 random_;
  absl::Mutex mutex_;
  std::string target_;
  bool cut_ = false;
  bool half_open_ = false;
  // Used by the loop's thread only.
  std::list<Connection> connections_;
  absl::Time target_free_ = absl::InfinitePast();
  absl::Time client_free_ = absl::InfinitePast();
  int reservation_ = -1;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<std::int64_t> accepted_ = 0;
  std::atomic<std::int64_t> open_ = 0;
  std::atomic<std::int64_t> bytes_to_target_ = 0;
  std::atomic<std::int64_t> bytes_to_client_ = 0;
};

}  // namespace
}  // namespace marigoldquay::testing

int main(int argc, char** argv) {
  namespace testing = marigoldquay::testing;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  testing::BlockTermination();
  testing::Proxy proxy;
  const std::string control =
      testing::StartHttpServer(0, [&](const auto& request) { return proxy.Control(request); });
  std::thread([&] { proxy.Run(); }).detach();
  std::printf("listening 127.0.0.1:%d\ncontrol %s\n", proxy.port(), control.c_str());
  std::fflush(stdout);
  testing::AwaitTermination();
  std::_Exit(0);
}
