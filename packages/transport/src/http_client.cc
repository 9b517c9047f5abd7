// HTTP client on libcurl's multi interface. Each request has its own easy and
// multi handle, taken from a pool, so that blocking callers share nothing.
#include "marigoldquay/transport/http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <array>
#include <mutex>
#include <optional>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/core/metrics.h"

namespace marigoldquay {
namespace {

constexpr absl::Duration kPollInterval = absl::Milliseconds(20);
// Above the number of concurrent requests of a VM at design scale.
constexpr std::size_t kMaxIdleSessions = 256;
constexpr long kConnectionsPerSession = 2;  // NOLINT(google-runtime-int): libcurl takes long.
// Below the five seconds after which common HTTP servers close idle connections, so that a request
// rarely meets a connection that is just being closed.
constexpr long kMaxIdleSeconds = 3;  // NOLINT(google-runtime-int)
constexpr std::size_t kMaxResponseHeaderBytes = std::size_t{128} << 10;

Counter& StaleConnections() {
  static Counter& counter = MetricsRegistry::Global().counter(
      "marigoldquay_http_stale_connections_total",
      "Requests that failed because the server had closed a kept connection.");
  return counter;
}

absl::Time Now() { return SystemClock::Instance().Now(); }

// Status of a status line; unset when it has none that HTTP has: three digits, from 100 to 599 (RFC
// 9110, section 15), before a space or the end of the line. No request asks for another protocol,
// which 101 would begin.
std::optional<int> ParseStatus(absl::string_view line) {
  constexpr std::size_t kDigits = 3;
  const auto space = line.find(' ');
  if (space == absl::string_view::npos) return std::nullopt;
  const auto rest = line.substr(space + 1);
  const auto digits = rest.substr(0, kDigits);
  const bool ends = rest.size() == kDigits || (rest.size() > kDigits && rest[kDigits] == ' ');
  int status = 0;
  if (!ends || !std::all_of(digits.begin(), digits.end(), absl::ascii_isdigit) ||
      !absl::SimpleAtoi(digits, &status)) {
    return std::nullopt;
  }
  if (status < 100 || status > 599 || status == 101) return std::nullopt;
  return status;
}

// "http://10.0.0.1:8000" of an URL.
absl::string_view OriginOf(absl::string_view url) {
  const auto scheme = url.find("://");
  if (scheme == absl::string_view::npos) return url;
  return url.substr(0, url.find_first_of("/?#", scheme + 3));
}

std::string PeerOf(absl::string_view url) {
  const auto origin = OriginOf(url);
  const auto scheme = origin.find("://");
  return std::string(scheme == absl::string_view::npos ? origin : origin.substr(scheme + 3));
}

// A libcurl easy handle with a multi handle of its own, which keeps its connections.
class Session {
 public:
  Session() : multi_(curl_multi_init()), easy_(curl_easy_init()) {
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kConnectionsPerSession);
  }
  ~Session() {
    curl_easy_cleanup(easy_);
    curl_multi_cleanup(multi_);
  }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  CURLM* multi() const { return multi_; }
  CURL* easy() const { return easy_; }
  const std::string& origin() const { return origin_; }
  void set_origin(absl::string_view origin) { origin_ = std::string(origin); }

 private:
  CURLM* multi_;
  CURL* easy_;
  // Where the last request went; the next one to the same place finds its connection here.
  std::string origin_;
};

using HeaderList = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

bool HasLineBreak(absl::string_view text) {
  return text.find_first_of(absl::string_view("\r\n\0", 3)) != absl::string_view::npos;
}

// Why libcurl must not see this request; empty when it may.
std::string FaultOf(const HttpRequest& request) {
  if (request.method.empty() ||
      !std::all_of(request.method.begin(), request.method.end(), absl::ascii_isupper)) {
    return "method malformed, allowed upper-case letters";
  }
  if (HasLineBreak(request.url)) return "url contains a line break";
  for (const auto& [name, value] : request.headers) {
    if (name.empty() || HasLineBreak(name) || HasLineBreak(value)) {
      return absl::StrCat("header ", HasLineBreak(name) ? "name" : name,
                          " malformed, allowed a non-empty name and no line breaks");
    }
  }
  return {};
}

HeaderList MakeHeaders(const HttpRequest& request) {
  // Libcurl adds these by itself unless told not to.
  HeaderList list(curl_slist_append(nullptr, "Expect:"), &curl_slist_free_all);
  bool has_type = false;
  const auto add = [&list](const std::string& line) {
    curl_slist* head = curl_slist_append(list.release(), line.c_str());
    list.reset(head);
  };
  for (const auto& [name, value] : request.headers) {
    has_type = has_type || absl::EqualsIgnoreCase(name, "content-type");
    add(value.empty() ? absl::StrCat(name, ";") : absl::StrCat(name, ": ", value));
  }
  if (!has_type) add("Content-Type:");
  return list;
}

// One request on one session.
class Transfer {
 public:
  using OnData = std::function<bool(absl::string_view)>;

  Transfer(Session& session, const HttpRequest& request, const HttpOptions& options,
           const OnData* on_data)
      : session_(session),
        request_(request),
        options_(options),
        on_data_(on_data),
        headers_(MakeHeaders(request)) {}

  Result<HttpResponse> Run() {
    Prepare();
    last_activity_ = Now();
    curl_multi_add_handle(session_.multi(), session_.easy());
    const std::optional<CURLcode> code = Loop();
    // Removing an unfinished request closes its connection, which tells the server.
    curl_multi_remove_handle(session_.multi(), session_.easy());
    auto result = Conclude(code);
    curl_easy_reset(session_.easy());
    return result;
  }

 private:
  void Prepare() {
    CURL* easy = session_.easy();
    curl_easy_setopt(easy, CURLOPT_URL, request_.url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, kMaxIdleSeconds);
    curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, error_text_.data());
    const auto connect = std::min(options_.connect_timeout, options_.timeout);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     std::max(1L, static_cast<long>(  // NOLINT(google-runtime-int)
                                      absl::ToInt64Milliseconds(connect))));
    if (request_.method == "HEAD") curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    if (!request_.body.empty() || request_.method == "POST") {
      curl_easy_setopt(easy, CURLOPT_POST, 1L);
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request_.body.data());
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(request_.body.size()));
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request_.method.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers_.get());
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &Transfer::OnBeforeSend);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Transfer::OnHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Transfer::OnBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
  }

  // Result of the transfer; nullopt when it was given up, with stop_ saying why.
  std::optional<CURLcode> Loop() {
    const absl::Time start = last_activity_;
    while (true) {
      int running = 0;
      curl_multi_perform(session_.multi(), &running);
      int left = 0;
      while (const CURLMsg* message = curl_multi_info_read(session_.multi(), &left)) {
        if (message->msg == CURLMSG_DONE) return message->data.result;
      }
      if (running == 0) return CURLE_FAILED_INIT;
      if (options_.cancelled && options_.cancelled()) {
        stop_ = ErrorCode::kCancelled;
        return std::nullopt;
      }
      const absl::Time since = on_data_ != nullptr ? last_activity_ : start;
      const absl::Duration remaining = since + options_.timeout - Now();
      if (remaining <= absl::ZeroDuration()) {
        stop_ = ErrorCode::kTimeout;
        return std::nullopt;
      }
      const auto wait = std::min(remaining, kPollInterval);
      curl_multi_poll(session_.multi(), nullptr, 0,
                      static_cast<int>(absl::ToInt64Milliseconds(wait)) + 1, nullptr);
    }
  }

  Result<HttpResponse> Conclude(std::optional<CURLcode> code) {
    if (code == CURLE_OK) return std::move(response_);
    if (stop_ == ErrorCode::kCancelled) return Failure(*stop_, "cancelled by the caller");
    if (stop_) return Failure(*stop_, stop_text_);
    if (sends_ == 0) {
      return Failure(ErrorCode::kNotSent, error_text_[0] != 0 ? error_text_.data()
                                          : code              ? curl_easy_strerror(*code)
                                                              : "no connection in time");
    }
    if (!code || code == CURLE_OPERATION_TIMEDOUT) {
      return Failure(ErrorCode::kTimeout, absl::StrCat("no complete response within ",
                                                       absl::FormatDuration(options_.timeout)));
    }
    if (sends_ > 1) {
      StaleConnections().Increment();
      return Failure(ErrorCode::kUnavailable, "server closed a kept connection without a response");
    }
    return Failure(ErrorCode::kUnavailable,
                   error_text_[0] != 0 ? error_text_.data() : curl_easy_strerror(*code));
  }

  boost::leaf::error_id Failure(ErrorCode code, std::string message) const {
    return Fail(code, absl::StrCat(request_.method, " request"), PeerOf(request_.url),
                std::move(message));
  }

  // Libcurl calls this once it has a connection and before it writes the first byte of a request,
  // and again when it wants to repeat the request because a kept connection turned out to be
  // closed. The second call ends the request, so that it is never sent twice.
  static int OnBeforeSend(void* data, char*, char*, int, int) {
    auto& self = *static_cast<Transfer*>(data);
    return ++self.sends_ == 1 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
  }

  static std::size_t OnHeader(char* bytes, std::size_t size, std::size_t count, void* data) {
    auto& self = *static_cast<Transfer*>(data);
    const std::size_t total = size * count;
    return self.TakeHeader(absl::string_view(bytes, total)) ? total : 0;
  }

  static std::size_t OnBody(char* bytes, std::size_t size, std::size_t count, void* data) {
    auto& self = *static_cast<Transfer*>(data);
    const std::size_t total = size * count;
    return self.TakeBody(absl::string_view(bytes, total)) ? total : 0;
  }

  bool TakeHeader(absl::string_view line) {
    last_activity_ = Now();
    header_bytes_ += line.size();
    if (header_bytes_ > kMaxResponseHeaderBytes) {
      return StopTooLarge("response headers", kMaxResponseHeaderBytes);
    }
    // Trailers follow the body; nothing uses them.
    if (body_started_) return true;
    line = absl::StripAsciiWhitespace(line);
    if (absl::StartsWith(line, "HTTP/")) {
      // A final response follows interim ones (1xx) with a status line of its own.
      response_.headers.clear();
      const auto status = ParseStatus(line);
      if (!status) return StopMalformed(line);
      response_.status = *status;
      return true;
    }
    const auto colon = line.find(':');
    if (colon == absl::string_view::npos) return true;
    response_.headers.emplace_back(absl::AsciiStrToLower(line.substr(0, colon)),
                                   std::string(absl::StripAsciiWhitespace(line.substr(colon + 1))));
    return true;
  }

  bool TakeBody(absl::string_view bytes) {
    last_activity_ = Now();
    body_started_ = true;
    if (on_data_ != nullptr && response_.status / 100 == 2) {
      const bool more = (*on_data_)(bytes);
      if (!more) stop_ = ErrorCode::kCancelled;
      // The consumer may block; its time is not the server's silence.
      last_activity_ = Now();
      return more;
    }
    if (bytes.size() > options_.max_body_size - response_.body.size()) {
      return StopTooLarge("response body", options_.max_body_size);
    }
    response_.body.append(bytes.data(), bytes.size());
    return true;
  }

  bool StopMalformed(absl::string_view status_line) {
    stop_ = ErrorCode::kProtocol;
    stop_text_ = absl::StrCat("malformed status line \"", status_line, "\"");
    return false;
  }

  bool StopTooLarge(absl::string_view what, std::size_t limit) {
    stop_ = ErrorCode::kResourceExhausted;
    stop_text_ = absl::StrCat(what, " too large, allowed 0 to ", limit, " bytes");
    return false;
  }

  Session& session_;
  const HttpRequest& request_;
  const HttpOptions& options_;
  const OnData* on_data_;
  HeaderList headers_;
  HttpResponse response_;
  // How often a request was about to be written.
  int sends_ = 0;
  std::size_t header_bytes_ = 0;
  bool body_started_ = false;
  absl::Time last_activity_;
  std::optional<ErrorCode> stop_;
  std::string stop_text_;
  std::array<char, CURL_ERROR_SIZE> error_text_{};
};

class CurlHttpClient final : public HttpClient {
 public:
  CurlHttpClient() {
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
  }

  Result<HttpResponse> Perform(const HttpRequest& request, const HttpOptions& options) override {
    return Run(request, options, nullptr);
  }

  Result<HttpResponse> Stream(const HttpRequest& request, const HttpOptions& options,
                              const std::function<bool(absl::string_view)>& on_data) override {
    return Run(request, options, &on_data);
  }

 private:
  Result<HttpResponse> Run(const HttpRequest& request, const HttpOptions& options,
                           const Transfer::OnData* on_data) {
    if (std::string fault = FaultOf(request); !fault.empty()) {
      return Fail(ErrorCode::kNotSent, absl::StrCat(request.method, " request"),
                  PeerOf(request.url), std::move(fault));
    }
    std::unique_ptr<Session> session = Take(OriginOf(request.url));
    auto result = Transfer(*session, request, options, on_data).Run();
    GiveBack(std::move(session));
    return result;
  }

  // A session that last talked to the same origin, else a new one while few are kept, else the one
  // that was idle for the longest time.
  std::unique_ptr<Session> Take(absl::string_view origin) {
    std::unique_ptr<Session> session;
    {
      const std::scoped_lock lock(mutex_);
      auto found = std::find_if(idle_.rbegin(), idle_.rend(),
                                [&](const auto& idle) { return idle->origin() == origin; });
      if (found != idle_.rend()) {
        session = std::move(*found);
        idle_.erase(std::next(found).base());
      } else if (idle_.size() >= kMaxIdleSessions) {
        session = std::move(idle_.front());
        idle_.erase(idle_.begin());
      }
    }
    if (!session) session = std::make_unique<Session>();
    session->set_origin(origin);
    return session;
  }

  void GiveBack(std::unique_ptr<Session> session) {
    const std::scoped_lock lock(mutex_);
    if (idle_.size() < kMaxIdleSessions) idle_.push_back(std::move(session));
  }

  std::mutex mutex_;
  // Guarded by mutex_; ordered by last use, at most kMaxIdleSessions.
  std::vector<std::unique_ptr<Session>> idle_;
};

}  // namespace

std::unique_ptr<HttpClient> MakeCurlHttpClient() { return std::make_unique<CurlHttpClient>(); }

}  // namespace marigoldquay
