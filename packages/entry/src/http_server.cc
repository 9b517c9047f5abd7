// HTTP server on libmicrohttpd.
#include "marigoldquay/entry/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstring>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/core/logger.h"

namespace marigoldquay {
namespace {

// A body over the limit is read and dropped up to this many times the limit, so that the caller
// gets the error instead of a reset connection.
constexpr std::size_t kDrainFactor = 4;

bool SocketClosed(int socket) {
  pollfd poller{socket, POLLRDHUP, 0};
  return poll(&poller, 1, 0) > 0 && (poller.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

std::optional<sockaddr_in> ParseListenAddress(const Address& address) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  int port = 0;
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  if (!absl::SimpleAtoi(address.substr(colon + 1), &port) || port < 0 || port > 65535) {
    return std::nullopt;
  }
  parsed.sin_port = htons(static_cast<std::uint16_t>(port));
  if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr) != 1) {
    return std::nullopt;
  }
  return parsed;
}

}  // namespace

const std::string* HttpServerRequest::FindHeader(absl::string_view name) const {
  for (const auto& header : headers) {
    if (header.first == name) return &header.second;
  }
  return nullptr;
}

class HttpServer::Impl {
 public:
  Impl(HttpServerOptions options, HttpServerHandler handler)
      : options_(std::move(options)), handler_(std::move(handler)) {}
  ~Impl() {
    if (daemon_ != nullptr) MHD_stop_daemon(daemon_);
  }

  Result<void> Listen() {
    const auto parsed = ParseListenAddress(options_.listen);
    if (!parsed) {
      return Fail(ErrorCode::kInvalidArgument, "listen for HTTP", options_.listen,
                  "the address must be an IPv4 address and a port from 0 to 65535");
    }
    unsigned int flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
                         MHD_USE_POLL | MHD_USE_ITC;
    std::vector<MHD_OptionItem> items;
    if (!options_.tls_certificate.empty() && !options_.tls_private_key.empty()) {
      flags |= MHD_USE_TLS;
      // The option item's pointer is not const, but libmicrohttpd only reads the texts.
      items.push_back(MHD_OptionItem{MHD_OPTION_HTTPS_MEM_CERT, 0,
                                     const_cast<char*>(options_.tls_certificate.data())});
      items.push_back(MHD_OptionItem{MHD_OPTION_HTTPS_MEM_KEY, 0,
                                     const_cast<char*>(options_.tls_private_key.data())});
    }
    items.push_back(MHD_OptionItem{MHD_OPTION_END, 0, nullptr});
    sockaddr_in address = *parsed;
    daemon_ = MHD_start_daemon(
        flags, 0, nullptr, nullptr, &Impl::OnRequest, this, MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_CONNECTION_LIMIT, static_cast<unsigned int>(options_.max_connections),
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, options_.max_header_size, MHD_OPTION_CONNECTION_TIMEOUT,
        IdleSeconds(), MHD_OPTION_NOTIFY_COMPLETED, &Impl::OnCompleted, this,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_THREAD_STACK_SIZE, kThreadStackSize,
        MHD_OPTION_ARRAY, items.data(), MHD_OPTION_END);
    if (daemon_ == nullptr) {
      return Fail(ErrorCode::kUnavailable, "listen for HTTP", options_.listen,
                  absl::StrCat("cannot listen: ", std::strerror(errno)));
    }
    const auto* info = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT);
    address_ = absl::StrCat(options_.listen.substr(0, options_.listen.rfind(':')), ":",
                            info != nullptr ? info->port : 0);
    return {};
  }

  void StopAccepting() {
    if (!accepting_.exchange(false)) return;
    const int listen_socket = MHD_quiesce_daemon(daemon_);
    // libmicrohttpd leaves the socket open; without closing it the kernel would go on accepting.
    if (listen_socket >= 0) close(listen_socket);
  }
  Address address() const { return address_; }
  int active_requests() const { return active_requests_; }

 private:
  // Handlers keep little on the stack; 8 MiB a thread would reserve 16 GiB at the connection limit.
  static constexpr std::size_t kThreadStackSize = std::size_t{512} << 10;

  struct Exchange {
    HttpServerRequest request;
    absl::Time started;
    std::size_t received = 0;
    bool counted = false;
  };
  struct Stream {
    std::function<BodyPart()> next_part;
    std::string data;
    std::size_t position = 0;
  };

  unsigned int IdleSeconds() const {
    return static_cast<unsigned int>(absl::ToInt64Seconds(options_.idle_timeout));
  }

  static MHD_Result OnRequest(void* self, MHD_Connection* connection, const char* url,
                              const char* method, const char* /*version*/, const char* upload_data,
                              std::size_t* upload_size, void** state) {
    return static_cast<Impl*>(self)->HandleRequest(connection, url, method, upload_data,
                                                   upload_size, state);
  }

  MHD_Result HandleRequest(MHD_Connection* connection, const char* url, const char* method,
                           const char* upload_data, std::size_t* upload_size, void** state) {
    auto* exchange = static_cast<Exchange*>(*state);
    if (exchange == nullptr) {
      *state = BeginExchange(connection, url, method).release();
      return MHD_YES;
    }
    if (*upload_size > 0) return TakeUpload(*exchange, upload_data, upload_size);
    if (exchange->received > options_.max_body_size) return RejectLargeBody(connection);
    exchange->counted = true;
    ++active_requests_;
    // The handler may wait longer than the idle timeout, which must only measure the peer.
    MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT, 0U);
    auto reply = handler_(exchange->request);
    MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT, IdleSeconds());
    return SendReply(connection, std::move(reply));
  }

  static std::unique_ptr<Exchange> BeginExchange(MHD_Connection* connection, const char* url,
                                                 const char* method) {
    auto exchange = std::make_unique<Exchange>();
    exchange->started = SystemClock::Instance().Now();
    auto& request = exchange->request;
    request.method = method;
    request.path = url;
    MHD_get_connection_values(
        connection, MHD_HEADER_KIND,
        [](void* headers, MHD_ValueKind, const char* name, const char* value) {
          static_cast<HttpHeaders*>(headers)->emplace_back(absl::AsciiStrToLower(name),
                                                           value != nullptr ? value : "");
          return MHD_YES;
        },
        &request.headers);
    MHD_get_connection_values(
        connection, MHD_GET_ARGUMENT_KIND,
        [](void* query, MHD_ValueKind, const char* name, const char* value) {
          auto& text = *static_cast<std::string*>(query);
          absl::StrAppend(&text, text.empty() ? "" : "&", EscapeQuery(name));
          if (value != nullptr) absl::StrAppend(&text, "=", EscapeQuery(value));
          return MHD_YES;
        },
        &request.query);
    const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    const int socket = info != nullptr ? info->connect_fd : -1;
    int no_delay = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof(no_delay));
    request.caller_gone = [socket] { return SocketClosed(socket); };
    return exchange;
  }

  // libmicrohttpd hands out unescaped arguments; they are escaped again for forwarding.
  static std::string EscapeQuery(absl::string_view text) {
    std::string escaped;
    for (const char c : text) {
      if (absl::ascii_isalnum(static_cast<unsigned char>(c)) || std::strchr("-._~", c) != nullptr) {
        escaped.push_back(c);
      } else {
        absl::StrAppend(&escaped, "%", absl::Hex(static_cast<unsigned char>(c), absl::kZeroPad2));
      }
    }
    return escaped;
  }

  MHD_Result TakeUpload(Exchange& exchange, const char* data, std::size_t* size) const {
    exchange.received += *size;
    if (exchange.received > kDrainFactor * options_.max_body_size) return MHD_NO;
    if (SystemClock::Instance().Now() - exchange.started > options_.idle_timeout) return MHD_NO;
    if (exchange.received <= options_.max_body_size) {
      exchange.request.body.append(data, *size);
    } else {
      exchange.request.body.clear();
    }
    *size = 0;
    return MHD_YES;
  }

  MHD_Result RejectLargeBody(MHD_Connection* connection) {
    HttpServerReply reply;
    reply.status = 413;
    reply.headers = {{"Content-Type", "application/json"}};
    reply.body = absl::StrCat(
        R"({"error":{"message":"the body is too large; allowed are 0 to )", options_.max_body_size,
        R"( bytes","type":"body_too_large","field":"body"},"outcome":"not_run"})");
    return SendReply(connection, std::move(reply));
  }

  MHD_Result SendReply(MHD_Connection* connection, HttpServerReply reply) {
    MHD_Response* response = nullptr;
    if (reply.next_part) {
      auto stream = std::make_unique<Stream>();
      stream->next_part = std::move(reply.next_part);
      constexpr std::size_t kBlockSize = 16 << 10;
      response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, kBlockSize, &Impl::ReadStream,
                                                   stream.release(), &Impl::FreeStream);
    } else {
      response = MHD_create_response_from_buffer(reply.body.size(), reply.body.data(),
                                                 MHD_RESPMEM_MUST_COPY);
    }
    if (response == nullptr) return MHD_NO;
    for (const auto& [name, value] : reply.headers) {
      MHD_add_response_header(response, name.c_str(), value.c_str());
    }
    if (!accepting_) MHD_add_response_header(response, "Connection", "close");
    const auto result =
        MHD_queue_response(connection, static_cast<unsigned int>(reply.status), response);
    MHD_destroy_response(response);
    return result;
  }

  static ssize_t ReadStream(void* state, std::uint64_t /*position*/, char* buffer,
                            std::size_t max_size) {
    auto& stream = *static_cast<Stream*>(state);
    if (stream.position == stream.data.size()) {
      auto part = stream.next_part();
      if (part.kind == BodyPart::Kind::kEnd) return MHD_CONTENT_READER_END_OF_STREAM;
      if (part.kind == BodyPart::Kind::kAbort) return MHD_CONTENT_READER_END_WITH_ERROR;
      stream.data = std::move(part.data);
      stream.position = 0;
    }
    const auto size = std::min(max_size, stream.data.size() - stream.position);
    std::copy_n(stream.data.data() + stream.position, size, buffer);
    stream.position += size;
    return static_cast<ssize_t>(size);
  }

  static void FreeStream(void* state) { delete static_cast<Stream*>(state); }

  static void OnCompleted(void* self, MHD_Connection* /*connection*/, void** state,
                          MHD_RequestTerminationCode /*code*/) {
    const std::unique_ptr<Exchange> exchange(static_cast<Exchange*>(*state));
    *state = nullptr;
    if (exchange && exchange->counted) --static_cast<Impl*>(self)->active_requests_;
  }

  const HttpServerOptions options_;
  const HttpServerHandler handler_;
  MHD_Daemon* daemon_ = nullptr;
  Address address_;
  std::atomic<bool> accepting_{true};
  std::atomic<int> active_requests_{0};
};

HttpServer::HttpServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
HttpServer::~HttpServer() = default;

Result<std::unique_ptr<HttpServer>> HttpServer::Start(HttpServerOptions options,
                                                      HttpServerHandler handler) {
  auto impl = std::make_unique<Impl>(std::move(options), std::move(handler));
  BOOST_LEAF_CHECK(impl->Listen());
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

Address HttpServer::address() const { return impl_->address(); }
void HttpServer::StopAccepting() { impl_->StopAccepting(); }
int HttpServer::active_requests() const { return impl_->active_requests(); }

}  // namespace marigoldquay
