// Callers that read streams, leave or lose them, and take them up again.
#include "stream_callers.h"

#include <algorithm>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"

namespace marigoldquay::testing {
namespace {

constexpr absl::Duration kCallerTime = absl::Seconds(5);
constexpr absl::Duration kEventsTime = absl::Seconds(8);
// A caller that is refused comes again this often, after this time when the answer names none.
constexpr int kTries = 8;
constexpr absl::Duration kPause = absl::Milliseconds(300);
constexpr absl::Duration kLongestPause = absl::Seconds(1);

absl::Duration PauseThatIsAskedFor(const ClientResponse& response) {
  const auto field = response.headers.find("retry-after");
  double seconds = 0;
  if (field == response.headers.end() || !absl::SimpleAtod(field->second, &seconds)) return kPause;
  return std::min(absl::Seconds(seconds), kLongestPause);
}

}  // namespace

void StreamCallers::TakeEvents(CallerStream& stream, std::string& text) const {
  for (auto end = text.find("\n\n"); end != std::string::npos; end = text.find("\n\n")) {
    const std::string event = text.substr(0, end);
    text.erase(0, end + 2);
    // "id: <number>", "data: <version> <request> <number>".
    const std::vector<std::string> words = absl::StrSplit(event, absl::ByAnyChar(" \n"));
    std::size_t number = 0;
    const bool sound = words.size() == 6 && absl::SimpleAtoi(words[1], &number);
    if (!sound || number != stream.versions.size() + 1) {
      stream.out_of_order = true;
      continue;
    }
    stream.versions.push_back(words[3]);
  }
}

absl::Duration StreamCallers::Read(CallerStream& stream, int vm, std::vector<std::string> headers) {
  CallerCall call;
  call.path = "/stream/x";
  call.id = NewRequestId();
  call.time_left = kCallerTime;
  call.headers = std::move(headers);
  call.headers.insert(call.headers.end(), {"Token-Count: 1000,100", "Model: m"});
  std::string text;
  {
    const std::scoped_lock lock(mutex_);
    stream.attempts.push_back(call.id);
    stream.events_before = stream.versions.size();
  }
  call.on_data = [&](absl::string_view data) {
    if (leave_) return false;
    const std::scoped_lock lock(mutex_);
    absl::StrAppend(&text, data);
    TakeEvents(stream, text);
    if (stream.began() && stream.first_attempt.empty()) stream.first_attempt = call.id;
    return true;
  };
  const ClientResponse response = world_.Call(vm, call);
  const std::scoped_lock lock(mutex_);
  stream.status = response.status;
  if (stream.refused()) stream.refused_attempts.push_back(call.id);
  stream.complete = response.status == 200 && response.complete();
  stream.timed_out = !response.error.empty() && response.duration >= kCallerTime;
  return PauseThatIsAskedFor(response);
}

void StreamCallers::Begin(int count, const std::vector<int>& vms) {
  for (int i = 0; i < count; ++i) {
    for (const int vm : vms) {
      CallerStream& stream = *streams_.emplace_back(std::make_unique<CallerStream>());
      threads_.emplace_back([this, &stream, vm] { (void)Read(stream, vm, {}); });
    }
  }
}

bool StreamCallers::AwaitEvents(std::size_t events) {
  return Eventually(kEventsTime, [&] {
    return Count([&](const CallerStream& stream) { return stream.versions.size() < events; }) == 0;
  });
}

void StreamCallers::Join() {
  for (auto& thread : threads_) thread.join();
  threads_.clear();
  leave_ = false;
}

void StreamCallers::TakeUpOne(CallerStream& stream, int vm, TakeUpHeaders headers) {
  std::vector<std::string> names{absl::StrCat("Last-Event-Id: ", stream.versions.size())};
  if (headers == TakeUpHeaders::kResumes) names.push_back("Resumes: " + stream.first_attempt);
  for (int i = 0; i < kTries; ++i) {
    const absl::Duration pause = Read(stream, vm, names);
    if (!stream.refused() || leave_) return;
    absl::SleepFor(pause);
  }
}

void StreamCallers::TakeUp(const std::vector<int>& vms, TakeUpHeaders headers,
                           const Filter& filter) {
  std::size_t next = 0;
  for (const auto& stream : streams_) {
    if (!stream->began() || stream->complete || (filter && !filter(*stream))) continue;
    const int vm = vms[next++ % vms.size()];
    threads_.emplace_back([this, &stream, vm, headers] { TakeUpOne(*stream, vm, headers); });
  }
}

std::vector<CallerStream> StreamCallers::streams() const {
  const std::scoped_lock lock(mutex_);
  std::vector<CallerStream> copy;
  for (const auto& stream : streams_) copy.push_back(*stream);
  return copy;
}

std::size_t StreamCallers::Count(const Filter& filter) const {
  const std::vector<CallerStream> all = streams();
  return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), filter));
}

std::size_t StreamCallers::damaged() const {
  return Count([this](const CallerStream& stream) {
    return stream.out_of_order || (stream.complete && stream.versions.size() != events_);
  });
}

}  // namespace marigoldquay::testing
