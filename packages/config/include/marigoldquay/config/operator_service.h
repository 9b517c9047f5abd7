// What operators do with the configuration: plan, confirm, list.
#ifndef MARIGOLDQUAY_CONFIG_OPERATOR_SERVICE_H_
#define MARIGOLDQUAY_CONFIG_OPERATOR_SERVICE_H_

#include <functional>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "marigoldquay/config/config_store.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/core/error.h"
#include "marigoldquay/logstore/log_client.h"

namespace marigoldquay {

/// Answer to a confirm whose record has been read back.
struct ConfirmOutcome {
  bool accepted = false;
  /// Revision at which the plan is in force, when accepted.
  Offset revision = 0;
  /// Why the plan was rejected, or that it was applied by an earlier confirm.
  std::string reason;

  bool operator==(const ConfirmOutcome&) const = default;
};

/// Thread-safe.
class OperatorService {
 public:
  /// `self` names the writer of the records. All references must outlive this object.
  OperatorService(ConfigStore& store, LogClient& log, const Clock& clock,
                  std::function<Instance()> self);

  /// Computes the plan of an intent in JSON, records it and returns it as JSON with its digest.
  /// Errors: kInvalidArgument, kNotFound, kConflict (the intent cannot be applied),
  /// kNotSent (the log is down, nothing was recorded), kTimeout (not known whether it was
  /// recorded; planning again is harmless).
  Result<std::string> Plan(absl::string_view intent_json, absl::Duration timeout);

  /// Confirms the plan with this digest and waits until the record is read back. Errors:
  /// kInvalidArgument (not a digest), kNotSent (the log is down, nothing was changed), kTimeout
  /// (not known whether the plan was applied; confirming again is harmless and tells).
  Result<ConfirmOutcome> Confirm(absl::string_view digest, absl::Duration timeout);

  /// All objects of a kind ("workspace", "key", "pool", "backend_server", "route") or the pending
  /// plans ("plan") as JSON; kInvalidArgument for other kinds.
  Result<std::string> ListJson(absl::string_view kind) const;

 private:
  Result<Applied> AppendAndWait(const std::string& data, const std::string& nonce,
                                absl::string_view step, absl::Duration timeout);

  ConfigStore& store_;
  LogClient& log_;
  const Clock& clock_;
  const std::function<Instance()> self_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CONFIG_OPERATOR_SERVICE_H_
