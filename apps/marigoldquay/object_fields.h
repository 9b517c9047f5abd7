// Kinds of objects that operators configure, and how flags become their fields.
#ifndef MARIGOLDQUAY_APPS_MARIGOLDQUAY_OBJECT_FIELDS_H_
#define MARIGOLDQUAY_APPS_MARIGOLDQUAY_OBJECT_FIELDS_H_

#include <boost/json.hpp>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "marigoldquay/core/error.h"

namespace marigoldquay {

struct FieldSpec {
  std::string name;
  /// Value of a new object when the flag is not given; null when the flag is required.
  boost::json::value initial;
};

struct KindSpec {
  /// First word of the command.
  std::string command;
  /// Kind in intents.
  std::string kind;
  /// Name of the list in paths and answers.
  std::string list;
  /// Field that holds the id.
  std::string id_field;
  std::vector<FieldSpec> fields;
};

/// The kind that a command's first word names; nullptr when it names none. "rate" names the
/// workspace's rate and burst.
const KindSpec* FindKind(absl::string_view command);

/// A new object from the given flags; usage errors name the flag.
Result<boost::json::object> NewObject(const KindSpec& spec, const std::string& id,
                                      const boost::json::object& given);

/// The current object with the given flags' values.
Result<boost::json::object> ChangedObject(const KindSpec& spec, const boost::json::object& current,
                                          const boost::json::object& given);

/// Intent with one change; `object` is left out when it is null.
boost::json::object MakeIntent(const KindSpec& spec, absl::string_view op, const std::string& id,
                               boost::json::value object);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_APPS_MARIGOLDQUAY_OBJECT_FIELDS_H_
