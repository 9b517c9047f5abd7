// Parts of the VM's memory and descriptors.
#include "node_resources.h"

#include <algorithm>

#include "marigoldquay/net/memory_budget.h"

namespace marigoldquay {
namespace {

// Descriptors that the deployment reserves for files.
constexpr int kReservedDescriptors = 200;
// Memory that a connection with a request takes, with its stack.
constexpr std::size_t kConnectionBytes = std::size_t{96} * 1024;
constexpr double kConnectionMemoryPart = 0.3;
constexpr double kSessionMemoryPart = 0.25;
// Part of the VM's memory for what each request takes while it is handled, whatever its size: the
// touched stack of its fiber, buffers of both connections and a chunk of the response. The rest is
// for idle connections, for what the process knows and for the store's answers.
constexpr double kRequestMemoryPart = 0.32;
constexpr std::size_t kRequestBytes = std::size_t{56} * 1024;
constexpr std::size_t kMinRequests = 16;

std::size_t PartOfMemory(const platform::NodeSettings& settings, double part) {
  if (settings.memory_bytes == 0) return MemoryBudget::kUnlimited;
  return static_cast<std::size_t>(static_cast<double>(settings.memory_bytes) * part);
}

}  // namespace

std::size_t MaxConnections(const platform::NodeSettings& settings) {
  const auto descriptors =
      static_cast<std::size_t>(std::max(settings.max_descriptors - kReservedDescriptors, 64)) / 3;
  if (settings.memory_bytes == 0) return descriptors;
  return std::min(descriptors, std::max<std::size_t>(settings.memory_bytes / kConnectionBytes, 32));
}

ListenerCapacity CallerCapacity(const platform::NodeSettings& settings) {
  const std::size_t requests = PartOfMemory(settings, kRequestMemoryPart) / kRequestBytes;
  return {MaxConnections(settings), std::max(requests, kMinRequests)};
}

std::size_t ConnectionMemory(const platform::NodeSettings& settings) {
  return PartOfMemory(settings, kConnectionMemoryPart);
}

std::size_t SessionMemory(const platform::NodeSettings& settings) {
  return PartOfMemory(settings, kSessionMemoryPart);
}

}  // namespace marigoldquay
