// Connects the operators' interface with configuration, members and roles.
#ifndef MARIGOLDQUAY_APPS_MARIGOLDQUAYD_OPERATOR_ACTIONS_H_
#define MARIGOLDQUAY_APPS_MARIGOLDQUAYD_OPERATOR_ACTIONS_H_

#include <boost/json.hpp>
#include <functional>

#include "marigoldquay/config/config_store.h"
#include "marigoldquay/config/operator_service.h"
#include "marigoldquay/control/operator_backend.h"
#include "marigoldquay/core/burn_recorder.h"
#include "marigoldquay/membership/member_view.h"
#include "marigoldquay/transport/rpc.h"

namespace marigoldquay {

/// What this VM knows of itself, for status.
using LocalStatusJson = std::function<boost::json::object()>;

/// Thread-safe. All references must outlive it.
class OperatorActions final : public OperatorBackend {
 public:
  OperatorActions(OperatorService& service, const ConfigStore& config, const MemberView& members,
                  RpcClient& rpc, const BurnRecorder& burn, LocalStatusJson local_status);

  /// Registers the handlers of Burn and Status.
  void RegisterHandlers(RpcRegistry& registry);

  Result<boost::json::object> Plan(const boost::json::object& intent) override;
  Result<boost::json::object> Confirm(absl::string_view digest) override;
  Result<boost::json::array> List(ObjectList list) override;
  Result<boost::json::object> Status() override;
  Result<BurnAnswer> Burn(absl::string_view workspace) override;

 private:
  /// Status of one member; an object with "error" when it does not answer.
  boost::json::object MemberStatus(const Member& member) const;
  /// Number of members whose configuration has reached the revision.
  std::int64_t MembersInForce(Offset revision, std::vector<VmId>& missing) const;

  OperatorService& service_;
  const ConfigStore& config_;
  const MemberView& members_;
  RpcClient& rpc_;
  const BurnRecorder& burn_;
  const LocalStatusJson local_status_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_APPS_MARIGOLDQUAYD_OPERATOR_ACTIONS_H_
