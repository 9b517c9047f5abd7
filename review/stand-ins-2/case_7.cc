// A request with a transfer coding that does not end in chunks: the router takes its body for
// further requests and has servers run them.
#include <cstdio>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "deployment.h"

namespace marigoldquay::review {
namespace {

constexpr absl::Duration kTimeout = absl::Seconds(2);

std::string Head(const std::string& path, const std::string& id, const std::string& framing) {
  return absl::StrCat("POST ", path, " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: ", id,
                      "\r\nDeadline-Ms: 1000\r\nKey: key-1\r\n", framing, "\r\n\r\n");
}

std::string FirstLine(const std::string& text) { return text.substr(0, text.find('\r')); }

int Play(Record& record) {
  DeploymentOptions options;
  options.vms = 1;
  for (int i = 1; i <= 3; ++i) {
    ReplicaOptions server;
    server.id = absl::StrCat("s", i);
    server.service = "desk";
    options.replicas.push_back(server);
  }
  Deployment deployment(options, record);
  deployment.StartVm(0);
  if (!deployment.AwaitReady(0)) return kCouldNotRun;
  int sent = 0;
  for (const std::string coding : {"identity", "gzip", "chunked, identity", "chunked, chunked"}) {
    ++sent;
    // The body is the text of an order that nobody places.
    const std::string body =
        Head("/order/inner", absl::StrCat("inner-", sent), "Content-Length: 2") + "hi";
    const std::string framing = PlaysTrouble() ? "Transfer-Encoding: " + coding
                                               : absl::StrCat("Content-Length: ", body.size());
    const std::string id = absl::StrCat("outer-", sent);
    record.Line(absl::StrCat(id, " sent with ", framing, " and a body of ", body.size(), " bytes"));
    const auto answer = deployment.SendRaw(0, Head("/order/outer", id, framing) + body, kTimeout);
    record.Line(absl::StrCat(id, " answered: ", FirstLine(answer)));
  }
  int smuggled = 0;
  int changed = 0;
  for (const auto& run : deployment.Seen().runs) {
    const bool inner = absl::StartsWith(run.request_id, "inner-");
    smuggled += inner ? 1 : 0;
    changed += !inner && run.body.empty() ? 1 : 0;
    record.Line(absl::StrCat("server ", run.replica, " ran ", run.request_id, " ", run.target,
                             " for ", run.workspace, " with a body of ", run.body.size(), " bytes",
                             inner ? ": UNASKED" : ""));
  }
  record.Line(absl::StrCat(smuggled, " smuggled requests run, ", changed, " bodies changed, of ",
                           sent, " requests"));
  std::printf("%d smuggled requests run, %d bodies changed, of %d requests\n", smuggled, changed,
              sent);
  return smuggled + changed > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace marigoldquay::review

int main(int argc, char** argv) {
  marigoldquay::review::Record record(argc > 1 ? argv[1] : "record.txt");
  return marigoldquay::review::Play(record);
}
