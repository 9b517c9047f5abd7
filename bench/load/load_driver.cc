#include "load_driver.h"

#include <curl/curl.h>

#include <algorithm>
#include <boost/json.hpp>
#include <memory>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "sse_scanner.h"

namespace marigoldquay::bench {
namespace {

constexpr absl::Duration kAvoidRefused = absl::Seconds(1);
// Nothing was sent when a connection is refused, so any caller may try another VM.
constexpr int kMaxConnects = 3;
constexpr absl::Duration kMaxPoll = absl::Milliseconds(20);
constexpr long kCachedConnections = 2000;  // NOLINT(google-runtime-int): libcurl's type.

// One request in flight.
struct Transfer {
  const PlannedRequest* request = nullptr;
  RequestRecord* record = nullptr;
  absl::Time due;
  Address address;
  int connects = 0;
  std::string body;
  SseScanner scanner;
  absl::Time last_token;
  curl_slist* headers = nullptr;

  Transfer() = default;
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;
  ~Transfer() { curl_slist_free_all(headers); }
};

std::size_t OnBody(char* data, std::size_t, std::size_t size, void* cls) {
  auto& transfer = *static_cast<Transfer*>(cls);
  const int tokens = transfer.scanner.Add({data, size});
  if (tokens == 0) return size;
  const absl::Time now = absl::Now();
  RequestRecord& record = *transfer.record;
  if (record.tokens == 0) {
    record.first_token = now - transfer.due;
  } else {
    record.gaps_ms.push_back(
        static_cast<float>(absl::ToDoubleMilliseconds(now - transfer.last_token)));
  }
  // Tokens that arrive together have no gap between them.
  record.gaps_ms.insert(record.gaps_ms.end(), tokens - 1, 0.0F);
  record.tokens += tokens;
  record.last_token = now - transfer.due;
  transfer.last_token = now;
  return size;
}

// Cause and outcome from the router's JSON error.
void ReadError(const std::string& text, RequestRecord& record) {
  boost::json::error_code error_code;
  const boost::json::value value = boost::json::parse(text, error_code);
  record.cause = absl::StrCat("status_", record.status);
  if (error_code) return;
  const auto* type = value.find_pointer("/error/type", error_code);
  if (type != nullptr && type->is_string()) record.cause = type->as_string().c_str();
  const auto* outcome = value.find_pointer("/outcome", error_code);
  record.not_run = outcome != nullptr && outcome->is_string() && outcome->as_string() == "not_run";
}

// The requests of one thread: every `step`-th one from `first` on.
class DriverThread {
 public:
  DriverThread(const DriverOptions& options, const std::vector<PlannedRequest>& requests,
               std::vector<RequestRecord>& records, VmAddresses& addresses, absl::Time start,
               std::size_t first, std::size_t step)
      : options_(options),
        requests_(requests),
        records_(records),
        addresses_(addresses),
        start_(start),
        next_(first),
        step_(step),
        multi_(curl_multi_init()) {
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kCachedConnections);
  }
  ~DriverThread() {
    for (CURL* easy : idle_) curl_easy_cleanup(easy);
    curl_multi_cleanup(multi_);
  }
  DriverThread(const DriverThread&) = delete;
  DriverThread& operator=(const DriverThread&) = delete;

  void Run() {
    while (next_ < requests_.size() || active_ > 0) {
      StartDue();
      int running = 0;
      curl_multi_perform(multi_, &running);
      CollectDone();
      absl::Duration wait = kMaxPoll;
      if (next_ < requests_.size()) wait = std::min(wait, Due(next_) - absl::Now());
      const auto wait_ms = std::max<std::int64_t>(0, absl::ToInt64Milliseconds(wait));
      curl_multi_poll(multi_, nullptr, 0, static_cast<int>(wait_ms), nullptr);
    }
  }

 private:
  absl::Time Due(std::size_t index) const { return start_ + requests_[index].at; }

  void StartDue() {
    for (; next_ < requests_.size() && Due(next_) <= absl::Now(); next_ += step_) {
      auto* transfer = new Transfer;  // Deleted by End.
      transfer->request = &requests_[next_];
      transfer->record = &records_[next_];
      transfer->due = Due(next_);
      transfer->record->start_lag = absl::Now() - transfer->due;
      transfer->body =
          boost::json::serialize(boost::json::object{{"model", options_.model},
                                                     {"prompt", PromptText(*transfer->request)},
                                                     {"max_tokens", transfer->request->max_tokens},
                                                     {"stream", true}});
      const std::string& authorization = options_.authorizations[transfer->request->workspace];
      for (const char* header :
           {"Expect:", "Content-Type: application/json", authorization.c_str()}) {
        transfer->headers = curl_slist_append(transfer->headers, header);
      }
      ++active_;
      Start(TakeEasy(), transfer);
    }
  }

  CURL* TakeEasy() {
    if (idle_.empty()) return curl_easy_init();
    CURL* easy = idle_.back();
    idle_.pop_back();
    return easy;
  }

  void Start(CURL* easy, Transfer* transfer) {
    transfer->address =
        addresses_.Choose(transfer->request->vm_draw + static_cast<unsigned>(transfer->connects++));
    const std::string url = absl::StrCat("http://", transfer->address, "/v1/completions");
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(transfer->body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, transfer->body.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
    curl_easy_setopt(
        easy, CURLOPT_TIMEOUT_MS,
        static_cast<long>(absl::ToInt64Milliseconds(options_.request_timeout)));  // NOLINT
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
    curl_multi_add_handle(multi_, easy);
  }

  void CollectDone() {
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi_, &left)) {
      if (message->msg != CURLMSG_DONE) continue;
      CURL* easy = message->easy_handle;
      const CURLcode code = message->data.result;
      char* pointer = nullptr;
      curl_easy_getinfo(easy, CURLINFO_PRIVATE, &pointer);
      auto* transfer = reinterpret_cast<Transfer*>(pointer);
      curl_multi_remove_handle(multi_, easy);
      if (code == CURLE_COULDNT_CONNECT) {
        addresses_.ReportRefused(transfer->address);
        if (transfer->connects < kMaxConnects) {
          Start(easy, transfer);
          continue;
        }
      }
      End(easy, std::unique_ptr<Transfer>(transfer), code);
    }
  }

  void End(CURL* easy, std::unique_ptr<Transfer> transfer, CURLcode code) {
    RequestRecord& record = *transfer->record;
    long status = 0;  // NOLINT(google-runtime-int): libcurl's type.
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    record.status = static_cast<int>(status);
    curl_easy_reset(easy);
    idle_.push_back(easy);
    --active_;
    if (!transfer->scanner.error().empty()) {
      ReadError(transfer->scanner.error(), record);
    } else if (code == CURLE_OPERATION_TIMEDOUT) {
      record.cause = "client_timeout";
    } else if (code != CURLE_OK || record.status == 0) {
      record.cause = "connection";
    } else if (record.status != 200) {
      ReadError(transfer->scanner.rest(), record);
    } else if (!transfer->scanner.done() || record.tokens != transfer->request->output_tokens) {
      record.cause = "incomplete";
    }
  }

  const DriverOptions& options_;
  const std::vector<PlannedRequest>& requests_;
  std::vector<RequestRecord>& records_;
  VmAddresses& addresses_;
  const absl::Time start_;
  std::size_t next_;
  const std::size_t step_;
  CURLM* multi_;
  std::vector<CURL*> idle_;
  int active_ = 0;
};

}  // namespace

void VmAddresses::Set(int vm, Address address) {
  absl::MutexLock lock(&mutex_);
  if (static_cast<int>(entries_.size()) <= vm) entries_.resize(vm + 1);
  entries_[vm] = {std::move(address)};
}

Address VmAddresses::Choose(std::uint32_t draw) const {
  absl::MutexLock lock(&mutex_);
  const absl::Time now = absl::Now();
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const Entry& entry = entries_[(draw + i) % entries_.size()];
    if (!entry.address.empty() && entry.avoid_until < now) return entry.address;
  }
  return entries_.empty() ? "" : entries_[draw % entries_.size()].address;
}

void VmAddresses::ReportRefused(const Address& address) {
  absl::MutexLock lock(&mutex_);
  for (Entry& entry : entries_) {
    if (entry.address == address) entry.avoid_until = absl::Now() + kAvoidRefused;
  }
}

LoadDriver::LoadDriver(DriverOptions options, const std::vector<PlannedRequest>& requests,
                       VmAddresses& addresses, absl::Time start)
    : options_(std::move(options)),
      requests_(requests),
      addresses_(addresses),
      start_(start),
      records_(requests.size()) {
  static const CURLcode initialized = curl_global_init(CURL_GLOBAL_ALL);
  (void)initialized;
  for (int i = 0; i < options_.threads; ++i) {
    threads_.emplace_back([this, i] {
      DriverThread(options_, requests_, records_, addresses_, start_, i, options_.threads).Run();
    });
  }
}

const std::vector<RequestRecord>& LoadDriver::Finish() {
  Join();
  return records_;
}

void LoadDriver::Join() {
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

}  // namespace marigoldquay::bench
