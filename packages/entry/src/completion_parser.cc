// Parser of completion bodies on Boost.JSON.
#include "marigoldquay/entry/completion_parser.h"

#include <boost/json.hpp>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"

namespace marigoldquay {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxModelSize = 256;
constexpr std::size_t kMaxMessages = 1024;
constexpr std::int64_t kMaxPriority = 9;

using Failure = std::optional<FieldError>;

FieldError Wrong(std::string field, std::string message) {
  return {std::move(field), std::move(message)};
}

const json::value* Find(const json::object& object, const char* field) {
  const auto found = object.find(field);
  return found == object.end() || found->value().is_null() ? nullptr : &found->value();
}

Failure ReadInteger(const json::object& object, const char* field, std::int64_t low,
                    std::int64_t high, std::int64_t& value) {
  const auto* found = Find(object, field);
  if (found == nullptr) return std::nullopt;
  const auto range = absl::StrCat("must be an integer from ", low, " to ", high);
  // Numbers above the int64 range parse as uint64 or double and are out of range as well.
  if (!found->is_int64()) return Wrong(field, range);
  if (found->as_int64() < low || found->as_int64() > high) return Wrong(field, range);
  value = found->as_int64();
  return std::nullopt;
}

Failure ReadBool(const json::object& object, const char* field, bool& value) {
  const auto* found = Find(object, field);
  if (found == nullptr) return std::nullopt;
  if (!found->is_bool()) return Wrong(field, "must be true or false");
  value = found->as_bool();
  return std::nullopt;
}

Failure ReadString(const json::object& object, const char* field, std::size_t max_size,
                   std::string& value) {
  const auto* found = Find(object, field);
  if (found == nullptr) return Wrong(field, "is missing");
  if (!found->is_string()) return Wrong(field, "must be a string");
  const auto& text = found->as_string();
  if (text.empty() || text.size() > max_size) {
    return Wrong(field, absl::StrCat("must have 1 to ", max_size, " bytes"));
  }
  value.assign(text.data(), text.size());
  return std::nullopt;
}

Failure ReadMessages(const json::object& object, std::string& prompt) {
  const auto* found = Find(object, "messages");
  if (found == nullptr) return Wrong("messages", "is missing");
  if (!found->is_array() || found->as_array().empty() || found->as_array().size() > kMaxMessages) {
    return Wrong("messages", absl::StrCat("must be an array of 1 to ", kMaxMessages, " messages"));
  }
  std::size_t index = 0;
  for (const auto& message : found->as_array()) {
    const auto path = absl::StrCat("messages[", index++, "]");
    if (!message.is_object()) return Wrong(path, "must be an object");
    std::string role;
    std::string content;
    for (auto [name, target] : {std::pair("role", &role), std::pair("content", &content)}) {
      if (auto failure = ReadString(message.as_object(), name, SIZE_MAX, *target)) {
        failure->field = absl::StrCat(path, ".", name);
        return failure;
      }
    }
    absl::StrAppend(&prompt, role, ": ", content, "\n");
  }
  return std::nullopt;
}

}  // namespace

std::variant<ParsedCompletion, FieldError> ParseCompletion(absl::string_view body, bool chat) {
  json::error_code error;
  const auto value = json::parse(json::string_view(body.data(), body.size()), error);
  if (error) return Wrong("body", absl::StrCat("must be valid JSON: ", error.message()));
  if (!value.is_object()) return Wrong("body", "must be a JSON object");
  const auto& object = value.as_object();

  ParsedCompletion parsed;
  std::int64_t priority = 0;
  std::int64_t choices = 1;
  if (auto failure = ReadString(object, "model", kMaxModelSize, parsed.model)) return *failure;
  if (auto failure = chat ? ReadMessages(object, parsed.prompt)
                          : ReadString(object, "prompt", SIZE_MAX, parsed.prompt)) {
    return *failure;
  }
  if (auto failure = ReadInteger(object, "max_tokens", 1, kMaxMaxTokens, parsed.max_tokens)) {
    return *failure;
  }
  if (auto failure = ReadInteger(object, "priority", 0, kMaxPriority, priority)) return *failure;
  if (auto failure = ReadInteger(object, "n", 1, 1, choices)) return *failure;
  if (auto failure = ReadBool(object, "stream", parsed.stream)) return *failure;
  parsed.priority = static_cast<std::int32_t>(priority);
  return parsed;
}

}  // namespace marigoldquay
