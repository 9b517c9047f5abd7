// An OperatorBackend that keeps objects in memory and applies plans at once.
#ifndef MARIGOLDQUAY_TESTS_SUPPORT_FAKE_OPERATOR_BACKEND_H_
#define MARIGOLDQUAY_TESTS_SUPPORT_FAKE_OPERATOR_BACKEND_H_

#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "marigoldquay/control/operator_backend.h"

namespace marigoldquay::testing {

class FakeOperatorBackend final : public OperatorBackend {
 public:
  Result<boost::json::object> Plan(const boost::json::object& intent) override {
    if (failure) return Fail(*failure);
    intents.push_back(intent);
    return boost::json::object{{"digest", "d" + std::to_string(intents.size())},
                               {"base_revision", 7},
                               {"steps", intent.at("changes")}};
  }
  Result<boost::json::object> Confirm(absl::string_view digest) override {
    if (failure) return Fail(*failure);
    confirmed = std::string(digest);
    return boost::json::object{{"revision", 8}, {"members", 6}, {"in_force", in_force}};
  }
  Result<boost::json::array> List(ObjectList list) override {
    if (failure) return Fail(*failure);
    return lists[list];
  }
  Result<boost::json::object> Status() override {
    if (failure) return Fail(*failure);
    return boost::json::object{
        {"members", boost::json::array{{{"vm", "yaba-1"}, {"zone", "yaba"}}}}};
  }
  Result<BurnAnswer> Burn(absl::string_view workspace) override {
    if (failure) return Fail(*failure);
    protocol::BurnSeriesT series;
    series.workspace = workspace.empty() ? "all" : std::string(workspace);
    series.target = "first_token";
    return BurnAnswer{{series}, 1, 1};
  }

  /// Error of every call, when set.
  std::optional<Error> failure;
  int in_force = 6;
  std::map<ObjectList, boost::json::array> lists;
  std::vector<boost::json::object> intents;
  std::string confirmed;
};

}  // namespace marigoldquay::testing

#endif  // MARIGOLDQUAY_TESTS_SUPPORT_FAKE_OPERATOR_BACKEND_H_
