// Identifiers shared by all packages. Each identifier is a plain string alias
// where it only travels through records, and a value type where it has parts.
#ifndef MARIGOLDQUAY_CORE_TYPES_H_
#define MARIGOLDQUAY_CORE_TYPES_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"

namespace marigoldquay {

/// Name of an entry VM, unique in a deployment.
using VmId = std::string;
/// Name of a workspace.
using WorkspaceId = std::string;
/// Name of a backend server.
using BackendServerId = std::string;
/// Name of a pool of backend servers.
using PoolId = std::string;
/// Public part of a workspace's key.
using KeyId = std::string;
/// Identifier of one caller request, unique across VMs and restarts.
using RequestId = std::string;
/// Host and port, "10.0.0.1:7000".
using Address = std::string;
/// Number of model tokens.
using TokenCount = std::int64_t;
/// Hash of the name of a part that prompts may share.
using PromptPartId = std::uint64_t;
/// Position of a record in a log stream.
using Offset = std::uint64_t;

/// One run of the daemon on a VM: the VM's name and a random number drawn at start.
struct Instance {
  VmId vm;
  std::uint64_t incarnation = 0;

  // clang-tidy 14 takes the zero of the rewritten comparison for a null pointer.
  auto operator<=>(const Instance&) const = default;  // NOLINT(modernize-use-nullptr)

  /// "<vm>/<incarnation in hex>", the form in which engines see the holder of memory.
  std::string ToString() const;
  /// Inverse of ToString; nullopt for malformed text.
  static std::optional<Instance> Parse(absl::string_view text);
};

/// Random 64-bit number from the operating system, never 0.
std::uint64_t RandomId();

/// Random identifier of 16 hexadecimal digits.
std::string RandomHexId();

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CORE_TYPES_H_
