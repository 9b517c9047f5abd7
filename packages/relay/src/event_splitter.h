// Splits a stream of server-sent events (WHATWG HTML, section 9.2) into complete
// events, so that an interrupted stream can be resumed after the last one, and
// detects streams that end inside an event.
#ifndef MARIGOLDQUAY_RELAY_SRC_EVENT_SPLITTER_H_
#define MARIGOLDQUAY_RELAY_SRC_EVENT_SPLITTER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"

namespace marigoldquay::internal {

/// Buffers the bytes of an event until the event is complete. The caller limits its size.
class EventSplitter {
 public:
  /// Appends received bytes and returns the bytes of all events that are now complete.
  std::string Append(absl::string_view bytes);
  /// Discards the buffered bytes of an incomplete event.
  void DiscardPartial() { partial_.clear(); }
  bool has_partial() const { return !partial_.empty(); }
  /// Size of the incomplete event in bytes.
  std::size_t partial_bytes() const { return partial_.size(); }
  /// Id of the last complete event that had a numeric id.
  std::optional<std::uint64_t> last_id() const { return last_id_; }
  void set_last_id(std::optional<std::uint64_t> id) { last_id_ = id; }

 private:
  void ParseId(absl::string_view event);

  std::string partial_;
  std::optional<std::uint64_t> last_id_;
};

/// Tells whether a stream has ended between two events. Keeps only the last bytes.
class EventBoundary {
 public:
  /// Adds received bytes.
  void Append(absl::string_view bytes);
  /// Whether the bytes end with an empty line; false before the first one.
  bool at_end_of_event() const;
  bool empty() const { return tail_.empty(); }

 private:
  // The last bytes, enough for two line endings.
  std::string tail_;
};

}  // namespace marigoldquay::internal

#endif  // MARIGOLDQUAY_RELAY_SRC_EVENT_SPLITTER_H_
