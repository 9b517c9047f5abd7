// What a cell's scheduler knows of one backend server: reports, reservations,
// speeds.
#ifndef MARIGOLDQUAY_SCHEDULING_SRC_CELL_SERVER_H_
#define MARIGOLDQUAY_SCHEDULING_SRC_CELL_SERVER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "link_calendar.h"
#include "marigoldquay/config/objects.h"
#include "marigoldquay/scheduling/engine_reports.h"
#include "marigoldquay/scheduling/prefix_index.h"
#include "marigoldquay/scheduling/server_health.h"
#include "marigoldquay/scheduling/speed_estimate.h"

namespace marigoldquay {

/// Greatest value within the last second and a half, which is longer than reports lag.
class RecentMax {
 public:
  void Set(std::int64_t value, absl::Time now);
  std::int64_t Max(absl::Time now) const;

 private:
  void Prune(absl::Time now);

  struct Step {
    std::int64_t value = 0;
    // When the next step replaced it.
    absl::Time until = absl::InfiniteFuture();
  };
  std::deque<Step> steps_;
};

/// Not thread-safe.
class CellServer {
 public:
  /// A prefill that was placed here and has not ended.
  struct Prefill {
    std::uint64_t ticket = 0;
    absl::Duration predicted;
    absl::Time started;
  };
  /// A decode slot that is reserved or in use.
  struct Decode {
    TokenCount pieces = 0;
    bool running = false;
    /// By when it has ended even if it generates all tokens that it may.
    absl::Time latest_end = absl::InfiniteFuture();
  };

  explicit CellServer(BackendServer config, HealthOptions health);

  void set_config(const BackendServer& config);
  const BackendServer& config() const { return config_; }
  bool may_get_work = true;

  void OnReport(const LoadReport& report, absl::Time now);
  void OnReportFailed() { ++report_failures_; }
  const std::optional<LoadReport>& report() const { return report_; }

  /// Whether the role allows it, as configured and as the engine says.
  bool RoleAllows(BackendRole role) const;
  /// Whether it may get a new request now.
  bool Usable(absl::Time now) const;

  // Prefill side.
  void AddPrefill(std::uint64_t ticket, absl::Duration predicted, TokenCount pieces,
                  absl::Time now);
  /// The prefill ended; returns how long it ran, without the time that it waited for others.
  std::optional<absl::Duration> EndPrefill(std::uint64_t ticket, absl::Time now);
  /// The result was imported or is gone, so that its memory is free.
  void EndResult(std::uint64_t ticket) { results_.erase(ticket); }
  absl::Time PrefillFreeAt(absl::Time now) const;
  std::size_t prefill_count() const { return prefills_.size(); }
  const std::vector<Prefill>& prefills() const { return prefills_; }
  bool HasPrefillMemory(TokenCount pieces) const;

  // Decode side.
  void AddDecode(std::uint64_t ticket, TokenCount pieces);
  void SetDecodeRunning(std::uint64_t ticket, absl::Time now);
  void SetLatestEnd(std::uint64_t ticket, absl::Time latest_end);
  void EndDecode(std::uint64_t ticket, absl::Time now);
  std::size_t decode_count() const { return decodes_.size(); }
  /// Slots in use that this scheduler knows nothing of.
  std::int64_t UnknownSlots(absl::Time now) const;
  /// Slots that are free now.
  std::int64_t FreeSlots(absl::Time now) const;
  /// Whether a slot and memory are free at `at`; `count_predicted` counts those of requests that
  /// have surely ended by then.
  bool HasDecodeRoom(TokenCount pieces, absl::Time at, absl::Time now, bool count_predicted) const;

  ServerHealth health;
  SpeedEstimate prefill_s_per_token;
  SpeedEstimate decode_s_per_token;
  SpeedEstimate link_s_per_byte;
  LinkCalendar link;
  PrefixIndex prefixes;
  /// The engine has just said that it is full, although its reports say otherwise.
  absl::Time prefill_full_until = absl::InfinitePast();
  absl::Time decode_full_until = absl::InfinitePast();

 private:
  BackendServer config_;
  std::optional<LoadReport> report_;
  int report_failures_ = 0;
  std::vector<Prefill> prefills_;
  // Pieces of prefills that run or wait to be imported, by ticket.
  std::map<std::uint64_t, TokenCount> results_;
  RecentMax recent_prefills_;
  std::map<std::uint64_t, Decode> decodes_;
  std::int64_t running_decodes_ = 0;
  // What a lagging report may still count.
  RecentMax recent_decodes_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_SCHEDULING_SRC_CELL_SERVER_H_
