// Splits a stream of server-sent events (WHATWG HTML, section 9.2) into complete
// events, so that an interrupted stream can be resumed after the last one, and
// detects streams that end inside an event.
#ifndef MARIGOLDQUAY_RELAY_SRC_EVENT_SPLITTER_H_
#define MARIGOLDQUAY_RELAY_SRC_EVENT_SPLITTER_H_

#include <cstddef>
#include <optional>
#include <string>

#include "absl/strings/string_view.h"

namespace marigoldquay::internal {

/// Buffers the bytes of an event until the event is complete. The caller limits its size. Lines end
/// with LF, CR LF or CR.
class EventSplitter {
 public:
  /// Appends received bytes and returns the bytes of all events that are now complete.
  std::string Append(absl::string_view bytes);
  /// Discards the buffered bytes of an incomplete event.
  void DiscardPartial();
  bool has_partial() const { return !partial_.empty(); }
  /// Size of the incomplete event in bytes.
  std::size_t partial_bytes() const { return partial_.size(); }
  /// Id of the last complete event that had one, as the server wrote it.
  const std::optional<std::string>& last_id() const { return last_id_; }
  /// Whether a server that is told `last_id` goes on behind the last complete event. False after an
  /// event with data and without an id that can be sent in a header field.
  bool position_known() const { return position_known_; }

 private:
  // Adopts the id and position after a complete event.
  void OnEvent(absl::string_view event);

  std::string partial_;
  // Bytes of the current line so far.
  std::size_t line_bytes_ = 0;
  // Whether the last byte was a CR, and whether that ended an event: a LF belongs to it.
  bool after_cr_ = false;
  bool cr_ended_event_ = false;
  std::optional<std::string> last_id_;
  bool position_known_ = true;
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
