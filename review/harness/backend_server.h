// Stand-in of a backend server that hands each request to a script, which writes the answer as
// bytes, so that it can also send bytes that are no answer.
#ifndef MARIGOLDQUAY_REVIEW_HARNESS_BACKEND_SERVER_H_
#define MARIGOLDQUAY_REVIEW_HARNESS_BACKEND_SERVER_H_

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "marigoldquay/core/types.h"
#include "marigoldquay/net/async.h"

namespace marigoldquay::review {

/// One request at a server, and the connection to write its answer to. Writes fail when the router
/// has closed the connection.
class ServerExchange {
 public:
  /// `running` is the number of requests at the server, this one included.
  ServerExchange(HttpRequest request, Tcp::socket& socket, std::string& late_bytes,
                 const int& running, int slots, Yield yield)
      : request_(std::move(request)),
        socket_(socket),
        late_bytes_(late_bytes),
        running_(running),
        slots_(slots),
        yield_(yield) {}

  const HttpRequest& request() const { return request_; }
  std::string Field(const char* name) const { return std::string(request_[name]); }
  /// Sends bytes as they are; false when the connection has ended.
  bool Write(const std::string& bytes);
  /// Sends a complete answer with a length. `fields` are lines that end with CRLF.
  bool Answer(unsigned status, const std::string& fields, const std::string& body);
  /// Waits; false when the router has closed the connection meanwhile.
  bool Work(absl::Duration duration);
  /// Waits, whatever happens to the connection.
  void WorkOn(absl::Duration duration);
  /// Bytes that the connection sends late, before the next answer; kept between its requests.
  std::string& late_bytes() { return late_bytes_; }
  /// Load of the server as its answers state it.
  std::string Load() const;
  /// Closes the connection when the script returns.
  void CloseAfter() { close_ = true; }
  bool closes() const { return close_; }

 private:
  HttpRequest request_;
  Tcp::socket& socket_;
  std::string& late_bytes_;
  const int& running_;
  const int slots_;
  Yield yield_;
  bool close_ = false;
};

struct BackendServerOptions {
  std::string id;
  std::string service;
  std::string zone = "ikeja";
  /// "", "prefill" or "decode".
  std::string phase;
  int slots = 6;
  /// Handles one request.
  std::function<void(ServerExchange&)> script;
};

/// Lives on the thread of the stand-ins.
class BackendServer {
 public:
  BackendServer(asio::io_context& io, BackendServerOptions options);

  const BackendServerOptions& options() const { return options_; }
  const Address& address() const { return address_; }
  /// Its next entry in the store.
  std::string Entry(const std::string& state);

 private:
  void Accept(Yield yield);
  void Serve(const std::shared_ptr<Tcp::socket>& socket, Yield yield);
  // Answers what needs no script: requests for another instance or stage, and orders.
  bool AnswerWithoutScript(ServerExchange& exchange) const;

  asio::io_context& io_;
  const BackendServerOptions options_;
  Tcp::acceptor acceptor_;
  Address address_;
  std::int64_t born_;
  int sequence_ = 0;
  int running_ = 0;
};

}  // namespace marigoldquay::review

#endif  // MARIGOLDQUAY_REVIEW_HARNESS_BACKEND_SERVER_H_
