// Everything that is known of one caller's request while it is handled.
#ifndef MARIGOLDQUAY_RELAY_SRC_REQUEST_STATE_H_
#define MARIGOLDQUAY_RELAY_SRC_REQUEST_STATE_H_

#include <memory>
#include <string>

#include "marigoldquay/core/logger.h"
#include "marigoldquay/relay/front_handler.h"

namespace marigoldquay::internal {

struct RequestState {
  FrontContext& context;
  HttpRequest& request;
  HttpReplyWriter& reply;
  Cancellation& cancellation;

  // Set in this order while the request is checked.
  CatalogPtr catalog;
  CallerRequest caller;
  const CatalogRoute* route = nullptr;
  // Null on anonymous routes and where no keys are needed.
  const CatalogWorkspace* workspace = nullptr;
  const CatalogService* service = nullptr;

  absl::Time arrived;
  // When the caller or the route gives up, whichever is first.
  absl::Time deadline = absl::InfiniteFuture();
  // Sends that reached, or may have reached, a backend server of the service.
  int arrivals = 0;
  // Backend servers that may have begun to work on it.
  int runs = 0;
  // For the log line of the request.
  BackendServerId last_server;
  unsigned status = 0;
  std::string outcome;

  absl::Time Now() const { return context.clock.Now(); }
  absl::Duration TimeLeft() const { return deadline - Now(); }
  // Idle connections that this VM may keep to a backend server of the service.
  std::size_t MaxIdleConnections() const;
  WorkspaceId workspace_name() const { return workspace == nullptr ? "" : workspace->name; }
};

/// Logger of the package.
const Logger& RelayLog();

/// Answers with an error of the router's own; `retry_after` is sent when it is not zero.
void SendError(RequestState& state, unsigned status, absl::string_view reason,
               absl::Duration retry_after, Yield yield);

/// Keeps what an answer says of the state of its server, whatever became of the request.
void RecordServerState(const RequestState& state, const BackendServerId& server,
                       const BackendAnswer& answer);

/// Relays a request of a plain service, or of a stream that needs no prefill.
void RelayPlain(RequestState& state, Yield yield);

/// Relays a model request through prefill and decode engines.
void RelayModelRequest(RequestState& state, Yield yield);

/// Ends a request whose caller left or whose time is up.
void EndCancelled(RequestState& state, Yield yield);

}  // namespace marigoldquay::internal

#endif  // MARIGOLDQUAY_RELAY_SRC_REQUEST_STATE_H_
