// Stand-in of a decode engine that streams events, resumes after Last-Event-Id and can crash.
#ifndef MARIGOLDQUAY_REVIEW_STAND_INS_2_ENGINE_H_
#define MARIGOLDQUAY_REVIEW_STAND_INS_2_ENGINE_H_

#include <functional>
#include <set>
#include <string>

#include "deployment.h"

namespace marigoldquay::review {

struct EngineOptions {
  std::string id;
  int events = 20;
  absl::Duration event_gap = absl::Milliseconds(60);
  /// Id of event `number`, from 1 on.
  std::function<std::string(int number)> event_id;
  std::string line_end = "\n";
  /// Version of its software; written into each event.
  std::string version = "v1";
};

class Engine final : public HttpHandler {
 public:
  Engine(asio::io_context& io, const EngineOptions& options, Record& record);

  void Handle(HttpRequest& request, HttpReplyWriter& reply, Cancellation& cancellation,
              Yield yield) override;

  /// Its next entry in the store.
  std::string Entry(const std::string& state = "ready");
  /// Resets all streams, and accepts no connections from now on.
  void Crash();
  /// Starts again at the same address and under the same id, with another version.
  void Restart(const std::string& version);
  /// One event, as the engine sends it.
  std::string Event(int number) const;

 private:
  asio::io_context& io_;
  EngineOptions options_;
  Record& record_;
  HttpListener listener_;
  const std::string address_;
  absl::Time born_;
  std::set<HttpReplyWriter*> replies_;
  bool crashed_ = false;
  int sequence_ = 0;
};

}  // namespace marigoldquay::review

#endif  // MARIGOLDQUAY_REVIEW_STAND_INS_2_ENGINE_H_
