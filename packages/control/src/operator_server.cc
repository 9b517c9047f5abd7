// Operators' HTTP server on libmicrohttpd.
#include "marigoldquay/control/operator_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <exception>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "marigoldquay/core/logger.h"
#include "marigoldquay/core/metrics.h"
#include "marigoldquay/core/secret.h"
#include "operator_api.h"

namespace marigoldquay {
namespace {

constexpr std::size_t kMinTokenLength = 16;
// Header lines of one request; libmicrohttpd rejects larger ones.
constexpr std::size_t kConnectionMemory = std::size_t{32} << 10;
constexpr absl::string_view kBearer = "Bearer ";

struct DaemonDeleter {
  void operator()(MHD_Daemon* daemon) const { MHD_stop_daemon(daemon); }
};

// A request while its body arrives.
struct PendingRequest {
  std::string body;
  bool too_large = false;
};

// Address to bind; family AF_UNSPEC when it is malformed.
struct BindAddress {
  sockaddr_storage storage{};
  bool loopback = false;
};

BindAddress ParseBindAddress(const std::string& host, int port) {
  BindAddress address;
  auto* v4 = reinterpret_cast<sockaddr_in*>(&address.storage);
  auto* v6 = reinterpret_cast<sockaddr_in6*>(&address.storage);
  if (port < 0 || port > 65535) return address;
  if (inet_pton(AF_INET, host.c_str(), &v4->sin_addr) == 1) {
    v4->sin_family = AF_INET;
    v4->sin_port = htons(static_cast<std::uint16_t>(port));
    address.loopback = absl::StartsWith(host, "127.");
  } else if (inet_pton(AF_INET6, host.c_str(), &v6->sin6_addr) == 1) {
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(static_cast<std::uint16_t>(port));
    address.loopback = host == "::1";
  }
  return address;
}

MHD_Result Send(MHD_Connection* connection, const OperatorAnswer& answer) {
  MHD_Response* response = MHD_create_response_from_buffer(
      answer.body.size(), const_cast<char*>(answer.body.data()), MHD_RESPMEM_MUST_COPY);
  if (response == nullptr) return MHD_NO;
  MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, answer.content_type.c_str());
  if (answer.status == MHD_HTTP_UNAUTHORIZED) {
    MHD_add_response_header(response, MHD_HTTP_HEADER_WWW_AUTHENTICATE, "Bearer");
  }
  const MHD_Result queued =
      MHD_queue_response(connection, static_cast<unsigned>(answer.status), response);
  MHD_destroy_response(response);
  return queued;
}

std::string Parameter(MHD_Connection* connection, const char* name) {
  const char* value = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name);
  return value == nullptr ? "" : value;
}

}  // namespace

class OperatorServer::Impl {
 public:
  Impl(OperatorServerOptions options, OperatorBackend& backend)
      : options_(std::move(options)), backend_(backend) {}

  Result<void> Start() {
    const std::string where = absl::StrCat(options_.host, ":", options_.port);
    if (options_.token.size() < kMinTokenLength) {
      return Fail(ErrorCode::kInvalidArgument, "start operator server", where,
                  absl::StrCat("token of ", options_.token.size(), " characters, allowed ",
                               kMinTokenLength, " or more"));
    }
    const BindAddress bind_address = ParseBindAddress(options_.host, options_.port);
    if (bind_address.storage.ss_family == AF_UNSPEC) {
      return Fail(ErrorCode::kInvalidArgument, "start operator server", where,
                  "address malformed, allowed a numeric IP address and a port from 0 to 65535");
    }
    const bool tls = !options_.tls_certificate.empty();
    if (!tls && !bind_address.loopback) {
      logger_.Warn("operator token is accepted in clear text on ", where);
    }
    if (!StartDaemon(bind_address, tls)) {
      return Fail(ErrorCode::kUnavailable, "start operator server", where,
                  "address cannot be bound or certificate cannot be used");
    }
    const auto* info = MHD_get_daemon_info(daemon_.get(), MHD_DAEMON_INFO_BIND_PORT);
    const bool v6 = bind_address.storage.ss_family == AF_INET6;
    address_ = absl::StrCat(v6 ? "[" : "", options_.host, v6 ? "]:" : ":", info->port);
    logger_.Info("operator interface listens on ", address_);
    return {};
  }

  const Address& address() const { return address_; }
  void Stop() { daemon_.reset(); }

 private:
  bool StartDaemon(const BindAddress& bind_address, bool tls) {
    unsigned flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL;
    if (bind_address.storage.ss_family == AF_INET6) flags |= MHD_USE_IPv6;
    if (tls) flags |= MHD_USE_TLS;
    const std::array<MHD_OptionItem, 3> tls_options = {
        MHD_OptionItem{tls ? MHD_OPTION_HTTPS_MEM_CERT : MHD_OPTION_END, 0,
                       options_.tls_certificate.data()},
        MHD_OptionItem{MHD_OPTION_HTTPS_MEM_KEY, 0, options_.tls_key.data()},
        MHD_OptionItem{MHD_OPTION_END, 0, nullptr}};
    daemon_.reset(MHD_start_daemon(
        flags, 0, nullptr, nullptr, &Impl::OnRequest, this, MHD_OPTION_SOCK_ADDR,
        reinterpret_cast<const sockaddr*>(&bind_address.storage), MHD_OPTION_CONNECTION_LIMIT,
        static_cast<unsigned>(options_.max_connections), MHD_OPTION_CONNECTION_TIMEOUT,
        static_cast<unsigned>(absl::ToInt64Seconds(options_.idle_timeout)),
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, kConnectionMemory, MHD_OPTION_NOTIFY_COMPLETED,
        &Impl::OnCompleted, nullptr, MHD_OPTION_ARRAY, tls_options.data(), MHD_OPTION_END));
    return daemon_ != nullptr;
  }

  // Libmicrohttpd calls this with the headers, then with each part of the body, then without any.
  static MHD_Result OnRequest(void* self, MHD_Connection* connection, const char* url,
                              const char* method, const char*, const char* part,
                              std::size_t* part_size, void** state) {
    auto& impl = *static_cast<Impl*>(self);
    if (*state == nullptr) {
      // Nothing of a body is read before the token is checked.
      if (!impl.Authorized(connection)) return impl.Reject(connection);
      *state = new PendingRequest;
      return MHD_YES;
    }
    auto& request = *static_cast<PendingRequest*>(*state);
    if (*part_size > 0) {
      request.too_large =
          request.too_large || *part_size > impl.options_.max_body_size - request.body.size();
      if (!request.too_large) request.body.append(part, *part_size);
      *part_size = 0;
      return MHD_YES;
    }
    return Send(connection, impl.Answer(connection, url, method, request));
  }

  static void OnCompleted(void*, MHD_Connection*, void** state, MHD_RequestTerminationCode) {
    delete static_cast<PendingRequest*>(*state);
    *state = nullptr;
  }

  bool Authorized(MHD_Connection* connection) const {
    const char* header =
        MHD_lookup_connection_value(connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_AUTHORIZATION);
    if (header == nullptr || !absl::StartsWith(header, kBearer)) return false;
    // Digests have one length, so the time of the comparison tells nothing about the token.
    return ConstantTimeEquals(Sha256Hex(absl::string_view(header).substr(kBearer.size())),
                              token_digest_);
  }

  MHD_Result Reject(MHD_Connection* connection) {
    unauthorized_.Increment();
    OperatorAnswer answer = FailureAnswer({ErrorCode::kPermissionDenied, "check token", "",
                                           "Authorization, allowed the operators' bearer token"});
    answer.status = MHD_HTTP_UNAUTHORIZED;
    return Send(connection, answer);
  }

  OperatorAnswer Answer(MHD_Connection* connection, const char* url, const char* method,
                        PendingRequest& pending) {
    if (pending.too_large) {
      OperatorAnswer answer = FailureAnswer(
          {ErrorCode::kInvalidArgument, "read request", "",
           absl::StrCat("body too large, allowed 0 to ", options_.max_body_size, " bytes")});
      answer.status = MHD_HTTP_CONTENT_TOO_LARGE;
      return answer;
    }
    const OperatorRequest request{method,
                                  url,
                                  Parameter(connection, "id"),
                                  Parameter(connection, "workspace"),
                                  Parameter(connection, "format"),
                                  std::move(pending.body)};
    OperatorAnswer answer;
    try {
      answer = AnswerOperator(backend_, request);
    } catch (const std::exception& exception) {
      logger_.Error(request.method, " ", request.path, " failed: ", exception.what());
      answer = FailureAnswer({ErrorCode::kInternal, "answer operator", "", exception.what()});
    }
    logger_.Info(request.method, " ", request.path, " answered with status ", answer.status);
    return answer;
  }

  // Not const because libmicrohttpd takes the TLS texts as void*.
  OperatorServerOptions options_;
  OperatorBackend& backend_;
  const std::string token_digest_ = Sha256Hex(options_.token);
  Logger logger_{"control"};
  Counter& unauthorized_ = MetricsRegistry::Global().counter(
      "marigoldquay_operator_unauthorized_total", "Operator requests rejected for their token.");
  Address address_;
  std::unique_ptr<MHD_Daemon, DaemonDeleter> daemon_;
};

OperatorServer::OperatorServer(OperatorServerOptions options, OperatorBackend& backend)
    : impl_(std::make_unique<Impl>(std::move(options), backend)) {}
OperatorServer::~OperatorServer() = default;

Result<void> OperatorServer::Start() { return impl_->Start(); }
Address OperatorServer::address() const { return impl_->address(); }
void OperatorServer::Stop() { impl_->Stop(); }

}  // namespace marigoldquay
