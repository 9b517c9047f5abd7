// Weighted choice of entry VMs.
#include "marigoldquay/entry/address_selector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace marigoldquay {
namespace {

struct Candidate {
  Member member;
  bool near = false;
  // Sorting by this draws without replacement in proportion to the weight
  // (Efraimidis and Spirakis, 2006).
  double rank = 0;
};

std::vector<Candidate> Candidates(const MemberView& members, absl::string_view caller_zone,
                                  bool only_responsive, std::mt19937_64& random) {
  std::vector<Candidate> candidates;
  std::uniform_real_distribution<double> uniform(1e-12, 1.0);
  for (auto& member : members.members()) {
    const auto health = members.health(member.instance.vm);
    if (health.draining || (only_responsive && !health.responsive)) continue;
    const double weight = static_cast<double>(std::max(1, member.size)) *
                          static_cast<double>(std::max(1, health.spare_capacity));
    const bool near = member.availability_zone == caller_zone;
    candidates.push_back({std::move(member), near, -std::log(uniform(random)) / weight});
  }
  return candidates;
}

}  // namespace

std::vector<Member> SelectAddresses(const MemberView& members, absl::string_view caller_zone,
                                    std::mt19937_64& random) {
  auto candidates = Candidates(members, caller_zone, true, random);
  if (candidates.empty()) candidates = Candidates(members, caller_zone, false, random);
  std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
    return std::pair(!a.near, a.rank) < std::pair(!b.near, b.rank);
  });
  // The last address is in another zone when there is one, so that a caller survives its zone.
  if (candidates.size() > kAddressesPerAnswer && candidates[kAddressesPerAnswer - 1].near) {
    const auto other = std::find_if(candidates.begin(), candidates.end(),
                                    [](const Candidate& c) { return !c.near; });
    if (other != candidates.end()) std::iter_swap(&candidates[kAddressesPerAnswer - 1], other);
  }
  std::vector<Member> selected;
  for (auto& candidate : candidates) {
    if (selected.size() == kAddressesPerAnswer) break;
    selected.push_back(std::move(candidate.member));
  }
  return selected;
}

}  // namespace marigoldquay
