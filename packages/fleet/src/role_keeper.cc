// Planning, claiming and sending of engine role changes.
#include "marigoldquay/fleet/role_keeper.h"

#include <utility>

#include "marigoldquay/core/logger.h"

namespace marigoldquay {
namespace {

constexpr absl::Duration kRoundInterval = absl::Seconds(1);
// Maximum age of a claim check at which orders are still sent.
constexpr absl::Duration kMaxCheckAge = absl::Milliseconds(300);
constexpr absl::Duration kOrderTimeout = absl::Milliseconds(400);
// Wait in addition to the lease: covers the maximum age of the previous holder's check and the
// transmission of its last order.
constexpr absl::Duration kLeaseMargin = absl::Seconds(1);
// An engine that has not changed its role by then gets requests again.
constexpr absl::Duration kMaxRoleChangeTime = absl::Seconds(10);

const Logger& Log() {
  static const Logger logger("roles");
  return logger;
}

absl::string_view NameOf(EngineRole role) {
  return role == EngineRole::kPrefill ? "prefill" : "decode";
}

absl::string_view NameOf(RoleOrderOutcome outcome) {
  switch (outcome) {
    case RoleOrderOutcome::kAccepted:
      return "accepted";
    case RoleOrderOutcome::kBusy:
      return "busy with another order";
    case RoleOrderOutcome::kFenced:
      return "another VM has a newer claim";
    case RoleOrderOutcome::kRejected:
      return "rejected";
  }
  return "rejected";
}

}  // namespace

void RoleKeeper::DropClaim(const std::string& reason) {
  if (!claim_) return;
  Log().Event("order_claim_dropped", LogFields().Add("claim", *claim_).Add("reason", reason));
  claim_.reset();
  planners_.clear();
}

std::vector<RoleKeeper::PlannedChange> RoleKeeper::PlanChanges() {
  std::vector<PlannedChange> planned;
  const auto catalog = view_.catalog();
  if (!catalog) return planned;
  for (const auto& service : catalog->contents().services) {
    if (!service.engine) continue;
    const auto load = coordinator_.TakeLoad(service.name);
    for (auto& change : planners_[service.name].Plan(load, clock_.Now())) {
      planned.push_back({service.name, std::move(change)});
    }
  }
  return planned;
}

void RoleKeeper::AcquireClaim(Yield yield) {
  const auto claim = store_.AcquireOrderClaim(options_.holder, yield);
  if (!claim) {
    Log().Event("order_claim_failed", LogFields().Add("detail", claim.error().ToString()),
                LogLevel::kWarn);
    return;
  }
  claim_ = *claim;
  orders_allowed_from_ = clock_.Now() + options_.lease + kLeaseMargin;
  Log().Event("order_claim", LogFields().Add("claim", *claim));
}

bool RoleKeeper::EnsureClaim(Yield yield) {
  if (!claim_) AcquireClaim(yield);
  if (!claim_ || clock_.Now() < orders_allowed_from_) return false;
  claim_checked_at_ = clock_.Now();
  const auto newest = store_.IsLatestOrderClaim(*claim_, yield);
  if (!newest) {
    Log().Event("order_claim_unchecked", LogFields().Add("detail", newest.error().ToString()),
                LogLevel::kWarn);
    return false;
  }
  if (!*newest) DropClaim("another VM has a newer claim");
  return newest.ok() && *newest;
}

void RoleKeeper::SendOrder(const PlannedChange& planned, Yield yield) {
  const Replica* engine = view_.replicas().Find(planned.change.engine);
  if (engine == nullptr || engine->draining) return;
  const RoleOrder order{engine->id, engine->address, planned.change.role, options_.holder, *claim_};
  const auto request = dialect_.MakeRoleOrder(order);
  LogFields fields;
  fields.Add("engine", order.engine)
      .Add("role", NameOf(order.role))
      .Add("claim", order.fencing_token)
      .Add("check_age_ms", clock_.Now() - claim_checked_at_)
      .Add("reason", planned.change.reason);
  if (clock_.Now() - claim_checked_at_ > kMaxCheckAge) {
    Log().Event("role_order",
                fields.Add("outcome", "not sent: the claim was checked too long ago"));
    return;
  }
  // Stops new placements on the engine before the order is sent, whatever its outcome.
  coordinator_.OnRoleOrdered(planned.service, order.engine, clock_.Now() + kMaxRoleChangeTime);
  planners_[planned.service].OnAccepted(planned.change, clock_.Now());
  const auto reply = CallHttp(connections_, order.address, request, kOrderTimeout, yield);
  if (!reply) {
    Log().Event("role_order", fields.Add("outcome", reply.error().ToString()));
    return;
  }
  const auto outcome = dialect_.DecodeRoleOrder(*reply);
  Log().Event("role_order",
              fields.Add("outcome", NameOf(outcome)).Add("status", std::uint64_t{reply->status}));
  if (outcome == RoleOrderOutcome::kFenced) DropClaim("an engine has seen a newer claim");
}

void RoleKeeper::Run(Yield yield) {
  while (true) {
    SleepFor(io_, kRoundInterval, yield);
    if (!options_.may_order()) {
      DropClaim("this VM is not the coordinator, or the store is unavailable");
      continue;
    }
    const auto planned = PlanChanges();
    if (planned.empty() || !EnsureClaim(yield)) continue;
    for (const PlannedChange& change : planned) {
      if (!claim_) break;
      SendOrder(change, yield);
    }
  }
}

}  // namespace marigoldquay
