// Typed reading of JSON fields with errors that name the field and what is
// allowed. Used for records of the log and for operators' intents.
#ifndef MARIGOLDQUAY_CONFIG_JSON_FIELDS_H_
#define MARIGOLDQUAY_CONFIG_JSON_FIELDS_H_

#include <boost/json.hpp>
#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/string_view.h"
#include "marigoldquay/core/error.h"

namespace marigoldquay {

/// Set of allowed texts with its description for error messages.
struct TextRule {
  bool (*allowed)(absl::string_view text);
  absl::string_view description;
};

/// 1 to 64 characters of a-z, A-Z, 0-9, ".", "_" or "-".
extern const TextRule kNameRule;
/// As kNameRule without "_", which separates the parts of a key.
extern const TextRule kKeyIdRule;
/// 64 lower-case hexadecimal digits.
extern const TextRule kDigestRule;
/// "host:port".
extern const TextRule kAddressRule;
/// Absolute path without query and without "/" at its end.
extern const TextRule kPathPrefixRule;
/// 0 to 128 printable ASCII characters without space, quote and backslash.
extern const TextRule kModelRule;
/// "<vm>/<incarnation in hex>".
extern const TextRule kInstanceRule;
/// Any text.
extern const TextRule kAnyTextRule;

/// Spellings of an enumeration.
template <class E>
using EnumNames = std::span<const std::pair<absl::string_view, E>>;

/// Reads the fields of one JSON object into variables. An absent field leaves its variable as it
/// is. The first error is kept and makes all later reads do nothing.
class FieldReader {
 public:
  /// `path` precedes field names in errors, e.g. "changes[0].object.".
  FieldReader(const boost::json::object& object, std::string path)
      : object_(object), path_(std::move(path)) {}

  void Text(absl::string_view field, const TextRule& rule, std::string& target);
  void Bool(absl::string_view field, bool& target);
  /// The nested object; nullptr when it is absent or an error was found.
  const boost::json::object* Object(absl::string_view field);
  template <class Int>
  void Integer(absl::string_view field, Int min, Int max, Int& target) {
    std::int64_t value = static_cast<std::int64_t>(target);
    ReadInteger(field, static_cast<std::int64_t>(min), static_cast<std::int64_t>(max), value);
    target = static_cast<Int>(value);
  }
  /// 0 to 2^63 - 1.
  void Position(absl::string_view field, std::uint64_t& target) {
    Integer<std::uint64_t>(field, 0, std::numeric_limits<std::int64_t>::max(), target);
  }
  /// Texts out of `allowed`, 1 to `max_count` of them, without repetition.
  void TextList(absl::string_view field, std::span<const absl::string_view> allowed,
                std::size_t max_count, std::vector<std::string>& target);
  template <class E>
  void Enum(absl::string_view field, EnumNames<E> names, E& target) {
    const auto* text = EnumText(field);
    if (text == nullptr) return;
    std::string spellings;
    for (const auto& [name, value] : names) {
      if (name == absl::string_view(text->data(), text->size())) {
        target = value;
        return;
      }
      spellings.append(spellings.empty() ? "" : ", ").append(name.data(), name.size());
    }
    FailValue(field, spellings);
  }

  /// Fails unless all of these fields are present.
  void Require(std::initializer_list<absl::string_view> fields);
  /// Fails when the object has a field that none of the calls so far has named.
  void RejectUnknown();
  /// Records an error about a field.
  void FailField(absl::string_view field, absl::string_view problem);

  bool ok() const { return error_.empty(); }
  const std::string& error() const { return error_; }
  /// Success, or kInvalidArgument with the first error.
  Result<void> Status(absl::string_view step) const;

 private:
  const boost::json::value* Find(absl::string_view field);
  const boost::json::string* EnumText(absl::string_view field);
  void ReadInteger(absl::string_view field, std::int64_t min, std::int64_t max,
                   std::int64_t& target);
  void FailValue(absl::string_view field, absl::string_view allowed);

  const boost::json::object& object_;
  std::string path_;
  std::string error_;
  std::vector<std::string> known_;
};

/// Parses text that must be one JSON object of at most `max_size` bytes.
Result<boost::json::object> ParseJsonObject(absl::string_view text, std::size_t max_size,
                                            absl::string_view step);

/// JSON text without white space and with the keys of all objects sorted, so that equal values
/// have equal digests.
std::string CanonicalJson(const boost::json::value& value);

/// Converts between the string views of Abseil and Boost.
inline boost::json::string_view ToBoost(absl::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CONFIG_JSON_FIELDS_H_
