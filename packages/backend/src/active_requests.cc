// Active requests of this process.
#include "marigoldquay/backend/active_requests.h"

#include "marigoldquay/core/metrics.h"
#include "marigoldquay/protocol/codec.h"

namespace marigoldquay {
namespace {

Gauge& SizeGauge() {
  static Gauge& gauge = MetricsRegistry::Global().gauge(
      "marigoldquay_backend_active_requests", "Requests that this process runs at engines.");
  return gauge;
}

}  // namespace

bool ActiveRequestSet::Add(const RequestId& request_id) {
  absl::MutexLock lock(&mutex_);
  if (requests_.size() >= max_size_) return false;
  const bool added = requests_.insert(request_id).second;
  SizeGauge().Set(static_cast<std::int64_t>(requests_.size()));
  return added;
}

void ActiveRequestSet::Remove(const RequestId& request_id) {
  absl::MutexLock lock(&mutex_);
  requests_.erase(request_id);
  SizeGauge().Set(static_cast<std::int64_t>(requests_.size()));
}

bool ActiveRequestSet::Contains(absl::string_view request_id) const {
  absl::MutexLock lock(&mutex_);
  return requests_.contains(request_id);
}

std::size_t ActiveRequestSet::size() const {
  absl::MutexLock lock(&mutex_);
  return requests_.size();
}

void RegisterHoldsHandler(RpcRegistry& registry, const ActiveRequests& requests,
                          const MemberView& members) {
  RegisterHandler<protocol::HoldsRequestT>(
      registry, protocol::MessageType::Holds,
      [&requests, &members](const protocol::HoldsRequestT& request,
                            const RpcCall&) -> Result<protocol::HoldsReplyT> {
        protocol::HoldsReplyT reply;
        reply.sender = ToWire(members.self());
        for (const auto& id : request.request_ids) {
          if (requests.Contains(id)) reply.known.push_back(id);
        }
        return reply;
      });
}

}  // namespace marigoldquay
