// Stand-in for the weight store: GET /weights/{model} streams --bytes bytes; all readers share
// --bytes_per_s. GET /test/stats: {"reads"}.
#include <gflags/gflags.h>

#include <algorithm>
#include <memory>

#include "absl/strings/match.h"
#include "absl/time/clock.h"
#include "http_server.h"
#include "marigoldquay/core/clock.h"

DEFINE_int32(port, 0, "port on 127.0.0.1; 0 chooses one");
DEFINE_int64(bytes, 1 << 20, "size of each model's weights");
DEFINE_int64(bytes_per_s, 100 << 20, "rate over all readers");

namespace marigoldquay::testing {
namespace {

constexpr std::int64_t kBlockSize = 16384;

class WeightStore {
 public:
  ServerResponse Handle(const ServerRequest& request) {
    absl::MutexLock lock(&mutex_);
    if (request.path == "/test/stats") return JsonResponse(200, {{"reads", reads_}});
    if (!absl::StartsWith(request.path, "/weights/")) return ErrorResponse(404, "no such path");
    ++reads_;
    ServerResponse response;
    // Shared because std::function copies its target.
    response.next_chunk = [this, left = std::make_shared<std::int64_t>(FLAGS_bytes)] {
      const std::int64_t size = std::min(*left, kBlockSize);
      if (size == 0) return Chunk{ChunkKind::kEnd, ""};
      *left -= size;
      absl::SleepFor(ReserveLink(size));
      return Chunk{ChunkKind::kData, std::string(size, 'w')};
    };
    return response;
  }

 private:
  absl::Duration ReserveLink(std::int64_t size) {
    absl::MutexLock lock(&mutex_);
    const absl::Time now = SystemClock::Instance().Now();
    free_at_ = std::max(now, free_at_) + absl::Seconds(1) * size / FLAGS_bytes_per_s;
    return free_at_ - now;
  }

  absl::Mutex mutex_;
  absl::Time free_at_ = absl::InfinitePast();
  std::int64_t reads_ = 0;
};

}  // namespace
}  // namespace marigoldquay::testing

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  marigoldquay::testing::WeightStore store;
  return marigoldquay::testing::RunHttpServer(
      FLAGS_port, [&](const auto& request) { return store.Handle(request); });
}
