// How requests and answers carry what the router needs to know: the header
// fields of callers and backend servers. Implemented in the platform folder.
#ifndef MARIGOLDQUAY_RELAY_BACKEND_DIALECT_H_
#define MARIGOLDQUAY_RELAY_BACKEND_DIALECT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "marigoldquay/core/error_or.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/dispatch/replica_balancer.h"
#include "marigoldquay/net/async.h"
#include "marigoldquay/net/http_connection.h"
#include "marigoldquay/routing/replica_table.h"

namespace marigoldquay {

/// Size of a model request.
struct TokenDemand {
  TokenCount prompt = 0;
  /// At most so many tokens are generated.
  TokenCount output = 0;

  bool operator==(const TokenDemand&) const = default;
};

/// What a caller says of its request beside method, target and body.
struct CallerRequest {
  /// The caller's id of this attempt; empty when it gave none.
  RequestId id;
  /// The workspace's key; empty when none was sent.
  std::string key;
  /// How long the caller waits.
  std::optional<absl::Duration> time_left;
  std::optional<TokenDemand> tokens;
  /// Last event that the caller has of a stream that it resumes.
  std::optional<std::uint64_t> resume_after;

  bool operator==(const CallerRequest&) const = default;
};

/// What the router tells a backend server with a request.
struct BackendCall {
  /// Any other start of a backend server at the address is to reject the request.
  BackendServerId expected_server;
  absl::Duration time_left;
  /// Empty on anonymous routes.
  WorkspaceId workspace;
  /// Only read the prompt and keep its KV cache.
  bool prefill_only = false;
  /// Address and handle of a prefill whose KV cache is to be fetched.
  std::optional<std::string> kv_source;
  /// Go on behind this event.
  std::optional<std::uint64_t> resume_after;
};

/// What a backend server says of its answer.
struct BackendAnswer {
  /// Id of the request that it answers; empty when it is not named.
  RequestId request_id;
  /// Whether the answer carries the server's signature.
  bool sealed = false;
  /// Whether the server states that it did not run the request and never will.
  bool not_run = false;
  /// Whether another start of a server has the address.
  bool wrong_server = false;
  /// Whether something on the way has encoded the body.
  bool encoded = false;
  std::optional<ReplicaLoad> load;
  /// Whether the server is about to leave and is to get no more requests.
  bool leaving = false;
  /// Set when the server turned the request away and wants none for so long.
  std::optional<absl::Duration> retry_after;
  /// How long the server keeps the idle connection; infinite when it does not say.
  absl::Duration keep_alive = absl::InfiniteDuration();

  bool operator==(const BackendAnswer&) const = default;
};

/// A prompt that was read.
struct PrefillHandle {
  /// Names the KV cache at the engine that read it.
  std::string handle;

  bool operator==(const PrefillHandle&) const = default;
};

/// An order to an engine to change its role.
struct RoleOrder {
  BackendServerId engine;
  Address address;
  EngineRole role = EngineRole::kDecode;
  /// The VM that gives the order, and its claim; engines refuse one lower than they have seen.
  std::string holder;
  std::uint64_t claim = 0;
};

enum class RoleOrderOutcome {
  /// The engine changes, or has the role already.
  kAccepted,
  /// It carries out another order.
  kBusy,
  /// It has seen a higher claim.
  kFenced,
  /// Another start of an engine has the address, or the order is not understood.
  kRejected,
};

/// Translates between header fields and typed values. Stateless.
class BackendDialect {
 public:
  virtual ~BackendDialect() = default;

  /// Fails with kInvalidArgument that names the field when one is malformed or contradictory.
  virtual ErrorOr<CallerRequest> DecodeCaller(const HttpRequest& request) const = 0;
  /// The caller's request with the fields that a backend server is to see.
  virtual HttpRequest MakeBackendRequest(const HttpRequest& request,
                                         const BackendCall& call) const = 0;
  virtual BackendAnswer DecodeAnswer(unsigned status, const HttpFields& fields) const = 0;
  /// Fields of a backend server's answer that the caller is to see.
  virtual HttpFields CallerFields(const HttpFields& fields) const = 0;
  virtual ErrorOr<PrefillHandle> DecodePrefill(const HttpReply& reply,
                                               const Address& engine) const = 0;
  /// Names the KV cache of a prefill for the decode engine.
  virtual std::string KvSource(const Address& engine, const PrefillHandle& prefill) const = 0;
  /// Frees the KV cache of a prefill that is not used.
  virtual HttpRequest MakePrefillRelease(const PrefillHandle& prefill,
                                         const Address& engine) const = 0;
  virtual HttpRequest MakeRoleOrder(const RoleOrder& order) const = 0;
  virtual RoleOrderOutcome DecodeRoleOrder(const HttpReply& reply) const = 0;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_RELAY_BACKEND_DIALECT_H_
