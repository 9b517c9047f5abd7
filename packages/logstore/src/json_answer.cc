// JSON answers of the platform.
#include "json_answer.h"

#include "absl/strings/str_cat.h"

namespace marigoldquay {
namespace {

boost::json::string_view Name(absl::string_view name) { return {name.data(), name.size()}; }

}  // namespace

boost::leaf::error_id AnswerContext::Malformed(absl::string_view what) const {
  return Fail(ErrorCode::kProtocol, step, peer, absl::StrCat("answer malformed: ", what));
}

Result<boost::json::object> ParseAnswer(absl::string_view text, const AnswerContext& context) {
  boost::json::error_code error;
  boost::json::value value = boost::json::parse(Name(text), error);
  if (error) return context.Malformed(error.message());
  if (!value.is_object()) return context.Malformed("allowed a JSON object");
  return std::move(value.as_object());
}

Result<std::uint64_t> OffsetField(const boost::json::object& object, absl::string_view name,
                                  const AnswerContext& context) {
  const auto* value = object.if_contains(Name(name));
  boost::json::error_code error;
  const auto number =
      value != nullptr && value->is_number() ? value->to_number<std::uint64_t>(error) : 0;
  if (value == nullptr || !value->is_number() || error) {
    return context.Malformed(absl::StrCat(name, ", allowed an integer from 0 to 2^64-1"));
  }
  return number;
}

Result<std::string> StringField(const boost::json::object& object, absl::string_view name,
                                const AnswerContext& context) {
  const auto* value = object.if_contains(Name(name));
  if (value == nullptr || !value->is_string()) {
    return context.Malformed(absl::StrCat(name, ", allowed a string"));
  }
  return std::string(value->get_string());
}

Result<const boost::json::array*> ArrayField(const boost::json::object& object,
                                             absl::string_view name, const AnswerContext& context) {
  const auto* value = object.if_contains(Name(name));
  if (value == nullptr || !value->is_array()) {
    return context.Malformed(absl::StrCat(name, ", allowed an array"));
  }
  return value->if_array();
}

}  // namespace marigoldquay
