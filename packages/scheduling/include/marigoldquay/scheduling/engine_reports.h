// What engines report: load and changes of their prefix cache.
#ifndef MARIGOLDQUAY_SCHEDULING_ENGINE_REPORTS_H_
#define MARIGOLDQUAY_SCHEDULING_ENGINE_REPORTS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "marigoldquay/config/objects.h"
#include "marigoldquay/core/error.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/transport/http_client.h"

namespace marigoldquay {

/// Answer of GET /v1/load; lags behind the engine.
struct LoadReport {
  std::int64_t slots = 0;
  std::int64_t slots_used = 0;
  /// Engine memory in pieces of 2,000 tokens; 0 when the engine does not say.
  std::int64_t pieces = 0;
  std::int64_t pieces_used = 0;
  /// Prefills that wait or run.
  std::int64_t queue = 0;
  /// "prefill", "decode" or "both"; empty when the engine does not say.
  std::string role;
  std::string model;
  /// Fencing number of the last order that the engine obeyed.
  Offset fencing = 0;

  bool operator==(const LoadReport&) const = default;
};

struct CacheEvent {
  std::uint64_t sequence = 0;
  /// False when the prefix was evicted.
  bool added = false;
  std::uint64_t prefix = 0;
  TokenCount tokens = 0;

  bool operator==(const CacheEvent&) const = default;
};

/// Thread-safe.
class EngineReports {
 public:
  virtual ~EngineReports() = default;
  virtual Result<LoadReport> Load(const BackendServer& server, absl::Duration timeout) = 0;
  /// Events with a sequence number of at least `from`, ascending; at most 10,000.
  virtual Result<std::vector<CacheEvent>> CacheEvents(const BackendServer& server,
                                                      std::uint64_t from,
                                                      absl::Duration timeout) = 0;
};

/// Reads reports over HTTP; `http` must outlive it.
std::unique_ptr<EngineReports> MakeHttpEngineReports(HttpClient& http);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_SCHEDULING_ENGINE_REPORTS_H_
