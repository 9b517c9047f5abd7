// Sends the requests of a workload at their times (open loop) over libcurl's multi interface and
// records what arrives.
#ifndef MARIGOLDQUAY_BENCH_LOAD_LOAD_DRIVER_H_
#define MARIGOLDQUAY_BENCH_LOAD_LOAD_DRIVER_H_

#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "marigoldquay/core/types.h"
#include "workload.h"

namespace marigoldquay::bench {

/// What a caller saw of one request. Times count from the planned time of the request, so that a
/// slow system cannot hide its delay by slowing the callers.
struct RequestRecord {
  /// 0 when no answer arrived.
  int status = 0;
  /// "type" of the JSON error, "connection" for a broken connection, "incomplete" for a stream that
  /// ended early; empty when the answer is complete.
  std::string cause;
  bool not_run = false;
  absl::Duration first_token = absl::InfiniteDuration();
  absl::Duration last_token = absl::InfiniteDuration();
  std::int64_t tokens = 0;
  std::vector<float> gaps_ms;
  /// How late the client started it.
  absl::Duration start_lag;

  bool complete() const { return status == 200 && cause.empty(); }
};

/// Caller addresses of the entry VMs; thread-safe. An address that refused a connection is not used
/// for a second, as a caller would do that has several addresses.
class VmAddresses {
 public:
  void Set(int vm, Address address);
  /// One of the usable addresses; an empty text when there is none.
  Address Choose(std::uint32_t draw) const;
  void ReportRefused(const Address& address);

 private:
  struct Entry {
    Address address;
    absl::Time avoid_until = absl::InfinitePast();
  };
  mutable absl::Mutex mutex_;
  std::vector<Entry> entries_ ABSL_GUARDED_BY(mutex_);
};

struct DriverOptions {
  int threads = 2;
  std::string model;
  /// Authorization header of each workspace, by index.
  std::vector<std::string> authorizations;
  absl::Duration request_timeout = absl::Seconds(30);
};

/// Runs in its own threads; the references must outlive it.
class LoadDriver {
 public:
  /// The first request is due at `start` plus its planned time.
  LoadDriver(DriverOptions options, const std::vector<PlannedRequest>& requests,
             VmAddresses& addresses, absl::Time start);
  ~LoadDriver() { Join(); }
  LoadDriver(const LoadDriver&) = delete;
  LoadDriver& operator=(const LoadDriver&) = delete;

  /// Waits until all requests have ended; the records are in the order of the requests.
  const std::vector<RequestRecord>& Finish();

 private:
  void Join();

  const DriverOptions options_;
  const std::vector<PlannedRequest>& requests_;
  VmAddresses& addresses_;
  const absl::Time start_;
  std::vector<RequestRecord> records_;
  std::vector<std::thread> threads_;
};

}  // namespace marigoldquay::bench

#endif  // MARIGOLDQUAY_BENCH_LOAD_LOAD_DRIVER_H_
