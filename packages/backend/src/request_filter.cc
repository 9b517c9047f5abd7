// Filtering of forwarded requests and answers.
#include "marigoldquay/backend/request_filter.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <set>
#include <string>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "key_matcher.h"

namespace marigoldquay {
namespace {

// RFC 9110, section 7.6.1, and the framing headers, which the HTTP client sets itself.
constexpr std::array<absl::string_view, 9> kHopByHop = {
    "connection", "keep-alive",       "te",     "trailer",       "transfer-encoding",
    "upgrade",    "proxy-connection", "expect", "content-length"};

// Secrets of the caller, and headers that the router sets itself.
constexpr std::array<absl::string_view, 7> kNotForwarded = {
    "authorization", "cookie", "cookie2", "host", "x-request-id", "x-workspace", "idempotency-key"};

template <std::size_t kSize>
bool Contains(const std::array<absl::string_view, kSize>& names, absl::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

// Headers that a Connection header declares as hop-by-hop, in lower case.
std::set<std::string> ConnectionHeaders(const HttpHeaders& headers) {
  std::set<std::string> names;
  for (const auto& [name, value] : headers) {
    if (!absl::EqualsIgnoreCase(name, "connection")) continue;
    for (const auto part : absl::StrSplit(value, ',')) {
      names.insert(absl::AsciiStrToLower(absl::StripAsciiWhitespace(part)));
    }
  }
  return names;
}

bool IsToken(absl::string_view name) {
  return !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
    return absl::ascii_isalnum(c) || absl::StrContains("!#$%&'*+-.^_`|~", c);
  });
}

bool HasControlCharacter(absl::string_view value) {
  return std::any_of(value.begin(), value.end(),
                     [](char c) { return absl::ascii_iscntrl(c) && c != '\t'; });
}

std::string HeaderValue(const HttpHeaders& headers, absl::string_view wanted) {
  for (const auto& [name, value] : headers) {
    if (absl::EqualsIgnoreCase(name, wanted)) return value;
  }
  return "";
}

boost::leaf::error_id KeyFound(const std::string& field) {
  return Fail(ErrorCode::kInvalidArgument, "check request", "",
              absl::StrCat(field,
                           " contains the caller's key; send it in the Authorization "
                           "header only"));
}

// Path of the first field that contains the key, e.g. "order.note"; empty when there is none.
std::string FindInJson(const boost::json::value& value, const KeyMatcher& matcher,
                       const std::string& path) {
  const auto child = [&](absl::string_view name) {
    return path.empty() ? std::string(name) : absl::StrCat(path, ".", name);
  };
  if (const auto* text = value.if_string()) {
    return matcher.Found({text->data(), text->size()}) ? path : "";
  }
  if (const auto* array = value.if_array()) {
    for (std::size_t i = 0; i < array->size(); ++i) {
      auto found = FindInJson((*array)[i], matcher, child(absl::StrCat(i)));
      if (!found.empty()) return found;
    }
  }
  if (const auto* object = value.if_object()) {
    for (const auto& field : *object) {
      const absl::string_view name(field.key().data(), field.key().size());
      if (matcher.Found(name)) return child("(name)");
      auto found = FindInJson(field.value(), matcher, child(name));
      if (!found.empty()) return found;
    }
  }
  return "";
}

// Name of the first parameter that contains the key; empty when there is none.
std::string FindInForm(absl::string_view form, const KeyMatcher& matcher) {
  for (const absl::string_view parameter : absl::StrSplit(form, '&')) {
    if (!matcher.Found(parameter) && !matcher.Found(PercentDecode(parameter, true))) continue;
    const absl::string_view name = parameter.substr(0, parameter.find('='));
    return matcher.Found(name) || name.empty() ? "(name)" : std::string(name);
  }
  return "";
}

std::string NameBodyField(absl::string_view body, const KeyMatcher& matcher,
                          absl::string_view content_type) {
  if (absl::StrContains(content_type, "x-www-form-urlencoded")) return FindInForm(body, matcher);
  boost::system::error_code error;
  const auto json = boost::json::parse(boost::json::string_view(body.data(), body.size()), error);
  return error ? "" : FindInJson(json, matcher, "");
}

}  // namespace

HttpHeaders FilterRequestHeaders(const HttpHeaders& headers, absl::string_view key_text) {
  const KeyMatcher matcher(key_text);
  const auto declared = ConnectionHeaders(headers);
  HttpHeaders kept;
  for (const auto& [name, value] : headers) {
    const auto lower = absl::AsciiStrToLower(name);
    if (Contains(kHopByHop, lower) || Contains(kNotForwarded, lower)) continue;
    if (absl::StartsWith(lower, "proxy-") || declared.count(lower) > 0) continue;
    if (!IsToken(name) || HasControlCharacter(value)) continue;
    if (matcher.Found(name) || matcher.Found(value)) continue;
    kept.emplace_back(name, value);
  }
  return kept;
}

Result<void> RejectKeyInRequest(absl::string_view target, const HttpHeaders& headers,
                                absl::string_view body, absl::string_view key_text) {
  if (key_text.empty()) return {};
  const KeyMatcher matcher(key_text);
  const auto question = target.find('?');
  const bool has_query = question != absl::string_view::npos;
  if (matcher.Found(target.substr(0, question))) return KeyFound("path");
  if (has_query) {
    const auto query = target.substr(question + 1);
    const auto name = FindInForm(query, matcher);
    if (!name.empty()) return KeyFound(absl::StrCat("query parameter ", name));
    if (matcher.Found(query)) return KeyFound("query");
  }
  if (body.empty()) return {};
  const auto encoding = HeaderValue(headers, "content-encoding");
  if (!encoding.empty() && !absl::EqualsIgnoreCase(encoding, "identity")) {
    return Fail(ErrorCode::kInvalidArgument, "check request", "",
                "header Content-Encoding must be identity: an encoded body cannot be searched for "
                "the caller's key");
  }
  const auto content_type = absl::AsciiStrToLower(HeaderValue(headers, "content-type"));
  if (absl::StrContains(content_type, "x-www-form-urlencoded")) {
    const auto name = FindInForm(body, matcher);
    if (!name.empty()) return KeyFound(absl::StrCat("body field ", name));
  }
  if (!matcher.Found(body)) return {};
  const auto name = NameBodyField(body, matcher, content_type);
  return KeyFound(name.empty() ? "body" : absl::StrCat("body field ", name));
}

HttpHeaders FilterResponseHeaders(const HttpHeaders& headers) {
  const auto declared = ConnectionHeaders(headers);
  HttpHeaders kept;
  for (const auto& [name, value] : headers) {
    const auto lower = absl::AsciiStrToLower(name);
    if (Contains(kHopByHop, lower) || declared.count(lower) > 0) continue;
    if (absl::StartsWith(lower, "proxy-") || HasControlCharacter(value)) continue;
    kept.emplace_back(name, value);
  }
  return kept;
}

}  // namespace marigoldquay
