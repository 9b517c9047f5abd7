// Reads fields of JSON objects that come from other processes, without
// exceptions: a missing or mistyped field is nullopt.
#ifndef MARIGOLDQUAY_SCHEDULING_JSON_FIELDS_H_
#define MARIGOLDQUAY_SCHEDULING_JSON_FIELDS_H_

#include <boost/json.hpp>
#include <cstdint>
#include <optional>

#include "absl/strings/string_view.h"

namespace marigoldquay {

/// The object in the text; nullopt for malformed JSON or another kind of value.
inline std::optional<boost::json::object> ParseJsonObject(absl::string_view text) {
  boost::system::error_code error;
  auto value = boost::json::parse(boost::json::string_view(text.data(), text.size()), error);
  if (error || !value.is_object()) return std::nullopt;
  return std::move(value.as_object());
}

inline const boost::json::value* FindJsonField(const boost::json::object& object,
                                               absl::string_view name) {
  return object.if_contains(boost::json::string_view(name.data(), name.size()));
}

/// The view lives as long as the object.
inline std::optional<absl::string_view> FindJsonString(const boost::json::object& object,
                                                       absl::string_view name) {
  const auto* value = FindJsonField(object, name);
  if (value == nullptr || !value->is_string()) return std::nullopt;
  return absl::string_view(value->as_string().data(), value->as_string().size());
}

inline std::optional<std::int64_t> FindJsonInt(const boost::json::object& object,
                                               absl::string_view name) {
  const auto* value = FindJsonField(object, name);
  if (value == nullptr) return std::nullopt;
  boost::system::error_code error;
  const auto number = value->to_number<std::int64_t>(error);
  if (error) return std::nullopt;
  return number;
}

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_SCHEDULING_JSON_FIELDS_H_
