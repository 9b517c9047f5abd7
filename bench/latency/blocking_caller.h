// HTTP caller over one kept connection, used by one thread.
#ifndef MARIGOLDQUAY_BENCH_LATENCY_BLOCKING_CALLER_H_
#define MARIGOLDQUAY_BENCH_LATENCY_BLOCKING_CALLER_H_

#include <curl/curl.h>

#include <string>
#include <vector>

#include "absl/time/clock.h"
#include "absl/time/time.h"
#include "sse_scanner.h"

namespace marigoldquay::bench {

struct Call {
  int status = 0;
  /// From the start of the call; infinite when no token arrived.
  absl::Duration first_token = absl::InfiniteDuration();
  absl::Duration whole;
  bool stream_done = false;
  std::string body;
};

class BlockingCaller {
 public:
  BlockingCaller() : curl_(curl_easy_init()) {}
  ~BlockingCaller() {
    curl_slist_free_all(headers_);
    curl_easy_cleanup(curl_);
  }
  BlockingCaller(const BlockingCaller&) = delete;
  BlockingCaller& operator=(const BlockingCaller&) = delete;

  /// "Name: value", for all later calls.
  void SetHeaders(const std::vector<std::string>& headers) {
    curl_slist_free_all(headers_);
    headers_ = nullptr;
    for (const std::string& header : headers) {
      headers_ = curl_slist_append(headers_, header.c_str());
    }
  }

  Call Post(const std::string& url, const std::string& body) {
    constexpr long kTimeoutMs = 30000;  // NOLINT(google-runtime-int): libcurl's type.
    Transfer transfer;
    curl_easy_setopt(curl_, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl_, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl_, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(curl_, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
    curl_easy_setopt(curl_, CURLOPT_POSTFIELDS, body.c_str());
    curl_easy_setopt(curl_, CURLOPT_HTTPHEADER, headers_);
    curl_easy_setopt(curl_, CURLOPT_TIMEOUT_MS, kTimeoutMs);
    curl_easy_setopt(curl_, CURLOPT_WRITEFUNCTION, &OnBody);
    curl_easy_setopt(curl_, CURLOPT_WRITEDATA, &transfer);
    transfer.start = absl::Now();
    const CURLcode code = curl_easy_perform(curl_);
    transfer.call.whole = absl::Now() - transfer.start;
    long status = 0;  // NOLINT(google-runtime-int): libcurl's type.
    curl_easy_getinfo(curl_, CURLINFO_RESPONSE_CODE, &status);
    transfer.call.status = code == CURLE_OK ? static_cast<int>(status) : 0;
    transfer.call.stream_done = transfer.scanner.done();
    transfer.call.body = transfer.scanner.rest();
    return transfer.call;
  }

 private:
  struct Transfer {
    absl::Time start;
    SseScanner scanner;
    Call call;
  };

  static std::size_t OnBody(char* data, std::size_t, std::size_t size, void* cls) {
    auto& transfer = *static_cast<Transfer*>(cls);
    const bool first = transfer.call.first_token == absl::InfiniteDuration();
    if (transfer.scanner.Add({data, size}) > 0 && first) {
      transfer.call.first_token = absl::Now() - transfer.start;
    }
    return size;
  }

  CURL* curl_;
  curl_slist* headers_ = nullptr;
};

}  // namespace marigoldquay::bench

#endif  // MARIGOLDQUAY_BENCH_LATENCY_BLOCKING_CALLER_H_
