// Client of the platform's lagging list of live and leaving VMs.
#ifndef MARIGOLDQUAY_LOGSTORE_VM_LIST_CLIENT_H_
#define MARIGOLDQUAY_LOGSTORE_VM_LIST_CLIENT_H_

#include <memory>
#include <string>
#include <vector>

#include "marigoldquay/core/error.h"
#include "marigoldquay/transport/http_client.h"

namespace marigoldquay {

enum class VmKind { kEntry, kBackend };
enum class VmState { kLive, kLeaving };

struct VmListEntry {
  /// VmId of an entry VM or BackendServerId.
  std::string id;
  VmKind kind = VmKind::kEntry;
  VmState state = VmState::kLive;

  bool operator==(const VmListEntry&) const = default;
};

class VmListClient {
 public:
  virtual ~VmListClient() = default;
  /// The list as the platform shows it now; it lags behind the VMs.
  virtual Result<std::vector<VmListEntry>> List(absl::Duration timeout) = 0;
};

/// Client of `GET /vms`; `http` must outlive it.
std::unique_ptr<VmListClient> MakeHttpVmListClient(std::string base_url, HttpClient& http);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_LOGSTORE_VM_LIST_CLIENT_H_
