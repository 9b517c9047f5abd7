// Engine reports over HTTP.
#include "marigoldquay/scheduling/engine_reports.h"

#include <optional>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "marigoldquay/scheduling/json_fields.h"

namespace marigoldquay {
namespace {

constexpr std::size_t kMaxEvents = 10000;

// Prefix hashes are numbers or 16 hexadecimal digits: JSON numbers lose precision in many readers.
std::optional<std::uint64_t> ReadPrefix(const boost::json::object& event) {
  const auto* value = FindJsonField(event, "prefix");
  if (value == nullptr) return std::nullopt;
  std::uint64_t prefix = 0;
  if (const auto* text = value->if_string()) {
    if (!absl::SimpleHexAtoi(absl::string_view(text->data(), text->size()), &prefix)) {
      return std::nullopt;
    }
    return prefix;
  }
  boost::system::error_code error;
  prefix = value->to_number<std::uint64_t>(error);
  return error ? std::nullopt : std::optional(prefix);
}

std::optional<CacheEvent> ReadEvent(const boost::json::value& value) {
  const auto* object = value.if_object();
  if (object == nullptr) return std::nullopt;
  const auto sequence = FindJsonInt(*object, "seq");
  const auto kind = FindJsonString(*object, "kind");
  const auto prefix = ReadPrefix(*object);
  if (!sequence || *sequence < 0 || !prefix) return std::nullopt;
  if (!kind || (*kind != "add" && *kind != "evict")) return std::nullopt;
  return CacheEvent{static_cast<std::uint64_t>(*sequence), *kind == "add", *prefix,
                    FindJsonInt(*object, "tokens").value_or(0)};
}

class HttpEngineReports final : public EngineReports {
 public:
  explicit HttpEngineReports(HttpClient& http) : http_(http) {}

  Result<LoadReport> Load(const BackendServer& server, absl::Duration timeout) override {
    BOOST_LEAF_AUTO(body, Get(server, "/v1/load", timeout));
    const auto field = [&body = body](absl::string_view name) {
      return FindJsonInt(body, name).value_or(0);
    };
    LoadReport report{field("slots"),
                      field("slots_used"),
                      field("pieces"),
                      field("pieces_used"),
                      field("queue"),
                      "",
                      "",
                      static_cast<Offset>(field("fencing"))};
    for (const auto number :
         {report.slots, report.slots_used, report.pieces, report.pieces_used, report.queue}) {
      if (number >= 0 && number <= 1000000) continue;
      return Fail(ErrorCode::kProtocol, "read load", server.id,
                  absl::StrCat("load field ", number, " is outside 0 to 1000000"));
    }
    report.role = std::string(FindJsonString(body, "role").value_or(""));
    report.model = std::string(FindJsonString(body, "model").value_or(""));
    return report;
  }

  Result<std::vector<CacheEvent>> CacheEvents(const BackendServer& server, std::uint64_t from,
                                              absl::Duration timeout) override {
    BOOST_LEAF_AUTO(body, Get(server, absl::StrCat("/v1/cache_events?from=", from), timeout));
    const auto* list = FindJsonField(body, "events");
    if (list == nullptr || !list->is_array() || list->as_array().size() > kMaxEvents) {
      return Fail(ErrorCode::kProtocol, "read cache events", server.id,
                  absl::StrCat("field events must be an array of at most ", kMaxEvents));
    }
    std::vector<CacheEvent> events;
    for (const auto& value : list->as_array()) {
      const auto event = ReadEvent(value);
      if (!event) {
        return Fail(ErrorCode::kProtocol, "read cache events", server.id,
                    "an event needs seq, kind \"add\" or \"evict\", and prefix");
      }
      events.push_back(*event);
    }
    return events;
  }

 private:
  Result<boost::json::object> Get(const BackendServer& server, const std::string& path,
                                  absl::Duration timeout) {
    BOOST_LEAF_AUTO(response, http_.Perform({.url = absl::StrCat("http://", server.address, path)},
                                            {.timeout = timeout}));
    if (response.status != 200) {
      return Fail(ErrorCode::kUnavailable, absl::StrCat("read ", path), server.id,
                  absl::StrCat("engine answered status ", response.status));
    }
    auto body = ParseJsonObject(response.body);
    if (!body) {
      return Fail(ErrorCode::kProtocol, absl::StrCat("read ", path), server.id,
                  "answer is not a JSON object");
    }
    return std::move(*body);
  }

  HttpClient& http_;
};

}  // namespace

std::unique_ptr<EngineReports> MakeHttpEngineReports(HttpClient& http) {
  return std::make_unique<HttpEngineReports>(http);
}

}  // namespace marigoldquay
