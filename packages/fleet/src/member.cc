// Members of the fleet: text form, coordinator priority and sampling for callers.
#include "marigoldquay/fleet/member.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace marigoldquay {
namespace {

constexpr char kSeparator = '|';
constexpr std::size_t kNameFieldCount = 6;
// VMs with at least a quarter of a core (25) take priority over smaller ones as coordinator.
constexpr int kMinCoordinatorCapacity = 25;

}  // namespace

std::string FleetMember::ToName() const {
  const std::string separator(1, kSeparator);
  return absl::StrCat(instance.ToString(), separator, started_unix_ms, separator, availability_zone,
                      separator, inner_address, separator, caller_address, separator, capacity);
}

std::optional<FleetMember> FleetMember::FromName(absl::string_view name) {
  const std::vector<std::string> fields = absl::StrSplit(name, kSeparator);
  if (fields.size() != kNameFieldCount) return std::nullopt;
  const auto instance = Instance::Parse(fields[0]);
  FleetMember member;
  if (!instance || !absl::SimpleAtoi(fields[1], &member.started_unix_ms) ||
      !absl::SimpleAtoi(fields[5], &member.capacity)) {
    return std::nullopt;
  }
  member.instance = *instance;
  member.availability_zone = fields[2];
  member.inner_address = fields[3];
  member.caller_address = fields[4];
  return member;
}

void RemoveOldIncarnations(std::vector<FleetMember>& members) {
  const std::vector<FleetMember> all = members;
  std::erase_if(members, [&](const FleetMember& member) {
    return std::any_of(all.begin(), all.end(), [&](const FleetMember& other) {
      return other.instance.vm == member.instance.vm &&
             other.started_unix_ms > member.started_unix_ms;
    });
  });
}

void SortByCoordinatorPriority(std::vector<FleetMember>& members) {
  const auto priority = [](const FleetMember& member) {
    const bool small = member.capacity < kMinCoordinatorCapacity;
    return std::make_tuple(small, member.started_unix_ms, member.instance);
  };
  std::sort(members.begin(), members.end(),
            [&](const FleetMember& a, const FleetMember& b) { return priority(a) < priority(b); });
}

std::vector<Address> SampleCallerAddresses(const std::vector<FleetMember>& members,
                                           std::size_t max_count, double (*random)()) {
  // Weighted sampling without replacement (Efraimidis and Spirakis, 2006).
  std::vector<std::pair<double, const FleetMember*>> drawn;
  for (const FleetMember& member : members) {
    if (!member.ready) continue;
    const double weight = std::max(member.capacity, 1);
    drawn.emplace_back(std::pow(random(), 1.0 / weight), &member);
  }
  std::sort(drawn.begin(), drawn.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  if (drawn.size() > max_count) drawn.resize(max_count);
  std::vector<Address> addresses;
  for (const auto& [key, member] : drawn) addresses.push_back(member->caller_address);
  return addresses;
}

}  // namespace marigoldquay
