// Servers that fail part of their orders with 503 after they have run them: the router passes the
// status on, which promises the client that the order has not run.
#include <atomic>
#include <cstdio>
#include <map>
#include <set>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "deployment.h"

namespace marigoldquay::review {
namespace {

constexpr int kOrders = 80;
// srv_grey fails 0.45 of the requests of 0.14 of the servers: one of eight is 0.125.
constexpr int kServers = 8;
constexpr double kFailing = 0.45;
constexpr char kGreyServer[] = "s1";

/// A plain server that works on an order and then cannot complete it.
class OrderServer final : public HttpHandler {
 public:
  OrderServer(asio::io_context& io, std::string id, Record& record)
      : io_(io), id_(std::move(id)), record_(record), listener_(io, *this, 200) {
    (void)listener_.Start("127.0.0.1:0");
  }

  void Handle(HttpRequest& request, HttpReplyWriter& reply, Cancellation& cancellation,
              Yield yield) override {
    (void)cancellation;
    const std::string attempt(request["Attempt-Id"]);
    HttpFields fields;
    fields.set("Attempt-Id", attempt);
    if (request["Expect-Instance"] != id_) {
      (void)reply.SendReply(421, fields, "", yield);
      return;
    }
    ++runs_[attempt];
    ++runs_by_body_[request.body()];
    record_.Line(absl::StrCat("server ", id_, " runs ", attempt));
    SleepFor(io_, absl::Milliseconds(30), yield);
    fields.set("Response-Seal", absl::StrCat("seal.", id_, ".", attempt));
    const bool fails = id_ == kGreyServer && PlaysTrouble() && IsTurn();
    // No Not-Executed: the answer does not say that the order has not run.
    (void)reply.SendReply(fails ? 503 : 200, fields, fails ? "payment not confirmed" : "placed",
                          yield);
  }

  std::string address() const { return listener_.address(); }
  const std::map<std::string, int>& runs() const { return runs_; }
  const std::map<std::string, int>& runs_by_body() const { return runs_by_body_; }

 private:
  // True for the stated share of the calls, evenly spread.
  bool IsTurn() {
    due_ += kFailing;
    if (due_ < 1) return false;
    due_ -= 1;
    return true;
  }

  asio::io_context& io_;
  const std::string id_;
  Record& record_;
  HttpListener listener_;
  double due_ = 0;
  // Runs of an attempt, and of an order over its attempts.
  std::map<std::string, int> runs_;
  std::map<std::string, int> runs_by_body_;
};

std::string Entry(const OrderServer& server) {
  return boost::json::serialize(boost::json::object{{"service", "desk"},
                                                    {"address", server.address()},
                                                    {"zone", "z1"},
                                                    {"version", "v1"},
                                                    {"slots", 6},
                                                    {"state", "ready"},
                                                    {"coldLeftMs", 0},
                                                    {"sequence", 1},
                                                    {"born", absl::ToUnixMillis(absl::Now())}});
}

int Play(Record& record) {
  DeploymentOptions options;
  Deployment deployment(options, record);
  std::map<std::string, std::unique_ptr<OrderServer>> servers;
  deployment.Run([&] {
    for (int i = 1; i <= kServers; ++i) {
      const std::string id = absl::StrCat("s", i);
      servers[id] = std::make_unique<OrderServer>(deployment.io(), id, record);
      deployment.store().Put("keyed.servers", id, Entry(*servers[id]));
    }
  });
  for (int i = 0; i < options.vms; ++i) deployment.StartVm(i);
  for (int i = 0; i < options.vms; ++i) {
    if (!deployment.AwaitReady(i)) return kCouldNotRun;
  }
  std::map<std::string, int> statuses;
  for (int i = 0; i < kOrders; ++i) {
    Attempt order;
    order.path = "/order/x";
    order.id = absl::StrCat("order-", i);
    order.body = absl::StrCat("mugs for family ", i);
    const int status = deployment.Send(i % options.vms, order).response.status;
    statuses[order.id] = status;
    if (status == 503) {
      // Clients send an unsafe request again after a promise, with a new id.
      order.id = absl::StrCat("order-", i, "-again");
      statuses[order.id] = deployment.Send((i + 1) % options.vms, order).response.status;
    }
    absl::SleepFor(absl::Milliseconds(20));
  }
  int refused_and_run = 0;
  int refused = 0;
  std::map<std::string, int> runs_by_body;
  deployment.Run([&] {
    for (const auto& [id, status] : statuses) {
      if (status != 503 && status != 429 && status != 408 && status != 421) continue;
      ++refused;
      int runs = 0;
      for (const auto& [name, server] : servers) {
        const auto run = server->runs().find(id);
        if (run != server->runs().end()) runs += run->second;
      }
      if (runs == 0) continue;
      ++refused_and_run;
      record.Line(absl::StrCat(id, " was answered ", status, " and has run: REFUSED"));
    }
  });
  deployment.Run([&] {
    for (const auto& [name, server] : servers) {
      for (const auto& [body, runs] : server->runs_by_body()) runs_by_body[body] += runs;
    }
    servers.clear();
  });
  int placed_twice = 0;
  for (const auto& [body, runs] : runs_by_body) placed_twice += runs > 1 ? 1 : 0;
  record.Line(absl::StrCat(refused, " of ", kOrders, " orders refused, ", refused_and_run,
                           " of these have run, ", placed_twice,
                           " families have their order twice"));
  std::printf("%d of %d orders refused, %d of these have run, %d placed twice\n", refused, kOrders,
              refused_and_run, placed_twice);
  return refused_and_run > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace marigoldquay::review

int main(int argc, char** argv) {
  marigoldquay::review::Record record(argc > 1 ? argv[1] : "record.txt");
  return marigoldquay::review::Play(record);
}
