// Sound backend servers and the usual traffic of a small deployment.
#ifndef MARIGOLDQUAY_REVIEW_HARNESS_TRAFFIC_H_
#define MARIGOLDQUAY_REVIEW_HARNESS_TRAFFIC_H_

#include <map>
#include <string>
#include <vector>

#include "caller.h"
#include "deployment.h"

namespace marigoldquay::review {

/// One request of a client, with what the backend servers saw of it.
struct TrafficEntry {
  std::string id;
  std::string path;
  int vm = 0;
  CallerResult result;
  bool finished = false;
  /// Servers that began to run it, in order.
  std::vector<std::string> runs;
};

/// What clients and servers have seen, by the id of the request.
using TrafficLedger = std::map<std::string, TrafficEntry>;

struct TrafficOptions {
  /// Clients of each kind at each VM, each with a connection of its own.
  int order_clients = 4;
  int status_clients = 2;
  int stream_clients = 4;
  /// Pause of a client between two requests.
  absl::Duration pause = absl::Milliseconds(300);
  /// Events of a stream and the pause between them.
  int events = 71;
  absl::Duration event_gap = absl::Milliseconds(12);
  absl::Duration order_work = absl::Milliseconds(30);
  std::string stream_path = "/caption/";
};

/// Fields of every sealed answer to the request, as lines that end with CRLF.
std::string SealedFields(const ServerExchange& exchange, const std::string& server);
/// Event `number`, from 1 on, of a stream.
std::string StreamEvent(const std::string& id, int number);

/// Answers a plain request after `work`, and notes the run.
void AnswerPlain(ServerExchange& exchange, const std::string& server, TrafficLedger& ledger,
                 absl::Duration work);
/// Takes the KV cache that the request names, or reads the prompt when it names none. False when
/// the request has been refused since the cache is gone, or when the router has left.
bool TakePrompt(ServerExchange& exchange);
/// Reads the prompt of a request and answers with a handle, or frees a handle.
void AnswerPrefill(ServerExchange& exchange);
/// Streams all events, and notes the run.
void AnswerStream(ServerExchange& exchange, const std::string& server, TrafficLedger& ledger,
                  const TrafficOptions& options);

/// A client that sends requests to one VM, with pauses, until `stop` is set.
class TrafficSource {
 public:
  TrafficSource(Deployment& deployment, TrafficLedger& ledger, TrafficOptions options)
      : deployment_(deployment), ledger_(ledger), options_(std::move(options)) {}

  void Start();
  void Stop() { stopped_ = true; }
  int open_requests() const { return open_requests_; }

 private:
  void RunClient(int vm, const std::string& path, absl::Duration offset, Yield yield);
  CallerRequest MakeRequest(const std::string& path) const;

  Deployment& deployment_;
  TrafficLedger& ledger_;
  const TrafficOptions options_;
  bool stopped_ = false;
  int open_requests_ = 0;
};

}  // namespace marigoldquay::review

#endif  // MARIGOLDQUAY_REVIEW_HARNESS_TRAFFIC_H_
