// The caller interface: completions, routes to plain services, addresses,
// health and metrics.
#ifndef MARIGOLDQUAY_ENTRY_ENTRY_SERVICE_H_
#define MARIGOLDQUAY_ENTRY_ENTRY_SERVICE_H_

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>
#include <random>
#include <string>

#include "marigoldquay/backend/plain_services.h"
#include "marigoldquay/claims/run_once.h"
#include "marigoldquay/config/config_view.h"
#include "marigoldquay/entry/http_server.h"
#include "marigoldquay/exchange/completion_service.h"
#include "marigoldquay/membership/member_view.h"

namespace marigoldquay {

struct EntryOptions {
  std::string availability_zone;
  absl::Duration completion_timeout = absl::Seconds(120);
  absl::Duration plain_timeout = absl::Seconds(15);
  /// How long callers may keep an answer of /v1/addresses.
  absl::Duration address_max_age = absl::Seconds(10);
};

struct EntryServices {
  const ConfigView& config;
  const MemberView& members;
  CompletionService& completions;
  OnceRunner& once;
  PlainClient& plain;
};

/// Thread-safe.
class EntryService {
 public:
  EntryService(EntryOptions options, EntryServices services);

  /// Handles one caller request; blocks until there is an answer or a first token.
  HttpServerReply Handle(const HttpServerRequest& request);

  /// Makes /readyz fail. Requests are still served, as callers keep addresses for a while.
  void SetDraining() { draining_ = true; }
  void SetReady() { ready_ = true; }

 private:
  struct Caller;

  HttpServerReply HandleCompletion(const HttpServerRequest& request, bool chat);
  HttpServerReply HandlePlain(const HttpServerRequest& request);
  HttpServerReply RunOnce(const HttpServerRequest& request, const Caller& caller,
                          const PoolId& pool);
  HttpServerReply Forward(const HttpServerRequest& request, const Caller& caller,
                          const PoolId& pool);
  HttpServerReply Addresses(const HttpServerRequest& request);
  HttpServerReply Readiness() const;
  std::optional<HttpServerReply> Authenticate(const HttpServerRequest& request,
                                              Caller& caller) const;

  const EntryOptions options_;
  const EntryServices services_;
  std::atomic<bool> draining_{false};
  std::atomic<bool> ready_{false};
  std::mutex random_mutex_;
  std::mt19937_64 random_;
};

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_ENTRY_ENTRY_SERVICE_H_
