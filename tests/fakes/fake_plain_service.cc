// Stand-in for a plain service: answers any path and counts executions per Idempotency-Key.
//
// POST /test/faults: status, delay_ms (before executing), answer_delay_ms (after executing),
// and counts of requests: lose_answer (executes, then closes the connection), drop_before (closes
// without executing), refuse (answers 503 without executing).
// GET /test/executions: {"total","by_key":{KEY:n},"refused","key_leaks":[...]}.
#include <gflags/gflags.h>

#include "http_server.h"
#include "marigoldquay/core/secret.h"

DEFINE_int32(port, 0, "port on 127.0.0.1; 0 chooses one");
DEFINE_string(name, "plain", "name that answers carry");

namespace marigoldquay::testing {
namespace {

class PlainService {
 public:
  ServerResponse Handle(const ServerRequest& request) {
    if (request.path == "/test/faults") return faults_.Set(request);
    if (request.path == "/test/executions") return Executions();
    faults_.SleepMs("delay_ms");
    const bool drop = faults_.Take("drop_before");
    if (drop || faults_.Take("refuse")) {
      absl::MutexLock lock(&mutex_);
      ++refused_;
      return drop ? DroppedResponse() : ErrorResponse(503, "refused, not executed");
    }
    ServerResponse response = Execute(request);
    faults_.SleepMs("answer_delay_ms");
    return faults_.Take("lose_answer") ? DroppedResponse() : response;
  }

 private:
  ServerResponse Execute(const ServerRequest& request) {
    const std::string key = request.Header("idempotency-key");
    absl::MutexLock lock(&mutex_);
    ++total_;
    const std::int64_t execution = ++by_key_[key];
    const auto status = static_cast<int>(faults_.Value("status", 200));
    return JsonResponse(status, {{"service", FLAGS_name},
                                 {"method", request.method},
                                 {"path", request.path},
                                 {"execution", execution},
                                 {"total", total_},
                                 {"idempotency_key", key},
                                 {"workspace", request.Header("x-workspace")},
                                 {"request_id", request.Header("x-request-id")},
                                 {"body_sha256", Sha256Hex(request.body)}});
  }

  ServerResponse Executions() {
    absl::MutexLock lock(&mutex_);
    boost::json::object by_key;
    for (const auto& [key, count] : by_key_) by_key[key] = count;
    return JsonResponse(
        200,
        {{"total", total_}, {"by_key", by_key}, {"refused", refused_}, {"key_leaks", KeyLeaks()}});
  }

  FaultSet faults_{
      {"status", "delay_ms", "answer_delay_ms", "lose_answer", "drop_before", "refuse"}};
  absl::Mutex mutex_;
  std::map<std::string, std::int64_t> by_key_;
  std::int64_t total_ = 0;
  std::int64_t refused_ = 0;
};

}  // namespace
}  // namespace marigoldquay::testing

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  marigoldquay::testing::PlainService service;
  return marigoldquay::testing::RunHttpServer(
      FLAGS_port, [&](const auto& request) { return service.Handle(request); });
}
