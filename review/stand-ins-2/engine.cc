// Stand-in of a decode engine.
#include "engine.h"

#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace marigoldquay::review {
namespace {

std::string Listen(HttpListener& listener) {
  (void)listener.Start("127.0.0.1:0");
  return listener.address();
}

}  // namespace

Engine::Engine(asio::io_context& io, const EngineOptions& options, Record& record)
    : io_(io),
      options_(options),
      record_(record),
      listener_(io, *this, 200),
      address_(Listen(listener_)),
      born_(absl::Now()) {}

std::string Engine::Entry(const std::string& state) {
  return boost::json::serialize(boost::json::object{{"service", "model"},
                                                    {"address", address_},
                                                    {"zone", "z1"},
                                                    {"version", options_.version},
                                                    {"slots", 64},
                                                    {"state", state},
                                                    {"coldLeftMs", 0},
                                                    {"phase", "decode"},
                                                    {"sequence", ++sequence_},
                                                    {"born", absl::ToUnixMillis(born_)}});
}

std::string Engine::Event(int number) const {
  const std::string& end = options_.line_end;
  return absl::StrCat("id: ", options_.event_id(number), end, "data: ", options_.version, " token ",
                      number, end, end);
}

void Engine::Crash() {
  record_.Line(
      absl::StrCat("engine ", options_.id, " crashes under ", replies_.size(), " streams"));
  crashed_ = true;
  listener_.StopAccepting();
  listener_.CloseIdle();
  for (HttpReplyWriter* reply : replies_) reply->Abort();
}

void Engine::Restart(const std::string& version) {
  record_.Line(absl::StrCat("engine ", options_.id, " starts again with version ", version));
  options_.version = version;
  born_ = absl::Now();
  sequence_ = 0;
  crashed_ = false;
  (void)listener_.Start(address_);
}

void Engine::Handle(HttpRequest& request, HttpReplyWriter& reply, Cancellation& cancellation,
                    Yield yield) {
  const std::string attempt(request["Attempt-Id"]);
  HttpFields fields;
  fields.set("Attempt-Id", attempt);
  if (request["Expect-Instance"] != options_.id || request["Stage"] == "prefill") {
    (void)reply.SendReply(421, fields, "", yield);
    return;
  }
  fields.set("Response-Seal", absl::StrCat("seal.", options_.id, ".", attempt));
  fields.set(http::field::content_type, "text/event-stream");
  const std::string after(request["Last-Event-Id"]);
  int first = 1;
  for (int n = 1; n <= options_.events; ++n) {
    if (!after.empty() && options_.event_id(n) == after) first = n + 1;
  }
  record_.Line(absl::StrCat("engine ", options_.id, " (", options_.version, ") runs ", attempt,
                            " from event ", first,
                            after.empty() ? "" : ", taken up after " + after));
  replies_.insert(&reply);
  (void)reply.Begin(200, fields, std::nullopt, yield);
  for (int n = first; n <= options_.events && !crashed_ && !cancellation.cancelled(); ++n) {
    SleepFor(io_, options_.event_gap, yield);
    if (crashed_ || cancellation.cancelled()) break;
    (void)reply.Append(Event(n), yield);
  }
  replies_.erase(&reply);
  if (crashed_ || cancellation.cancelled()) return reply.Abort();
  (void)reply.Finish(yield);
}

}  // namespace marigoldquay::review
