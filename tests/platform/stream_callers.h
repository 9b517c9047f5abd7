// Callers that read streams, leave or lose them, and take them up again.
#ifndef MARIGOLDQUAY_TESTS_PLATFORM_STREAM_CALLERS_H_
#define MARIGOLDQUAY_TESTS_PLATFORM_STREAM_CALLERS_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "world.h"

namespace marigoldquay::testing {

/// One caller's stream over all of its attempts. Events are counted only when they are complete.
struct CallerStream {
  /// The attempt that brought the first event.
  std::string first_attempt;
  /// All attempts, in order.
  std::vector<std::string> attempts;
  /// Attempts that were answered 503, which promises that they have not run.
  std::vector<std::string> refused_attempts;
  /// Software version that made each event.
  std::vector<std::string> versions;
  /// Number of events before the newest attempt that was answered or refused.
  std::size_t events_before = 0;
  /// Status of the newest attempt; 0 when no answer arrived.
  int status = 0;
  /// Whether the newest attempt brought its answer to the end.
  bool complete = false;
  /// Whether the newest attempt ran out of the caller's time.
  bool timed_out = false;
  /// Whether an event came out of order.
  bool out_of_order = false;

  bool began() const { return !versions.empty(); }
  /// Whether it holds events of more than one software version.
  bool joined() const { return std::set(versions.begin(), versions.end()).size() > 1; }
  /// Whether the newest attempt brought a further event.
  bool went_on() const { return versions.size() > events_before; }
  bool refused() const { return status == 503; }
};

/// What a take-up names.
enum class TakeUpHeaders { kResumes, kOnlyLastEvent };

/// A group of callers, each in its own thread. Only for worlds whose events are marked.
class StreamCallers {
 public:
  using Filter = std::function<bool(const CallerStream&)>;

  StreamCallers(World& world, std::size_t events) : world_(world), events_(events) {}
  ~StreamCallers() { Join(); }
  StreamCallers(const StreamCallers&) = delete;
  StreamCallers& operator=(const StreamCallers&) = delete;

  /// Begins `count` streams at each of the VMs.
  void Begin(int count, const std::vector<int>& vms);
  /// Waits until every stream that is being read has at least `events` events; false when that
  /// takes too long.
  bool AwaitEvents(std::size_t events);
  /// The callers disconnect at their next event.
  void Leave() { leave_ = true; }
  /// Waits until no caller reads.
  void Join();
  /// Callers that began, are not complete and fit the filter take their streams up at one of the
  /// VMs. A refused caller comes again a few times.
  void TakeUp(const std::vector<int>& vms, TakeUpHeaders headers = TakeUpHeaders::kResumes,
              const Filter& filter = {});

  std::vector<CallerStream> streams() const;
  std::size_t Count(const Filter& filter) const;
  std::size_t joined() const {
    return Count([](const CallerStream& stream) { return stream.joined(); });
  }
  /// Streams that look complete without all of their events, each once and in order.
  std::size_t damaged() const;

 private:
  // Reads one attempt to its end; returns the time after which the caller may come again.
  absl::Duration Read(CallerStream& stream, int vm, std::vector<std::string> headers);
  void TakeUpOne(CallerStream& stream, int vm, TakeUpHeaders headers);
  // Moves the complete events from `text` to the stream.
  void TakeEvents(CallerStream& stream, std::string& text) const;

  World& world_;
  const std::size_t events_;
  std::atomic<bool> leave_{false};
  // Guards the contents of the streams.
  mutable std::mutex mutex_;
  std::vector<std::unique_ptr<CallerStream>> streams_;
  std::vector<std::thread> threads_;
};

}  // namespace marigoldquay::testing

#endif  // MARIGOLDQUAY_TESTS_PLATFORM_STREAM_CALLERS_H_
