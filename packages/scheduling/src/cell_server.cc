// State of one backend server in a cell.
#include "cell_server.h"

#include <algorithm>
#include <utility>

namespace marigoldquay {
namespace {

constexpr absl::Duration kReportLag = absl::Milliseconds(1500);
// Three missed polls of 250 ms: the server is frozen or cut off.
constexpr int kMaxReportFailures = 3;
// Part of a prefill that is assumed to remain once it runs longer than predicted.
constexpr double kOverdueShare = 0.1;

bool Covers(BackendRole configured, BackendRole wanted) {
  return configured == wanted || configured == BackendRole::kBoth;
}

}  // namespace

void RecentMax::Prune(absl::Time now) {
  while (!steps_.empty() && steps_.front().until < now - kReportLag) steps_.pop_front();
}

void RecentMax::Set(std::int64_t value, absl::Time now) {
  Prune(now);
  if (!steps_.empty()) steps_.back().until = now;
  // Smaller values that ended no later never decide the maximum.
  while (!steps_.empty() && steps_.back().value <= value) steps_.pop_back();
  steps_.push_back({value});
}

std::int64_t RecentMax::Max(absl::Time now) const {
  std::int64_t max = 0;
  for (const auto& step : steps_) {
    if (step.until >= now - kReportLag) max = std::max(max, step.value);
  }
  return max;
}

CellServer::CellServer(BackendServer config, HealthOptions health_options)
    : health(health_options), config_(std::move(config)) {}

void CellServer::set_config(const BackendServer& config) {
  // Another address is another engine: what was learned of the old one does not hold.
  if (config.address != config_.address) {
    report_.reset();
    prefixes = PrefixIndex();
  }
  config_ = config;
}

void CellServer::OnReport(const LoadReport& report, absl::Time now) {
  report_ = report;
  report_failures_ = 0;
  recent_decodes_.Set(running_decodes_, now);
}

bool CellServer::RoleAllows(BackendRole role) const {
  if (!Covers(config_.role, role)) return false;
  if (!report_ || report_->role.empty() || report_->role == "both") return true;
  return report_->role == (role == BackendRole::kPrefill ? "prefill" : "decode");
}

bool CellServer::Usable(absl::Time now) const {
  return may_get_work && report_ && report_failures_ < kMaxReportFailures && health.Usable(now);
}

void CellServer::AddPrefill(std::uint64_t ticket, absl::Duration predicted, TokenCount pieces,
                            absl::Time now) {
  prefills_.push_back({ticket, predicted, now});
  results_[ticket] = pieces;
  recent_prefills_.Set(static_cast<std::int64_t>(prefills_.size()), now);
}

std::optional<absl::Duration> CellServer::EndPrefill(std::uint64_t ticket, absl::Time now) {
  const auto it = std::find_if(prefills_.begin(), prefills_.end(),
                               [&](const auto& prefill) { return prefill.ticket == ticket; });
  if (it == prefills_.end()) return std::nullopt;
  const auto ran = now - it->started;
  const bool was_first = it == prefills_.begin();
  prefills_.erase(it);
  if (was_first && !prefills_.empty()) prefills_.front().started = now;
  recent_prefills_.Set(static_cast<std::int64_t>(prefills_.size()), now);
  return ran;
}

absl::Time CellServer::PrefillFreeAt(absl::Time now) const {
  absl::Time free_at = now;
  if (!prefills_.empty()) {
    const auto& first = prefills_.front();
    free_at = std::max(first.started + first.predicted, now + first.predicted * kOverdueShare);
    for (std::size_t i = 1; i < prefills_.size(); ++i) free_at += prefills_[i].predicted;
  }
  // Prefills that other schedulers placed here, taken to be as long as a short one of ours.
  if (report_) {
    const auto unknown = report_->queue - recent_prefills_.Max(now);
    constexpr TokenCount kTypicalPrompt = 2000;
    if (unknown > 0) {
      free_at += absl::Seconds(prefill_s_per_token.value() * kTypicalPrompt) * unknown;
    }
  }
  return free_at;
}

bool CellServer::HasPrefillMemory(TokenCount pieces) const {
  if (!report_ || report_->pieces == 0) return true;
  for (const auto& [ticket, held] : results_) pieces += held;
  for (const auto& [ticket, decode] : decodes_) pieces += decode.pieces;
  return pieces <= report_->pieces;
}

void CellServer::AddDecode(std::uint64_t ticket, TokenCount pieces) {
  decodes_[ticket] = {.pieces = pieces};
}

void CellServer::SetDecodeRunning(std::uint64_t ticket, absl::Time now) {
  const auto it = decodes_.find(ticket);
  if (it == decodes_.end() || it->second.running) return;
  it->second.running = true;
  recent_decodes_.Set(++running_decodes_, now);
}

void CellServer::SetLatestEnd(std::uint64_t ticket, absl::Time latest_end) {
  const auto it = decodes_.find(ticket);
  if (it != decodes_.end()) it->second.latest_end = latest_end;
}

void CellServer::EndDecode(std::uint64_t ticket, absl::Time now) {
  const auto it = decodes_.find(ticket);
  if (it == decodes_.end()) return;
  if (it->second.running) recent_decodes_.Set(--running_decodes_, now);
  decodes_.erase(it);
}

std::int64_t CellServer::UnknownSlots(absl::Time now) const {
  if (!report_) return 0;
  return std::max<std::int64_t>(0, report_->slots_used - recent_decodes_.Max(now));
}

std::int64_t CellServer::FreeSlots(absl::Time now) const {
  if (!report_) return 0;
  return report_->slots - UnknownSlots(now) - static_cast<std::int64_t>(decodes_.size());
}

bool CellServer::HasDecodeRoom(TokenCount pieces, absl::Time at, absl::Time now,
                               bool count_predicted) const {
  if (!report_) return false;
  std::int64_t free_slots = FreeSlots(now);
  std::int64_t used_pieces = pieces;
  for (const auto& [ticket, decode] : decodes_) {
    if (count_predicted && decode.latest_end <= at) {
      ++free_slots;
    } else {
      used_pieces += decode.pieces;
    }
  }
  if (free_slots <= 0) return false;
  if (report_->pieces == 0) return true;
  // Memory that is reported above what is known counts only with unknown requests: otherwise it is
  // prefix cache, which the engine evicts by itself.
  if (UnknownSlots(now) > 0) {
    std::int64_t known = 0;
    for (const auto& [ticket, decode] : decodes_) known += decode.pieces;
    used_pieces += std::max<std::int64_t>(0, report_->pieces_used - known);
  }
  for (const auto& [ticket, held] : results_) used_pieces += held;
  return used_pieces <= report_->pieces;
}

}  // namespace marigoldquay
