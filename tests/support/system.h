// A whole local system for tests: stand-ins, fault proxies and marigoldquayd processes.
#ifndef MARIGOLDQUAY_TESTS_SUPPORT_SYSTEM_H_
#define MARIGOLDQUAY_TESTS_SUPPORT_SYSTEM_H_

#include <boost/json.hpp>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "marigoldquay/core/types.h"
#include "process.h"
#include "test_http.h"
#include "tokens.h"

namespace marigoldquay::testing {

struct WorkspaceSpec {
  WorkspaceId id;
  int weight = 1;
  TokenCount rate = 100000;
  TokenCount burst = 200000;
};

struct SystemOptions {
  int vms = 3;
  int prefill_engines = 2;
  int decode_engines = 2;
  int plain_services = 2;
  /// Each gets the key "mq_<id>key_secret".
  std::vector<WorkspaceSpec> workspaces = {{"w1"}, {"w2"}};
  /// Further flags of the programs, "--name=value".
  std::vector<std::string> vm_flags;
  std::vector<std::string> prefill_flags;
  std::vector<std::string> decode_flags;
  std::vector<std::string> plain_flags;
  std::vector<std::string> log_flags;
  std::vector<std::string> vm_list_flags;
  /// A fault proxy before each VM's inner address, before the log for each VM, before each backend
  /// server.
  bool inner_proxies = false;
  bool log_proxies = false;
  bool backend_proxies = false;
  /// Configures the system and waits until every VM serves.
  bool configure = true;
};

/// A stand-in with its HTTP address.
struct Server {
  Process process;
  Address address;

  /// "http://ADDRESS<path>".
  std::string Url(absl::string_view path) const;
  boost::json::object GetJson(absl::string_view path) const;
  /// Sets the faults, which replace those before; throws when they are refused.
  void SetFaults(const boost::json::object& faults) const;
};

/// A fault proxy; see fault_proxy.cc for the faults.
struct ProxyServer {
  Process process;
  Address address;
  Address control;

  /// POST /control/<what>; throws when it is refused.
  void Control(absl::string_view what, const boost::json::object& body = {}) const;
  void SetFaults(const boost::json::object& faults) const { Control("faults", faults); }
  void SetTarget(const Address& target) const { Control("target", {{"target", target}}); }
};

struct BackendUnderTest {
  /// "p1", "d1" (engines), "s1" (plain services), counted from 1.
  BackendServerId id;
  std::string role;
  Server server;
  std::optional<ProxyServer> proxy;

  /// Address in the configuration.
  const Address& address() const { return proxy ? proxy->address : server.address; }
};

struct VmUnderTest {
  VmId id;
  Process process;
  Address caller;
  Address inner;
  Address operator_address;
  std::optional<ProxyServer> inner_proxy;
  std::optional<ProxyServer> log_proxy;

  bool started() const { return !inner.empty(); }
  const Address& advertised_inner() const { return inner_proxy ? inner_proxy->address : inner; }
};

/// Starts everything in its constructor and kills it in its destructor. VMs are numbered from 0 and
/// named "vm1" and on, in zones "zone-a", "zone-b" and "zone-c" in turn. The pools are the model
/// pool "brief-writer" and the plain pool "order-desk", which serves the non-idempotent route
/// /orders and the idempotent route /status. Failures throw std::runtime_error.
class System {
 public:
  static constexpr const char* kOperatorToken = "local-operator-token";

  explicit System(SystemOptions options = {});
  ~System();
  System(const System&) = delete;
  System& operator=(const System&) = delete;

  int vm_count() const { return static_cast<int>(vms_.size()); }
  VmUnderTest& vm(int index) { return vms_.at(index); }
  Server& log() { return log_; }
  Server& vm_list() { return vm_list_; }
  std::vector<BackendUnderTest>& backends() { return backends_; }
  BackendUnderTest& backend(absl::string_view id);

  /// Starts a VM, or starts it again after its process has ended, as a new instance on new ports.
  void StartVm(int index);
  /// Waits until the VM is ready and knows the configured keys.
  void AwaitServing(int index, absl::Duration timeout = absl::Seconds(20));

  /// Waits until every workspace has a home. In a system that starts as a whole, the homes wait out
  /// the leases of those that joined a moment earlier.
  void AwaitHomes(absl::Duration timeout = absl::Seconds(20));

  /// Plans and confirms the changes at a VM; returns the answer to the confirm. Throws when the
  /// plan is not accepted within 20 s.
  ClientResponse ApplyChanges(const boost::json::array& changes, int vm = 0);
  /// {"op":"put","kind":...,"id":...,"object":...}.
  static boost::json::object Put(absl::string_view kind, absl::string_view id,
                                 boost::json::object object);
  /// The changes that the constructor applies.
  boost::json::array StandardChanges() const;
  /// Sets the platform's list to all VMs and backend servers as live, but for those leaving.
  void SetVmList(const std::vector<std::string>& leaving = {});

  static std::string KeyText(absl::string_view workspace);

  /// Requests at a VM's caller address, for the caller to complete and pass to Fetch.
  ClientRequest CompletionRequest(int vm, absl::string_view workspace, const std::string& prompt,
                                  TokenCount max_tokens, bool stream) const;
  ClientRequest OrderRequest(int vm, absl::string_view workspace, absl::string_view idempotency_key,
                             const std::string& body) const;

  /// Sum over the engines.
  std::int64_t HeldPieces();
  /// Sum of a count in the engines' GET /test/stats.
  std::int64_t EngineCount(absl::string_view name);
  /// Executions per Idempotency-Key over all plain services.
  std::map<std::string, std::int64_t> Executions();
  /// Places in which a stand-in received the text of a key.
  std::vector<std::string> KeyLeaks();

  /// Last lines of the output of all processes; also keeps the logs in the build folder.
  void PrintLogs(std::ostream& out);

 private:
  Process Start(const std::string& program, const std::string& name,
                const std::vector<std::string>& flags);
  Server StartServer(const std::string& program, const std::string& name,
                     const std::vector<std::string>& flags);
  ProxyServer StartProxy(const std::string& name, const Address& target);
  void StartBackends(const std::string& program, const std::string& prefix, const std::string& role,
                     int count, const std::vector<std::string>& flags, bool is_engine);

  const SystemOptions options_;
  std::string log_folder_;
  bool keep_logs_ = false;
  int started_ = 0;
  Server log_;
  Server vm_list_;
  std::vector<BackendUnderTest> backends_;
  std::vector<VmUnderTest> vms_;
};

}  // namespace marigoldquay::testing

#endif  // MARIGOLDQUAY_TESTS_SUPPORT_SYSTEM_H_
