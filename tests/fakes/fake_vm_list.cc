// Stand-in for the platform's lagging list of live and leaving VMs (docs/design.md, section 4).
//
// POST /test/vms {"vms":[...]} sets the list, GET /vms answers it --lag_ms later.
// POST /test/faults: outage (connections close without an answer), lag_ms (replaces the flag).
#include <gflags/gflags.h>

#include <deque>

#include "http_server.h"
#include "marigoldquay/core/clock.h"

DEFINE_int32(port, 0, "port on 127.0.0.1; 0 chooses one");
DEFINE_int64(lag_ms, 0, "time after which a new list is shown");

namespace marigoldquay::testing {
namespace {

struct ListVersion {
  absl::Time set_at;
  boost::json::object list;
};

class VmList {
 public:
  VmList() { versions_.push_back({absl::InfinitePast(), {{"vms", boost::json::array()}}}); }

  ServerResponse Handle(const ServerRequest& request) {
    if (request.path == "/test/faults") return faults_.Set(request);
    if (faults_.Value("outage") != 0 && request.path == "/vms") return DroppedResponse();
    const absl::Time now = SystemClock::Instance().Now();
    const absl::Duration lag = absl::Milliseconds(faults_.Value("lag_ms", FLAGS_lag_ms));
    absl::MutexLock lock(&mutex_);
    while (versions_.size() > 1 && versions_[1].set_at <= now - lag) versions_.pop_front();
    if (request.path == "/vms") return JsonResponse(200, versions_.front().list);
    if (request.path != "/test/vms") return ErrorResponse(404, "no such path");
    boost::json::object list = request.Json();
    if (!list.contains("vms")) return ErrorResponse(400, "field vms is missing");
    versions_.push_back({now, std::move(list)});
    return JsonResponse(200, boost::json::object());
  }

 private:
  FaultSet faults_{{"outage", "lag_ms"}};
  absl::Mutex mutex_;
  std::deque<ListVersion> versions_;
};

}  // namespace
}  // namespace marigoldquay::testing

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  marigoldquay::testing::VmList list;
  return marigoldquay::testing::RunHttpServer(
      FLAGS_port, [&](const auto& request) { return list.Handle(request); });
}
