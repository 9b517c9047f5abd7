// TCP sockets with timeouts.
#ifndef MARIGOLDQUAY_TRANSPORT_SRC_SOCKET_H_
#define MARIGOLDQUAY_TRANSPORT_SRC_SOCKET_H_

#include <functional>
#include <string>
#include <utility>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "marigoldquay/core/error.h"
#include "marigoldquay/core/types.h"

namespace marigoldquay {

/// Owns a file descriptor.
class UniqueFd {
 public:
  UniqueFd() = default;
  explicit UniqueFd(int fd) : fd_(fd) {}
  ~UniqueFd() { Reset(); }
  UniqueFd(UniqueFd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  UniqueFd& operator=(UniqueFd&& other) noexcept {
    if (this != &other) {
      Reset();
      fd_ = std::exchange(other.fd_, -1);
    }
    return *this;
  }

  int descriptor() const { return fd_; }
  bool valid() const { return fd_ >= 0; }
  void Reset();

 private:
  int fd_ = -1;
};

/// Lets one thread end another thread's poll.
class WakeFd {
 public:
  WakeFd();
  void Wake() const;
  void Clear() const;
  int fd() const { return fd_.descriptor(); }

 private:
  UniqueFd fd_;
};

/// Listens on a numeric address.
Result<UniqueFd> ListenTcp(const std::string& host, int port);

/// Accepts one waiting connection and configures it; an invalid descriptor when there is none.
/// `peer` receives its address.
UniqueFd AcceptTcp(int listener, Address& peer);

/// Connects to a numeric address. kNotSent when no connection could be made within `timeout`,
/// kCancelled when `cancelled`, polled every 20 ms, returned true.
Result<UniqueFd> ConnectTcp(const Address& address, absl::Duration timeout,
                            const std::function<bool()>& cancelled);

/// Address to which a socket is bound.
Address LocalAddress(int fd);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_TRANSPORT_SRC_SOCKET_H_
