// Stand-in for the platform's append-only log (docs/design.md, section 4), in memory.
//
// POST /test/faults: outage (connections close without an answer), append_delay_ms, read_delay_ms,
// lose_answers (count of appends that take effect without an answer), late_effect_ms (such an
// append takes effect that much later), lose_appends (count of appends without effect or answer),
// and retain_records, retain_ms, appends_per_s, which replace the flags of these names.
// GET /test/stats: {"appends":{STREAM:n},"refused","lost_answers","reads","key_leaks"}.
#include <gflags/gflags.h>

#include <algorithm>
#include <deque>
#include <thread>

#include "absl/strings/str_split.h"
#include "absl/time/clock.h"
#include "http_server.h"
#include "marigoldquay/core/clock.h"

DEFINE_int32(port, 0, "port on 127.0.0.1; 0 chooses one");
DEFINE_int64(retain_records, 0, "records kept per stream; 0 keeps all");
DEFINE_int64(retain_ms, 0, "time for which records are kept; 0 keeps all");
DEFINE_int64(appends_per_s, 0, "appends accepted per second over all streams; 0 is no limit");

namespace marigoldquay::testing {
namespace {

// A waiting read notices an outage after this time.
constexpr absl::Duration kOutagePoll = absl::Milliseconds(20);
constexpr std::int64_t kMaxWaitMs = 30000;
constexpr std::int64_t kMaxRecords = 10000;

struct Record {
  std::string data;
  absl::Time appended;
};

struct Stream {
  std::uint64_t first = 0;
  std::deque<Record> records;
  std::int64_t appends = 0;

  std::uint64_t next() const { return first + records.size(); }
};

class Log {
 public:
  ServerResponse Handle(const ServerRequest& request) {
    if (request.path == "/test/faults") return faults_.Set(request);
    if (request.path == "/test/stats") return Stats();
    if (faults_.Value("outage") != 0) return DroppedResponse();
    const std::vector<std::string> parts = absl::StrSplit(request.path, '/');
    if (parts.size() != 4 || parts[1] != "streams" || parts[2].empty() || parts[3] != "records") {
      return ErrorResponse(404, "no such path");
    }
    if (request.method == "POST") return Append(parts[2], request.body);
    return request.method == "GET" ? Read(parts[2], request) : ErrorResponse(405, "use GET, POST");
  }

 private:
  ServerResponse Append(const std::string& name, const std::string& data) {
    if (data.empty()) return ErrorResponse(400, "empty record");
    faults_.SleepMs("append_delay_ms");
    if (!TakeAppendCredit()) {
      ServerResponse response = ErrorResponse(429, "append rate exceeded");
      response.headers.emplace_back("Retry-After", "1");
      return response;
    }
    if (faults_.Take("lose_appends")) return DroppedResponse();
    const bool lose_answer = faults_.Take("lose_answers");
    if (lose_answer) {
      absl::MutexLock lock(&mutex_);
      ++lost_answers_;
    }
    if (const auto late_ms = faults_.Value("late_effect_ms"); lose_answer && late_ms > 0) {
      std::thread([this, name, data, late_ms] {
        absl::SleepFor(absl::Milliseconds(late_ms));
        Store(name, data);
      }).detach();
      return DroppedResponse();
    }
    const std::uint64_t offset = Store(name, data);
    return lose_answer ? DroppedResponse() : JsonResponse(200, {{"offset", offset}});
  }

  std::uint64_t Store(const std::string& name, const std::string& data) {
    absl::MutexLock lock(&mutex_);
    Stream& stream = streams_[name];
    stream.records.push_back({data, SystemClock::Instance().Now()});
    ++stream.appends;
    const std::uint64_t offset = stream.next() - 1;
    DropOldRecords(stream);
    return offset;
  }

  bool TakeAppendCredit() {
    const std::int64_t rate = faults_.Value("appends_per_s", FLAGS_appends_per_s);
    absl::MutexLock lock(&mutex_);
    const absl::Time now = SystemClock::Instance().Now();
    while (!recent_appends_.empty() && recent_appends_.front() <= now - absl::Seconds(1)) {
      recent_appends_.pop_front();
    }
    if (rate > 0 && static_cast<std::int64_t>(recent_appends_.size()) >= rate) {
      ++refused_;
      return false;
    }
    recent_appends_.push_back(now);
    return true;
  }

  void DropOldRecords(Stream& stream) {
    const std::int64_t count = faults_.Value("retain_records", FLAGS_retain_records);
    const std::int64_t age_ms = faults_.Value("retain_ms", FLAGS_retain_ms);
    const absl::Time oldest = SystemClock::Instance().Now() - absl::Milliseconds(age_ms);
    while (!stream.records.empty() &&
           ((count > 0 && static_cast<std::int64_t>(stream.records.size()) > count) ||
            (age_ms > 0 && stream.records.front().appended < oldest))) {
      stream.records.pop_front();
      ++stream.first;
    }
  }

  ServerResponse Read(const std::string& name, const ServerRequest& request) {
    faults_.SleepMs("read_delay_ms");
    const auto from =
        static_cast<std::uint64_t>(std::max<std::int64_t>(0, request.QueryInt("from", 0)));
    const auto max = std::clamp<std::int64_t>(request.QueryInt("max", 1000), 1, kMaxRecords);
    const auto wait_ms = std::clamp<std::int64_t>(request.QueryInt("wait_ms", 0), 0, kMaxWaitMs);
    const absl::Time deadline = SystemClock::Instance().Now() + absl::Milliseconds(wait_ms);
    absl::MutexLock lock(&mutex_);
    ++reads_;
    Stream& stream = streams_[name];  // Elements of a std::map stay in place.
    const auto has_record = [&] { return stream.next() > from; };
    while (!has_record() && SystemClock::Instance().Now() < deadline) {
      const absl::Duration left = deadline - SystemClock::Instance().Now();
      mutex_.AwaitWithTimeout(absl::Condition(&has_record), std::min(left, kOutagePoll));
      if (faults_.Value("outage") != 0) return DroppedResponse();
    }
    DropOldRecords(stream);
    boost::json::array records;
    for (std::uint64_t offset = std::max(from, stream.first);
         offset < stream.next() && static_cast<std::int64_t>(records.size()) < max; ++offset) {
      records.push_back({{"offset", offset}, {"data", stream.records[offset - stream.first].data}});
    }
    return JsonResponse(
        200, {{"first", stream.first}, {"next", stream.next()}, {"records", std::move(records)}});
  }

  ServerResponse Stats() {
    absl::MutexLock lock(&mutex_);
    boost::json::object appends;
    for (const auto& [name, stream] : streams_) appends[name] = stream.appends;
    return JsonResponse(200, {{"appends", appends},
                              {"refused", refused_},
                              {"lost_answers", lost_answers_},
                              {"reads", reads_},
                              {"key_leaks", KeyLeaks()}});
  }

  FaultSet faults_{{"outage", "append_delay_ms", "read_delay_ms", "lose_answers", "late_effect_ms",
                    "lose_appends", "retain_records", "retain_ms", "appends_per_s"}};
  absl::Mutex mutex_;
  std::map<std::string, Stream> streams_;
  std::deque<absl::Time> recent_appends_;
  std::int64_t refused_ = 0;
  std::int64_t lost_answers_ = 0;
  std::int64_t reads_ = 0;
};

}  // namespace
}  // namespace marigoldquay::testing

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  marigoldquay::testing::Log log;
  return marigoldquay::testing::RunHttpServer(
      FLAGS_port, [&](const auto& request) { return log.Handle(request); });
}
