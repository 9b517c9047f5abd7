// Client of the platform's list of VMs.
#include "marigoldquay/logstore/vm_list_client.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "json_answer.h"

namespace marigoldquay {
namespace {

// Several times the 390 entry VMs and 1,800 backend servers of the design scale.
constexpr std::size_t kMaxEntries = 20000;

class HttpVmListClient final : public VmListClient {
 public:
  HttpVmListClient(std::string base_url, HttpClient& http)
      : base_url_(std::move(base_url)), http_(http) {}

  Result<std::vector<VmListEntry>> List(absl::Duration timeout) override {
    const AnswerContext context{"list VMs", base_url_};
    BOOST_LEAF_AUTO(response, http_.Perform({"GET", absl::StrCat(base_url_, "/vms"), {}, ""},
                                            {.timeout = timeout}));
    if (response.status != 200) {
      return Fail(ErrorCode::kUnavailable, context.step, context.peer,
                  absl::StrCat("status ", response.status));
    }
    BOOST_LEAF_AUTO(answer, ParseAnswer(response.body, context));
    BOOST_LEAF_AUTO(vms, ArrayField(answer, "vms", context));
    if (vms->size() > kMaxEntries) {
      return context.Malformed(
          absl::StrCat("vms has ", vms->size(), " entries, allowed 0 to ", kMaxEntries));
    }
    std::vector<VmListEntry> entries;
    for (const auto& value : *vms) {
      if (!value.is_object()) return context.Malformed("vms, allowed objects");
      BOOST_LEAF_AUTO(entry, ReadEntry(value.get_object(), context));
      entries.push_back(std::move(entry));
    }
    return entries;
  }

 private:
  static Result<VmListEntry> ReadEntry(const boost::json::object& object,
                                       const AnswerContext& context) {
    VmListEntry entry;
    BOOST_LEAF_ASSIGN(entry.id, StringField(object, "id", context));
    BOOST_LEAF_AUTO(kind, StringField(object, "kind", context));
    BOOST_LEAF_AUTO(state, StringField(object, "state", context));
    if (entry.id.empty()) return context.Malformed("id, allowed a non-empty string");
    if (kind != "entry" && kind != "backend") {
      return context.Malformed("kind, allowed \"entry\" and \"backend\"");
    }
    if (state != "live" && state != "leaving") {
      return context.Malformed("state, allowed \"live\" and \"leaving\"");
    }
    entry.kind = kind == "entry" ? VmKind::kEntry : VmKind::kBackend;
    entry.state = state == "live" ? VmState::kLive : VmState::kLeaving;
    return entry;
  }

  const std::string base_url_;
  HttpClient& http_;
};

}  // namespace

std::unique_ptr<VmListClient> MakeHttpVmListClient(std::string base_url, HttpClient& http) {
  return std::make_unique<HttpVmListClient>(std::move(base_url), http);
}

}  // namespace marigoldquay
