// Planned stop of the daemon on the platform: when it refuses requests, stops to accept them and
// is done.
#ifndef MARIGOLDQUAY_APPS_MARIGOLDQUAYD_NODE_DRAIN_H_
#define MARIGOLDQUAY_APPS_MARIGOLDQUAYD_NODE_DRAIN_H_

#include "absl/time/time.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/net/http_listener.h"
#include "marigoldquay/relay/front_handler.h"

namespace marigoldquay {

/// Ends the requests of callers within the grace time of a planned stop.
class NodeDrain {
 public:
  /// All references must outlive the drain, which begins now.
  NodeDrain(asio::io_context& io, const Clock& clock, FrontHandler& front, HttpListener& listener,
            absl::Duration grace);

  /// Returns when the process may exit: all requests have ended, or the grace time nearly has.
  void Run(Yield yield);

  /// Requests that have not ended.
  std::size_t unfinished() const { return listener_.active_requests(); }
  /// Time since the drain began.
  absl::Duration elapsed() const { return clock_.Now() - started_; }

 private:
  // Serves callers until none is left or the grace time nearly ends.
  void ServeCallers(Yield yield);
  // Waits for the requests of the connections that were accepted before `closed`, until shortly
  // before the grace time ends.
  void AwaitLastRequests(absl::Time closed, Yield yield);

  asio::io_context& io_;
  const Clock& clock_;
  FrontHandler& front_;
  HttpListener& listener_;
  const absl::Time started_;
  // When connections are no longer accepted, at the latest.
  const absl::Time last_accept_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_APPS_MARIGOLDQUAYD_NODE_DRAIN_H_
