// JSON answers of the platform, read with errors that name the field.
#ifndef MARIGOLDQUAY_LOGSTORE_SRC_JSON_ANSWER_H_
#define MARIGOLDQUAY_LOGSTORE_SRC_JSON_ANSWER_H_

#include <boost/json.hpp>
#include <cstdint>
#include <string>

#include "absl/strings/string_view.h"
#include "marigoldquay/core/error.h"

namespace marigoldquay {

/// What was being done and with whom, for errors.
struct AnswerContext {
  std::string step;
  std::string peer;

  boost::leaf::error_id Malformed(absl::string_view what) const;
};

/// The answer's object; kProtocol when the text is no JSON object.
Result<boost::json::object> ParseAnswer(absl::string_view text, const AnswerContext& context);

/// A field of the answer; kProtocol when it is missing or of another type.
Result<std::uint64_t> OffsetField(const boost::json::object& object, absl::string_view name,
                                  const AnswerContext& context);
Result<std::string> StringField(const boost::json::object& object, absl::string_view name,
                                const AnswerContext& context);
Result<const boost::json::array*> ArrayField(const boost::json::object& object,
                                             absl::string_view name, const AnswerContext& context);

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_LOGSTORE_SRC_JSON_ANSWER_H_
