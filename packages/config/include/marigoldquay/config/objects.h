// Objects that operators configure.
#ifndef MARIGOLDQUAY_CONFIG_OBJECTS_H_
#define MARIGOLDQUAY_CONFIG_OBJECTS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "marigoldquay/core/types.h"

namespace marigoldquay {

struct Workspace {
  WorkspaceId id;
  /// Share under contention, 1 to 1000.
  std::int32_t weight = 1;
  /// Tokens per second, 1 to 10^9.
  TokenCount rate = 1;
  /// Tokens, 1 to 10^10.
  TokenCount burst = 1;

  bool operator==(const Workspace&) const = default;
};

enum class KeyState { kActive, kWithdrawn };

struct Key {
  KeyId id;
  WorkspaceId workspace;
  /// SHA-256 of the whole key text in hexadecimal digits; the key itself is never stored.
  std::string digest;
  KeyState state = KeyState::kActive;

  bool operator==(const Key&) const = default;
};

enum class PoolKind { kModel, kPlain };

struct Pool {
  PoolId id;
  PoolKind kind = PoolKind::kModel;
  /// Name that callers put into "model"; empty for plain pools.
  std::string model;
  /// Latency targets in milliseconds.
  std::int32_t first_token_ms = 430;
  std::int32_t between_tokens_ms = 49;
  /// Serves a completion that misses its first-token target late instead of rejecting it.
  bool serve_late = false;

  bool operator==(const Pool&) const = default;
};

enum class BackendRole { kPrefill, kDecode, kBoth, kPlain };
enum class BackendState { kActive, kLeaving };

struct BackendServer {
  BackendServerId id;
  PoolId pool;
  BackendRole role = BackendRole::kBoth;
  Address address;
  /// Rate of its transfer link in bytes per second; 0 when unknown.
  std::int64_t link_bytes_per_s = 0;
  BackendState state = BackendState::kActive;
  /// Whether it rejects orders with an old fencing number.
  bool checks_fencing = false;

  bool operator==(const BackendServer&) const = default;
};

struct Route {
  /// Path prefix, "/orders"; the longest matching prefix wins.
  std::string prefix;
  PoolId pool;
  /// Allowed methods in upper case.
  std::vector<std::string> methods;
  bool idempotent = true;
  /// Open to all callers without a key.
  bool open = false;

  bool operator==(const Route&) const = default;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CONFIG_OBJECTS_H_
