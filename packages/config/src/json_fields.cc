// Typed reading of JSON fields.
#include "marigoldquay/config/json_fields.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "marigoldquay/core/types.h"

namespace marigoldquay {
namespace {

constexpr std::size_t kMaxShownValue = 80;  // Keeps error messages readable.

bool AllOf(absl::string_view text, std::size_t min, std::size_t max, bool (*allowed)(char)) {
  return text.size() >= min && text.size() <= max && std::all_of(text.begin(), text.end(), allowed);
}

bool IsName(absl::string_view text) {
  return AllOf(text, 1, 64,
               [](char c) { return absl::ascii_isalnum(c) || c == '.' || c == '_' || c == '-'; });
}

bool IsKeyId(absl::string_view text) {
  return AllOf(text, 1, 64, [](char c) { return absl::ascii_isalnum(c) || c == '.' || c == '-'; });
}

bool IsDigest(absl::string_view text) {
  return AllOf(text, 64, 64,
               [](char c) { return absl::ascii_isdigit(c) || (c >= 'a' && c <= 'f'); });
}

bool IsAddress(absl::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == absl::string_view::npos) return false;
  const auto host = text.substr(0, colon);
  const auto port_text = text.substr(colon + 1);
  int port = 0;
  return AllOf(
             host, 1, 255,
             [](char c) { return absl::ascii_isgraph(c) && c != '"' && c != '\\' && c != '/'; }) &&
         AllOf(port_text, 1, 5, [](char c) { return absl::ascii_isdigit(c) != 0; }) &&
         absl::SimpleAtoi(port_text, &port) && port >= 1 && port <= 65535;
}

bool IsPathPrefix(absl::string_view text) {
  if (text == "/") return true;
  return AllOf(text, 2, 256,
               [](char c) {
                 return absl::ascii_isgraph(c) && c != '?' && c != '#' && c != '"' && c != '\\';
               }) &&
         text.front() == '/' && text.back() != '/';
}

bool IsModel(absl::string_view text) {
  return AllOf(text, 0, 128,
               [](char c) { return absl::ascii_isgraph(c) && c != '"' && c != '\\'; });
}

bool IsInstance(absl::string_view text) {
  const auto instance = Instance::Parse(text);
  return instance && IsName(instance->vm);
}

void AppendCanonical(const boost::json::value& value, std::string& out) {
  if (const auto* object = value.if_object()) {
    std::vector<boost::json::string_view> keys;
    for (const auto& member : *object) keys.push_back(member.key());
    std::sort(keys.begin(), keys.end());
    out += '{';
    for (const auto& key : keys) {
      if (out.back() != '{') out += ',';
      out += boost::json::serialize(boost::json::value(key));
      out += ':';
      AppendCanonical(object->at(key), out);
    }
    out += '}';
  } else if (const auto* array = value.if_array()) {
    out += '[';
    for (const auto& item : *array) {
      if (out.back() != '[') out += ',';
      AppendCanonical(item, out);
    }
    out += ']';
  } else {
    out += boost::json::serialize(value);
  }
}

}  // namespace

const TextRule kNameRule{IsName, "1 to 64 characters of a-z, A-Z, 0-9, \".\", \"_\" or \"-\""};
const TextRule kKeyIdRule{IsKeyId, "1 to 64 characters of a-z, A-Z, 0-9, \".\" or \"-\""};
const TextRule kDigestRule{IsDigest, "64 lower-case hexadecimal digits"};
const TextRule kAddressRule{IsAddress, "host:port with a port of 1 to 65535"};
const TextRule kPathPrefixRule{
    IsPathPrefix, "an absolute path of 1 to 256 characters without query and closing \"/\""};
const TextRule kModelRule{IsModel, "0 to 128 printable ASCII characters without space and quote"};
const TextRule kInstanceRule{IsInstance, "<vm>/<incarnation in hex>"};
const TextRule kAnyTextRule{[](absl::string_view) { return true; }, "any text"};

const boost::json::value* FieldReader::Find(absl::string_view field) {
  if (!ok()) return nullptr;
  known_.emplace_back(field);
  return object_.if_contains(ToBoost(field));
}

void FieldReader::FailField(absl::string_view field, absl::string_view problem) {
  if (ok()) error_ = absl::StrCat(path_, field, " ", problem);
}

void FieldReader::FailValue(absl::string_view field, absl::string_view allowed) {
  const auto* value = object_.if_contains(ToBoost(field));
  auto shown = value == nullptr ? std::string("absent") : boost::json::serialize(*value);
  if (shown.size() > kMaxShownValue) shown = shown.substr(0, kMaxShownValue) + "...";
  FailField(field, absl::StrCat("is ", shown, "; allowed: ", allowed));
}

void FieldReader::Text(absl::string_view field, const TextRule& rule, std::string& target) {
  const auto* value = Find(field);
  if (value == nullptr) return;
  const auto* text = value->if_string();
  if (text == nullptr || !rule.allowed(absl::string_view(text->data(), text->size()))) {
    return FailValue(field, rule.description);
  }
  target.assign(text->data(), text->size());
}

void FieldReader::Bool(absl::string_view field, bool& target) {
  const auto* value = Find(field);
  if (value == nullptr) return;
  if (!value->is_bool()) return FailValue(field, "true, false");
  target = value->get_bool();
}

const boost::json::object* FieldReader::Object(absl::string_view field) {
  const auto* value = Find(field);
  if (value == nullptr) return nullptr;
  if (!value->is_object()) {
    FailField(field, "must be an object");
    return nullptr;
  }
  return &value->get_object();
}

void FieldReader::ReadInteger(absl::string_view field, std::int64_t min, std::int64_t max,
                              std::int64_t& target) {
  const auto* value = Find(field);
  if (value == nullptr) return;
  boost::json::error_code failure;
  const auto number = value->to_number<std::int64_t>(failure);
  if (failure || number < min || number > max) {
    return FailValue(field, absl::StrCat("a whole number from ", min, " to ", max));
  }
  target = number;
}

const boost::json::string* FieldReader::EnumText(absl::string_view field) {
  const auto* value = Find(field);
  if (value == nullptr) return nullptr;
  if (!value->is_string()) {
    FailValue(field, "text");
    return nullptr;
  }
  return &value->get_string();
}

void FieldReader::TextList(absl::string_view field, std::span<const absl::string_view> allowed,
                           std::size_t max_count, std::vector<std::string>& target) {
  const auto* value = Find(field);
  if (value == nullptr) return;
  std::string description = absl::StrCat("a list of 1 to ", max_count, " of");
  for (const auto& text : allowed) absl::StrAppend(&description, " ", text);
  const auto* list = value->if_array();
  if (list == nullptr || list->empty() || list->size() > max_count) {
    return FailValue(field, description);
  }
  std::vector<std::string> texts;
  for (const auto& item : *list) {
    const auto* text = item.if_string();
    const auto known = [&](absl::string_view name) {
      return text != nullptr && name == absl::string_view(text->data(), text->size());
    };
    if (std::none_of(allowed.begin(), allowed.end(), known) ||
        std::any_of(texts.begin(), texts.end(), known)) {
      return FailValue(field, description);
    }
    texts.emplace_back(text->data(), text->size());
  }
  target = std::move(texts);
}

void FieldReader::Require(std::initializer_list<absl::string_view> fields) {
  for (const auto& field : fields) {
    if (object_.if_contains(ToBoost(field)) == nullptr) FailField(field, "is required");
  }
}

void FieldReader::RejectUnknown() {
  for (const auto& member : object_) {
    const absl::string_view key(member.key().data(), member.key().size());
    if (std::find(known_.begin(), known_.end(), key) == known_.end()) {
      FailField(key.substr(0, kMaxShownValue), "is not a known field");
    }
  }
}

Result<void> FieldReader::Status(absl::string_view step) const {
  if (ok()) return {};
  return Fail(ErrorCode::kInvalidArgument, std::string(step), "", error_);
}

Result<boost::json::object> ParseJsonObject(absl::string_view text, std::size_t max_size,
                                            absl::string_view step) {
  if (text.size() > max_size) {
    return Fail(ErrorCode::kInvalidArgument, std::string(step), "",
                absl::StrCat("text has ", text.size(), " bytes; allowed: 0 to ", max_size));
  }
  boost::json::error_code failure;
  auto value = boost::json::parse(ToBoost(text), failure);
  if (failure) {
    return Fail(ErrorCode::kInvalidArgument, std::string(step), "",
                absl::StrCat("not JSON: ", failure.message()));
  }
  if (!value.is_object()) {
    return Fail(ErrorCode::kInvalidArgument, std::string(step), "",
                "the text must be a JSON object");
  }
  return std::move(value.get_object());
}

std::string CanonicalJson(const boost::json::value& value) {
  std::string out;
  AppendCanonical(value, out);
  return out;
}

}  // namespace marigoldquay
