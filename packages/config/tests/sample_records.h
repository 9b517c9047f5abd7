// Intents and records for the tests of this package.
#ifndef MARIGOLDQUAY_CONFIG_TESTS_SAMPLE_RECORDS_H_
#define MARIGOLDQUAY_CONFIG_TESTS_SAMPLE_RECORDS_H_

#include <string>

#include "absl/strings/str_cat.h"
#include "marigoldquay/config/records.h"

namespace marigoldquay::testing {

inline boost::json::object Json(const std::string& text) {
  return boost::json::parse(text).as_object();
}

/// {"changes":[...]} from the text of the changes.
inline boost::json::object IntentJson(const std::string& changes) {
  return Json(absl::StrCat("{\"changes\":[", changes, "]}"));
}

inline std::string PutText(const std::string& kind, const std::string& id,
                           const std::string& fields) {
  return absl::StrCat(R"({"op":"put","kind":")", kind, R"(","id":")", id, R"(","object":{)", fields,
                      "}}");
}

inline std::string WithdrawText(const std::string& kind, const std::string& id) {
  return absl::StrCat(R"({"op":"withdraw","kind":")", kind, R"(","id":")", id, R"("})");
}

inline std::string WorkspaceText(const std::string& id, int rate) {
  return PutText("workspace", id, absl::StrCat("\"rate\":", rate, ",\"burst\":100"));
}

inline PlanRecord MakePlan(const boost::json::object& intent, Offset base,
                           const std::string& nonce = "n") {
  return {intent, base, PlanDigest(intent, base), {"ikeja-1", 7}, nonce};
}

inline ConfirmRecord MakeConfirm(const std::string& digest, const std::string& nonce = "c") {
  return {digest, {"ikeja-1", 7}, nonce};
}

}  // namespace marigoldquay::testing

#endif  // MARIGOLDQUAY_CONFIG_TESTS_SAMPLE_RECORDS_H_
