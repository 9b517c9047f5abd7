// HTTP server on libmicrohttpd with one thread per connection. Handlers block;
// bodies, headers, connections and times are bounded.
#ifndef MARIGOLDQUAY_ENTRY_HTTP_SERVER_H_
#define MARIGOLDQUAY_ENTRY_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "marigoldquay/core/error.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/transport/http_client.h"

namespace marigoldquay {

struct HttpServerOptions {
  Address listen = "127.0.0.1:0";
  int max_connections = 2048;
  /// Largest request body in bytes.
  std::size_t max_body_size = std::size_t{1} << 20;
  /// Bytes for the request line and all headers of one connection.
  std::size_t max_header_size = std::size_t{32} << 10;
  /// Silence after which a connection is closed, and time to receive a whole request.
  absl::Duration idle_timeout = absl::Seconds(30);
  /// PEM texts; TLS is used when both are set.
  std::string tls_certificate;
  std::string tls_private_key;
};

/// A whole request.
struct HttpServerRequest {
  std::string method;
  std::string path;
  /// Raw query without "?".
  std::string query;
  /// Names in lower case.
  HttpHeaders headers;
  std::string body;
  /// True once the caller has closed its side. A caller that shuts down only its sending side
  /// counts as gone, as it cannot be told from one that closed.
  std::function<bool()> caller_gone;

  /// Value of the first header with this lower-case name; nullptr when absent.
  const std::string* FindHeader(absl::string_view name) const;
};

/// Next part of a streamed body.
struct BodyPart {
  enum class Kind { kData, kEnd, kAbort };
  Kind kind = Kind::kEnd;
  std::string data;
};

struct HttpServerReply {
  int status = 200;
  HttpHeaders headers;
  std::string body;
  /// Set for a streamed body; blocks until there is a part. After kAbort the connection is closed
  /// without the final chunk, so that the caller sees a broken answer.
  std::function<BodyPart()> next_part;
};

using HttpServerHandler = std::function<HttpServerReply(const HttpServerRequest&)>;

class HttpServer {
 public:
  /// Binds and starts; fails with kInvalidArgument for a bad address, kUnavailable when it cannot
  /// listen.
  static Result<std::unique_ptr<HttpServer>> Start(HttpServerOptions options,
                                                   HttpServerHandler handler);
  /// Closes all connections.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Address with the bound port.
  Address address() const;
  /// Stops accepting connections; answers on open ones carry "Connection: close" from now on.
  void StopAccepting();
  /// Requests received in whole whose answer is not yet sent in whole.
  int active_requests() const;

 private:
  class Impl;
  explicit HttpServer(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_ENTRY_HTTP_SERVER_H_
