// A TCP server for unit tests that runs a scripted function per connection.
#ifndef MARIGOLDQUAY_TESTS_SUPPORT_TCP_STUB_SERVER_H_
#define MARIGOLDQUAY_TESTS_SUPPORT_TCP_STUB_SERVER_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace marigoldquay::testing {

/// One accepted connection; closed when the script returns.
class StubConnection {
 public:
  StubConnection(int fd, int number) : fd_(fd), number_(number) {}

  int fd() const { return fd_; }
  /// Number of the connection, from 1 on.
  int number() const { return number_; }
  void Send(const std::string& bytes) const {
    for (std::size_t sent = 0; sent < bytes.size();) {
      const auto n = send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) return;
      sent += static_cast<std::size_t>(n);
    }
  }
  /// Received bytes up to and including `end`; what came before the connection ended otherwise.
  std::string ReadUntil(const std::string& end) const {
    std::string bytes;
    char c = 0;
    while (bytes.find(end) == std::string::npos && recv(fd_, &c, 1, 0) == 1) bytes += c;
    return bytes;
  }
  /// Waits until the other side closes.
  void AwaitClose() const {
    std::array<char, 4096> discarded{};
    while (recv(fd_, discarded.data(), discarded.size(), 0) > 0) {
    }
  }

 private:
  int fd_;
  int number_;
};

/// Listens on a free port of 127.0.0.1 until destroyed.
class TcpStubServer {
 public:
  using Script = std::function<void(const StubConnection&)>;

  explicit TcpStubServer(Script script)
      : script_(std::move(script)), listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in bound{};
    bound.sin_family = AF_INET;
    bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(bound);
    (void)bind(listener_, reinterpret_cast<sockaddr*>(&bound), size);
    listen(listener_, 16);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&bound), &size);
    address_ = "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
    acceptor_ = std::thread([this] { Accept(); });
  }
  ~TcpStubServer() {
    stopping_ = true;
    shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    for (const int fd : fds_) shutdown(fd, SHUT_RDWR);
    for (std::thread& thread : threads_) thread.join();
    for (const int fd : fds_) close(fd);
    close(listener_);
  }
  TcpStubServer(const TcpStubServer&) = delete;
  TcpStubServer& operator=(const TcpStubServer&) = delete;

  const std::string& address() const { return address_; }
  int connections() const { return connections_; }

 private:
  void Accept() {
    while (!stopping_) {
      const int fd = accept(listener_, nullptr, nullptr);
      if (fd < 0) return;
      fds_.push_back(fd);
      const int number = ++connections_;
      threads_.emplace_back([this, fd, number] {
        script_(StubConnection(fd, number));
        // The descriptor itself is closed by the destructor, which may still shut it down.
        shutdown(fd, SHUT_RDWR);
      });
    }
  }

  const Script script_;
  const int listener_;
  std::string address_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> connections_{0};
  // Used by the accepting thread, and by the destructor once that has ended.
  std::vector<int> fds_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

}  // namespace marigoldquay::testing

#endif  // MARIGOLDQUAY_TESTS_SUPPORT_TCP_STUB_SERVER_H_
