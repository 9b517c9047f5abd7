// In-memory stand-ins for the interfaces below the scheduling and backend
// packages.
#ifndef MARIGOLDQUAY_SCHEDULING_TESTS_FAKES_H_
#define MARIGOLDQUAY_SCHEDULING_TESTS_FAKES_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "marigoldquay/config/config_view.h"
#include "marigoldquay/core/clock.h"
#include "marigoldquay/core/rendezvous.h"
#include "marigoldquay/membership/member_view.h"
#include "marigoldquay/transport/http_client.h"
#include "marigoldquay/transport/rpc.h"

namespace marigoldquay {

namespace testing {

class FakeConfigView final : public ConfigView {
 public:
  FakeConfigView() : cell_(std::make_unique<Configuration>()) {}

  RcuCell<Configuration>::ReadGuard Read() const override { return cell_.Read(); }
  Offset revision() const override { return Read()->revision(); }
  bool current() const override { return true; }

  void Set(const std::vector<Pool>& pools, const std::vector<BackendServer>& servers,
           Offset revision = 1) {
    Configuration::Pools pool_map;
    for (const auto& pool : pools) pool_map.emplace(pool.id, pool);
    Configuration::BackendServers server_map;
    for (const auto& server : servers) server_map.emplace(server.id, server);
    cell_.Replace(std::make_unique<Configuration>(revision, Configuration::Workspaces{},
                                                  Configuration::Keys{}, std::move(pool_map),
                                                  std::move(server_map), Configuration::Routes{}));
  }

 private:
  RcuCell<Configuration> cell_;
};

class FakeMemberView final : public MemberView {
 public:
  explicit FakeMemberView(VmId self) : self_{std::move(self), 1} { Add(self_.vm, 1); }

  void Add(const VmId& vm, std::uint64_t incarnation) {
    std::scoped_lock lock(mutex_);
    members_[vm] = Member{.instance = {vm, incarnation}, .inner_address = vm + ":1"};
  }
  void Remove(const VmId& vm) {
    std::scoped_lock lock(mutex_);
    members_.erase(vm);
  }
  void SetResponsive(const VmId& vm, bool responsive) {
    std::scoped_lock lock(mutex_);
    unresponsive_[vm] = !responsive;
  }
  /// Fixes the order that RankFor returns, whatever the key.
  void SetRanking(std::vector<VmId> ranking) {
    std::scoped_lock lock(mutex_);
    ranking_ = std::move(ranking);
  }
  void SetHoldsExclusively(bool holds) {
    std::scoped_lock lock(mutex_);
    holds_exclusively_ = holds;
  }

  Instance self() const override { return self_; }
  Offset epoch() const override { return 1; }
  std::vector<Member> members() const override {
    std::scoped_lock lock(mutex_);
    std::vector<Member> all;
    for (const auto& [vm, member] : members_) all.push_back(member);
    return all;
  }
  std::optional<Member> FindMember(absl::string_view vm) const override {
    std::scoped_lock lock(mutex_);
    const auto it = members_.find(std::string(vm));
    return it == members_.end() ? std::nullopt : std::optional(it->second);
  }
  bool IsMember(const Instance& instance) const override {
    const auto member = FindMember(instance.vm);
    return member && member->instance == instance;
  }
  MemberHealth health(absl::string_view vm) const override {
    std::scoped_lock lock(mutex_);
    const auto it = unresponsive_.find(std::string(vm));
    return {.responsive = it == unresponsive_.end() || !it->second};
  }
  std::vector<Member> RankFor(absl::string_view key) const override {
    std::scoped_lock lock(mutex_);
    std::vector<VmId> order = ranking_;
    if (order.empty()) {
      for (const auto& [vm, member] : members_) order.push_back(vm);
      order = RankByRendezvous(key, order);
    }
    std::vector<Member> ranked;
    for (const auto& vm : order) {
      if (const auto it = members_.find(vm); it != members_.end()) ranked.push_back(it->second);
    }
    return ranked;
  }
  std::optional<Member> OwnerOf(absl::string_view key) const override {
    const auto ranked = RankFor(key);
    return ranked.empty() ? std::nullopt : std::optional(ranked.front());
  }
  std::optional<Member> PreviousOwnerOf(absl::string_view) const override { return std::nullopt; }
  bool HoldsExclusively(absl::string_view) const override {
    std::scoped_lock lock(mutex_);
    return holds_exclusively_;
  }
  bool LeaseValid() const override { return true; }

 private:
  const Instance self_;
  mutable std::mutex mutex_;
  std::map<VmId, Member> members_;
  std::map<VmId, bool> unresponsive_;
  std::vector<VmId> ranking_;
  bool holds_exclusively_ = true;
};

/// Answers requests with a function and records them.
class FakeHttpClient final : public HttpClient {
 public:
  using Handler = std::function<Result<HttpResponse>(const HttpRequest&)>;

  explicit FakeHttpClient(Handler handler) : handler_(std::move(handler)) {}

  /// Size of the pieces in which Stream passes a body of status 200; 0 passes it whole.
  std::size_t piece_size = 0;
  /// Stream fails with kUnavailable after the body.
  bool breaks_after_body = false;

  Result<HttpResponse> Perform(const HttpRequest& request, const HttpOptions&) override {
    {
      std::scoped_lock lock(mutex_);
      requests_.push_back(request);
    }
    return handler_(request);
  }
  Result<HttpResponse> Stream(const HttpRequest& request, const HttpOptions& options,
                              const std::function<bool(absl::string_view)>& on_data) override {
    BOOST_LEAF_AUTO(response, Perform(request, options));
    if (response.status != 200) return response;
    absl::string_view body = response.body;
    while (!body.empty()) {
      const auto piece = body.substr(0, piece_size == 0 ? body.size() : piece_size);
      body.remove_prefix(piece.size());
      if (!on_data(piece)) return Fail(ErrorCode::kCancelled, "stream", request.url, "stopped");
    }
    if (breaks_after_body) return Fail(ErrorCode::kUnavailable, "stream", request.url, "broken");
    response.body.clear();
    return response;
  }

  std::vector<HttpRequest> requests() const {
    std::scoped_lock lock(mutex_);
    return requests_;
  }

 private:
  Handler handler_;
  mutable std::mutex mutex_;
  std::vector<HttpRequest> requests_;
};

/// Connects registries and clients without sockets.
class FakeRpc final : public RpcRegistry, public RpcClient {
 public:
  using Handler = std::function<Result<std::string>(const Address&, protocol::MessageType,
                                                    absl::string_view, const CallOptions&)>;

  /// Answers calls instead of the registered handlers.
  Handler handler;

  void Register(protocol::MessageType type, RpcHandler registered) override {
    handlers_[type] = std::move(registered);
  }
  Result<std::string> Call(const Address& peer, protocol::MessageType type,
                           absl::string_view payload, const CallOptions& options) override {
    if (handler) return handler(peer, type, payload, options);
    Reply reply(options);
    handlers_.at(type)(
        {type, std::string(payload), "caller:1", SystemClock::Instance().Now() + options.timeout},
        reply);
    if (reply.error) return Fail(*reply.error);
    return reply.payload;
  }
  Result<void> Stream(const Address& peer, protocol::MessageType, absl::string_view,
                      const CallOptions&, const std::function<bool(absl::string_view)>&) override {
    return Fail(ErrorCode::kInternal, "stream", peer, "not used");
  }

 private:
  struct Reply final : ReplyWriter {
    explicit Reply(const CallOptions& call_options) : options(call_options) {}
    bool Write(absl::string_view) override { return true; }
    void Finish(absl::string_view bytes) override { payload = std::string(bytes); }
    void FinishWithError(const Error& failure) override { error = failure; }
    bool cancelled() const override { return options.cancelled && options.cancelled(); }
    const CallOptions& options;
    std::string payload;
    std::optional<Error> error;
  };

  std::map<protocol::MessageType, RpcHandler> handlers_;
};

}  // namespace testing
}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_SCHEDULING_TESTS_FAKES_H_
