// Interface that translates the header fields of callers and backend servers
// into typed values and back. Implemented in the platform folder.
#ifndef MARIGOLDQUAY_RELAY_BACKEND_DIALECT_H_
#define MARIGOLDQUAY_RELAY_BACKEND_DIALECT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "marigoldquay/core/error_or.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/dispatch/replica_balancer.h"
#include "marigoldquay/net/async.h"
#include "marigoldquay/net/http_connection.h"
#include "marigoldquay/routing/replica_table.h"

namespace marigoldquay {

/// Size of a model request, in tokens.
struct TokenDemand {
  TokenCount prompt = 0;
  /// Maximum number of tokens to generate.
  TokenCount output = 0;

  bool operator==(const TokenDemand&) const = default;
};

/// Properties of a caller's request that are carried in its header fields.
struct RequestMetadata {
  /// Id that the caller assigned to this attempt; empty when absent.
  RequestId id;
  /// API key of the workspace; empty when absent.
  std::string key;
  /// Remaining time that the caller waits for the response.
  std::optional<absl::Duration> time_left;
  std::optional<TokenDemand> tokens;
  /// Id of the last event that the caller received of the stream to be resumed.
  std::optional<std::string> resume_after;
  /// Set when the caller takes up a stream that was broken off: the request that brought its first
  /// event, empty when the caller does not name it.
  std::optional<RequestId> resumes;
  /// Parts of the prompt that other requests may share, in order.
  std::vector<PromptPartId> shared_parts;

  bool operator==(const RequestMetadata&) const = default;
};

/// Parameters of a request to a backend server.
struct BackendCall {
  /// Instance that the request is intended for; any other instance at the address must reject it.
  BackendServerId expected_server;
  absl::Duration time_left;
  /// Empty on anonymous routes.
  WorkspaceId workspace;
  /// Whether the engine only processes the prompt and keeps its KV cache.
  bool prefill_only = false;
  /// Engine address and handle of the prefill whose KV cache the decode engine fetches.
  std::optional<std::string> kv_source;
  /// Id of the event after which the stream continues.
  std::optional<std::string> resume_after;
};

/// Properties of a response that are carried in its status and header fields.
struct BackendResponse {
  /// Whether the status is 2xx.
  bool successful = false;
  /// Id of the request that the response belongs to; empty when absent.
  RequestId request_id;
  /// Whether the response carries the signature of the server.
  bool has_signature = false;
  /// Whether the server states that it has not executed the request and never will.
  bool not_executed = false;
  /// Whether another instance of a backend server uses the address.
  bool wrong_instance = false;
  /// Whether an intermediary has encoded the body.
  bool has_content_encoding = false;
  std::optional<ReplicaLoad> load;
  /// Whether the server is shutting down and must get no more requests.
  bool draining = false;
  /// Set when the server rejected the request and accepts none for this time.
  std::optional<absl::Duration> retry_after;
  /// Requests per second that the server accepts from all VMs together; unset when not stated.
  std::optional<double> request_limit;
  /// Whether the server stated a limit that is not a number of requests.
  bool malformed_request_limit = false;
  /// How long the server keeps an idle connection open; infinite when not stated.
  absl::Duration keep_alive = absl::InfiniteDuration();

  bool operator==(const BackendResponse&) const = default;
};

/// Result of a prefill.
struct PrefillHandle {
  /// Identifies the KV cache at the engine that processed the prompt.
  std::string handle;

  bool operator==(const PrefillHandle&) const = default;
};

/// Command to an engine to change its role.
struct RoleOrder {
  BackendServerId engine;
  Address address;
  EngineRole role = EngineRole::kDecode;
  /// The VM that sends the command, and its fencing token. Engines reject a token lower than the
  /// highest one that they have seen.
  std::string holder;
  std::uint64_t fencing_token = 0;
};

enum class RoleOrderOutcome {
  /// The engine is changing its role or already has it.
  kAccepted,
  /// The engine is executing another command.
  kBusy,
  /// The engine has seen a higher fencing token.
  kFenced,
  /// Another instance uses the address, or the engine does not support the command.
  kRejected,
};

/// Translates between header fields and typed values. Implementations are stateless.
class BackendDialect {
 public:
  virtual ~BackendDialect() = default;

  /// Returns kInvalidArgument naming the field when a field is malformed or contradictory.
  virtual ErrorOr<RequestMetadata> DecodeRequestMetadata(const HttpRequest& request) const = 0;
  /// Copies the head of the caller's request and replaces the router's header fields according to
  /// `call`. The body is that of `request`, which must outlive the result.
  virtual ForwardedRequest MakeBackendRequest(const HttpRequest& request,
                                              const BackendCall& call) const = 0;
  virtual BackendResponse DecodeResponse(unsigned status, const HttpFields& fields) const = 0;
  /// Returns the header fields of a backend server's response that are forwarded to the caller.
  virtual HttpFields MakeCallerFields(const HttpFields& fields) const = 0;
  virtual ErrorOr<PrefillHandle> DecodePrefill(const HttpReply& reply,
                                               const Address& engine) const = 0;
  /// Returns the reference by which a decode engine fetches the KV cache of a prefill.
  virtual std::string MakeKvSource(const Address& engine, const PrefillHandle& prefill) const = 0;
  /// Builds the request that frees the KV cache of an unused prefill.
  virtual HttpRequest MakePrefillRelease(const PrefillHandle& prefill,
                                         const Address& engine) const = 0;
  /// Builds the request that asks a backend server when it has started.
  virtual HttpRequest MakeStartQuery(const Replica& server) const = 0;
  /// Unix time of the start in ms; unset when the reply does not tell it.
  virtual std::optional<std::int64_t> DecodeStart(const HttpReply& reply) const = 0;
  virtual HttpRequest MakeRoleOrder(const RoleOrder& order) const = 0;
  virtual RoleOrderOutcome DecodeRoleOrder(const HttpReply& reply) const = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_RELAY_BACKEND_DIALECT_H_
