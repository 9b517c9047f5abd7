// Orders engines from one role to the other.
#include "marigoldquay/fleet/role_keeper.h"

#include <utility>

#include "marigoldquay/core/logger.h"

namespace marigoldquay {
namespace {

constexpr absl::Duration kRound = absl::Seconds(1);
// Age of a check after which orders are no longer sent.
constexpr absl::Duration kCheckLife = absl::Milliseconds(300);
constexpr absl::Duration kOrderTimeout = absl::Milliseconds(400);
// Beyond the lease: the life of the former holder's check, and its last order's way.
constexpr absl::Duration kLeaseMargin = absl::Seconds(1);
// An engine that has not changed by then gets requests again.
constexpr absl::Duration kLongestChange = absl::Seconds(10);

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

void RoleKeeper::Drop(const std::string& reason) {
  if (!claim_) return;
  Log().Event("order_claim_dropped", LogFields().Add("claim", *claim_).Add("reason", reason));
  claim_.reset();
  planners_.clear();
}

std::vector<RoleKeeper::Planned> RoleKeeper::PlanAll() {
  std::vector<Planned> planned;
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

void RoleKeeper::Claim(Yield yield) {
  const auto claim = store_.ClaimOrders(options_.holder, yield);
  if (!claim) {
    Log().Event("order_claim_failed", LogFields().Add("detail", claim.error().ToString()),
                LogLevel::kWarn);
    return;
  }
  claim_ = *claim;
  orders_from_ = clock_.Now() + options_.lease + kLeaseMargin;
  Log().Event("order_claim", LogFields().Add("claim", *claim));
}

bool RoleKeeper::HoldsClaim(Yield yield) {
  if (!claim_) Claim(yield);
  if (!claim_ || clock_.Now() < orders_from_) return false;
  checked_ = clock_.Now();
  const auto newest = store_.IsNewestClaim(*claim_, yield);
  if (!newest) {
    Log().Event("order_claim_unchecked", LogFields().Add("detail", newest.error().ToString()),
                LogLevel::kWarn);
    return false;
  }
  if (!*newest) Drop("another VM has a newer claim");
  return newest.ok() && *newest;
}

void RoleKeeper::Send(const Planned& planned, Yield yield) {
  const Replica* engine = view_.replicas().Find(planned.change.engine);
  if (engine == nullptr || engine->draining) return;
  const RoleOrder order{engine->id, engine->address, planned.change.role, options_.holder, *claim_};
  const auto request = dialect_.MakeRoleOrder(order);
  LogFields fields;
  fields.Add("engine", order.engine)
      .Add("role", NameOf(order.role))
      .Add("claim", order.fencing_token)
      .Add("check_age_ms", clock_.Now() - checked_)
      .Add("reason", planned.change.reason);
  if (clock_.Now() - checked_ > kCheckLife) {
    Log().Event("role_order",
                fields.Add("outcome", "not sent: the claim was checked too long ago"));
    return;
  }
  // No request is placed there from now on, whatever becomes of the order.
  coordinator_.OnRoleOrdered(planned.service, order.engine, clock_.Now() + kLongestChange);
  planners_[planned.service].OnAccepted(planned.change, clock_.Now());
  const auto reply = CallHttp(connections_, order.address, request, kOrderTimeout, yield);
  if (!reply) {
    Log().Event("role_order", fields.Add("outcome", reply.error().ToString()));
    return;
  }
  const auto outcome = dialect_.DecodeRoleOrder(*reply);
  Log().Event("role_order",
              fields.Add("outcome", NameOf(outcome)).Add("status", std::uint64_t{reply->status}));
  if (outcome == RoleOrderOutcome::kFenced) Drop("an engine has seen a newer claim");
}

void RoleKeeper::Run(Yield yield) {
  while (true) {
    SleepFor(io_, kRound, yield);
    if (!options_.may_order()) {
      Drop("this VM does not coordinate, or the store is away");
      continue;
    }
    const auto planned = PlanAll();
    if (planned.empty() || !HoldsClaim(yield)) continue;
    for (const Planned& change : planned) {
      if (!claim_) break;
      Send(change, yield);
    }
  }
}

}  // namespace marigoldquay
