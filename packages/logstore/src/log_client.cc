// Client of the log's HTTP interface.
#include "marigoldquay/logstore/log_client.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "json_answer.h"

namespace marigoldquay {
namespace {

// A full page of the largest outcomes (64 KB each, in JSON) fits.
constexpr std::size_t kMaxPageBytes = std::size_t{64} << 20;
constexpr std::size_t kMaxAppendAnswerBytes = std::size_t{64} << 10;

// Whether a status says that the append had no effect. A server error may come after the effect,
// and a request timeout (408) or a conflict (409) does not say.
bool SaysNoEffect(int status) {
  return status >= 400 && status < 500 && status != 408 && status != 409;
}

class HttpLogClient final : public LogClient {
 public:
  HttpLogClient(std::string base_url, HttpClient& http)
      : base_url_(std::move(base_url)), http_(http) {}

  Result<Offset> Append(absl::string_view stream, absl::string_view data,
                        absl::Duration timeout) override {
    const AnswerContext context{absl::StrCat("append to stream ", stream), base_url_};
    const HttpRequest request{"POST", RecordsUrl(stream), {}, std::string(data)};
    BOOST_LEAF_AUTO(response, http_.Perform(request, {.timeout = timeout,
                                                      .max_body_size = kMaxAppendAnswerBytes}));
    if (response.status / 100 != 2) {
      return Fail(SaysNoEffect(response.status) ? ErrorCode::kRefused : ErrorCode::kUnavailable,
                  context.step, context.peer, absl::StrCat("status ", response.status));
    }
    BOOST_LEAF_AUTO(answer, ParseAnswer(response.body, context));
    return OffsetField(answer, "offset", context);
  }

  Result<LogPage> Read(absl::string_view stream, Offset from, int max_records, absl::Duration wait,
                       absl::Duration timeout) override {
    const AnswerContext context{absl::StrCat("read stream ", stream), base_url_};
    const HttpRequest request{"GET",
                              absl::StrCat(RecordsUrl(stream), "?from=", from, "&max=", max_records,
                                           "&wait_ms=", absl::ToInt64Milliseconds(wait)),
                              {},
                              ""};
    BOOST_LEAF_AUTO(response,
                    http_.Perform(request, {.timeout = timeout, .max_body_size = kMaxPageBytes}));
    if (response.status != 200) {
      return Fail(SaysNoEffect(response.status) ? ErrorCode::kRefused : ErrorCode::kUnavailable,
                  context.step, context.peer, absl::StrCat("status ", response.status));
    }
    BOOST_LEAF_AUTO(answer, ParseAnswer(response.body, context));
    return ReadPage(answer, from, context);
  }

 private:
  std::string RecordsUrl(absl::string_view stream) const {
    return absl::StrCat(base_url_, "/streams/", stream, "/records");
  }

  // Checks that the page continues at `from` without gaps, because a consumer that skipped a record
  // would reach another state than its peers.
  static Result<LogPage> ReadPage(const boost::json::object& answer, Offset from,
                                  const AnswerContext& context) {
    LogPage page;
    BOOST_LEAF_ASSIGN(page.first_offset, OffsetField(answer, "first", context));
    BOOST_LEAF_ASSIGN(page.next_offset, OffsetField(answer, "next", context));
    if (page.first_offset > page.next_offset) {
      return context.Malformed(absl::StrCat("first ", page.first_offset, ", allowed 0 to ",
                                            page.next_offset, " (next)"));
    }
    BOOST_LEAF_AUTO(records, ArrayField(answer, "records", context));
    Offset expected = std::max(from, page.first_offset);
    for (const auto& value : *records) {
      if (!value.is_object()) return context.Malformed("records, allowed objects");
      LogRecord record;
      BOOST_LEAF_ASSIGN(record.offset, OffsetField(value.get_object(), "offset", context));
      BOOST_LEAF_ASSIGN(record.data, StringField(value.get_object(), "data", context));
      if (record.offset != expected || record.offset >= page.next_offset) {
        return context.Malformed(absl::StrCat("offset ", record.offset, ", allowed ", expected,
                                              " and below next ", page.next_offset));
      }
      ++expected;
      page.records.push_back(std::move(record));
    }
    return page;
  }

  const std::string base_url_;
  HttpClient& http_;
};

}  // namespace

std::unique_ptr<LogClient> MakeHttpLogClient(std::string base_url, HttpClient& http) {
  return std::make_unique<HttpLogClient>(std::move(base_url), http);
}

}  // namespace marigoldquay
