// TCP sockets with timeouts.
#include "socket.h"

#include <fcntl.h>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <memory>

#include "absl/strings/str_cat.h"
#include "marigoldquay/core/clock.h"

namespace marigoldquay {
namespace {

// Probes of an idle connection: a peer that vanished without closing is found within 8 s also when
// the only call on the connection waits for a long time.
constexpr int kKeepAliveIdleSeconds = 5;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 3;
constexpr unsigned kUnackedTimeoutMs = 8000;
constexpr absl::Duration kCancelPollInterval = absl::Milliseconds(20);
constexpr int kListenBacklog = 512;

using AddressInfo = std::unique_ptr<addrinfo, decltype(&freeaddrinfo)>;

std::string ErrnoText(int error) {
  std::array<char, 128> buffer{};
  return strerror_r(error, buffer.data(), buffer.size());
}

AddressInfo ResolveNumeric(const std::string& host, const std::string& port, int flags) {
  addrinfo hints{};
  hints.ai_socktype = SOCK_STREAM;
  hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV | flags;
  addrinfo* found = nullptr;
  if (getaddrinfo(host.c_str(), port.c_str(), &hints, &found) != 0) found = nullptr;
  return {found, &freeaddrinfo};
}

void SetOption(int fd, int level, int name, int value) {
  setsockopt(fd, level, name, &value, sizeof(value));
}

void Configure(int fd) {
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, kUnackedTimeoutMs);
}

Address AddressText(const sockaddr_storage& storage, socklen_t size) {
  std::array<char, NI_MAXHOST> host{};
  std::array<char, NI_MAXSERV> port{};
  if (getnameinfo(reinterpret_cast<const sockaddr*>(&storage), size, host.data(), host.size(),
                  port.data(), port.size(), NI_NUMERICHOST | NI_NUMERICSERV) != 0) {
    return {};
  }
  const bool v6 = storage.ss_family == AF_INET6;
  return absl::StrCat(v6 ? "[" : "", host.data(), v6 ? "]" : "", ":", port.data());
}

// Splits "host:port" or "[host]:port"; both parts are empty when it is malformed.
std::pair<std::string, std::string> SplitAddress(const Address& address) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) return {};
  std::string host = address.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  return {std::move(host), address.substr(colon + 1)};
}

Error ConnectError(ErrorCode code, const Address& address, std::string message) {
  return {code, "connect", address, std::move(message)};
}

}  // namespace

void UniqueFd::Reset() {
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
}

WakeFd::WakeFd() : fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

void WakeFd::Wake() const { eventfd_write(fd_.descriptor(), 1); }

void WakeFd::Clear() const {
  eventfd_t count = 0;
  eventfd_read(fd_.descriptor(), &count);
}

Result<UniqueFd> ListenTcp(const std::string& host, int port) {
  const std::string address = absl::StrCat(host, ":", port);
  const auto resolved = ResolveNumeric(host, absl::StrCat(port), AI_PASSIVE);
  if (!resolved || port < 0 || port > 65535) {
    return Fail(ErrorCode::kInvalidArgument, "listen", address,
                "address malformed, allowed a numeric IP address and a port from 0 to 65535");
  }
  UniqueFd fd(socket(resolved->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_TCP));
  if (fd.valid()) SetOption(fd.descriptor(), SOL_SOCKET, SO_REUSEADDR, 1);
  if (!fd.valid() || bind(fd.descriptor(), resolved->ai_addr, resolved->ai_addrlen) != 0 ||
      listen(fd.descriptor(), kListenBacklog) != 0) {
    return Fail(ErrorCode::kUnavailable, "listen", address, ErrnoText(errno));
  }
  return fd;
}

UniqueFd AcceptTcp(int listener, Address& peer) {
  sockaddr_storage storage{};
  socklen_t size = sizeof(storage);
  UniqueFd fd(accept4(listener, reinterpret_cast<sockaddr*>(&storage), &size,
                      SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (!fd.valid()) return fd;
  Configure(fd.descriptor());
  peer = AddressText(storage, size);
  return fd;
}

Result<UniqueFd> ConnectTcp(const Address& address, absl::Duration timeout,
                            const std::function<bool()>& cancelled) {
  const auto [host, port] = SplitAddress(address);
  const auto resolved = ResolveNumeric(host, port, 0);
  if (host.empty() || port.empty() || !resolved) {
    return Fail(ConnectError(ErrorCode::kNotSent, address,
                             "address malformed, allowed a numeric IP address and a port"));
  }
  UniqueFd fd(socket(resolved->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_TCP));
  if (!fd.valid()) return Fail(ConnectError(ErrorCode::kNotSent, address, ErrnoText(errno)));
  Configure(fd.descriptor());
  int error = 0;
  if (connect(fd.descriptor(), resolved->ai_addr, resolved->ai_addrlen) != 0) error = errno;
  const Clock& clock = SystemClock::Instance();
  const absl::Time deadline = clock.Now() + timeout;
  while (error == EINPROGRESS) {
    if (cancelled && cancelled()) {
      return Fail(ConnectError(ErrorCode::kCancelled, address, "cancelled by the caller"));
    }
    const absl::Duration left = deadline - clock.Now();
    if (left <= absl::ZeroDuration()) {
      return Fail(
          ConnectError(ErrorCode::kNotSent, address,
                       absl::StrCat("no connection within ", absl::FormatDuration(timeout))));
    }
    pollfd waiting{fd.descriptor(), POLLOUT, 0};
    const absl::Duration wait = cancelled ? std::min(left, kCancelPollInterval) : left;
    if (poll(&waiting, 1, static_cast<int>(absl::ToInt64Milliseconds(wait)) + 1) <= 0) continue;
    socklen_t size = sizeof(error);
    getsockopt(fd.descriptor(), SOL_SOCKET, SO_ERROR, &error, &size);
  }
  if (error != 0) return Fail(ConnectError(ErrorCode::kNotSent, address, ErrnoText(error)));
  return fd;
}

Address LocalAddress(int fd) {
  sockaddr_storage storage{};
  socklen_t size = sizeof(storage);
  if (getsockname(fd, reinterpret_cast<sockaddr*>(&storage), &size) != 0) return {};
  return AddressText(storage, size);
}

}  // namespace marigoldquay
