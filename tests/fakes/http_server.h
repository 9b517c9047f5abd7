// HTTP server of the stand-ins, over libmicrohttpd with one thread per connection, so that a
// handler may block. A server runs until its process ends.
#ifndef MARIGOLDQUAY_TESTS_FAKES_HTTP_SERVER_H_
#define MARIGOLDQUAY_TESTS_FAKES_HTTP_SERVER_H_

#include <boost/json.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "marigoldquay/core/types.h"

namespace marigoldquay::testing {

struct ServerRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  /// Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;

  /// Number in the query, or `fallback` when it is absent or malformed.
  std::int64_t QueryInt(const std::string& name, std::int64_t fallback) const;
  /// Value of a header, empty when absent.
  std::string Header(const std::string& name) const;
  /// Body as a JSON object; throws when it is not one, which the server answers with 400.
  boost::json::object Json() const;
};

enum class ChunkKind { kData, kEnd, kAbort };

/// Piece of a streamed answer; kAbort closes the connection before the body is complete.
struct Chunk {
  ChunkKind kind = ChunkKind::kEnd;
  std::string data;
};

struct ServerResponse {
  int status = 200;
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
  /// When set, produces the body; each call may block.
  std::function<Chunk()> next_chunk;
  /// Closes the connection without an answer.
  bool drop = false;
};

ServerResponse JsonResponse(int status, const boost::json::value& body);
ServerResponse ErrorResponse(int status, absl::string_view message);
ServerResponse DroppedResponse();

using ServerHandler = std::function<ServerResponse(const ServerRequest&)>;

/// Listens on 127.0.0.1:`port` (0 chooses one) and returns the address; ends the process on error.
Address StartHttpServer(int port, ServerHandler handler);

/// Blocks SIGTERM and SIGINT in this thread and those it starts.
void BlockTermination();
/// Returns when SIGTERM or SIGINT arrives.
void AwaitTermination();

/// Main function of a stand-in: serves, prints "listening ADDRESS" and exits on SIGTERM.
int RunHttpServer(int port, ServerHandler handler);

/// Places in which a request contained the text "mq_", which starts every workspace key:
/// "header authorization", "query", "body". At most 100 are kept.
boost::json::array KeyLeaks();

/// Named faults that a test sets by a POST, whose body replaces all of them; thread-safe.
class FaultSet {
 public:
  /// Only these names are accepted, so that a misspelt fault fails the test.
  explicit FaultSet(std::vector<std::string> names) : names_(std::move(names)) {}

  /// Answers the POST.
  ServerResponse Set(const ServerRequest& request);
  /// Number set, 1 for true, `fallback` when not set.
  std::int64_t Value(const std::string& name, std::int64_t fallback = 0) const;
  /// Uses up one of a counted fault; false when none is left or it is not set.
  bool Take(const std::string& name);
  /// Waits until the fault is zero or not set.
  void AwaitZero(const std::string& name) const;
  /// Sleeps for the fault's value in milliseconds.
  void SleepMs(const std::string& name) const;

 private:
  const std::vector<std::string> names_;
  mutable absl::Mutex mutex_;
  std::map<std::string, std::int64_t> values_;
};

}  // namespace marigoldquay::testing

#endif  // MARIGOLDQUAY_TESTS_FAKES_HTTP_SERVER_H_
