// Handover of exclusive state.
#include "marigoldquay/membership/hand_over.h"

#include <functional>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "marigoldquay/core/logger.h"
#include "marigoldquay/membership/periodic_thread.h"

namespace marigoldquay {
namespace {

// Asked again every 200 ms; a longer wait would hold up the other sources.
constexpr absl::Duration kCallTimeout = absl::Milliseconds(400);

const Logger& Log() {
  static const Logger logger("member");
  return logger;
}

}  // namespace

void HandOver::RegisterHandler(RpcRegistry& registry) {
  marigoldquay::RegisterHandler<protocol::HandOverRequestT>(
      registry, protocol::MessageType::HandOver,
      [this](const protocol::HandOverRequestT& request, const RpcCall& /*call*/)
          -> Result<protocol::HandOverReplyT> { return Answer(request); });
}

protocol::HandOverReplyT HandOver::Answer(const protocol::HandOverRequestT& request) {
  protocol::HandOverReplyT reply;
  const auto sender = FromWire(*request.sender);
  const auto members_after = state_.MayHandOver(sender, request.epoch);
  if (!members_after) return reply;
  reply.ready = true;
  for (const auto& [name, exclusive] : states_) {
    for (auto& [key, amount] : exclusive->Release(sender, request.epoch, *members_after)) {
      auto balance = std::make_unique<protocol::KeyBalanceT>();
      balance->key = absl::StrCat(name, ":", key);
      balance->balance = amount;
      reply.balances.push_back(std::move(balance));
    }
  }
  return reply;
}

void HandOver::Accept(const protocol::HandOverReplyT& reply) {
  for (const auto& [name, exclusive] : states_) {
    const auto prefix = absl::StrCat(name, ":");
    std::vector<std::pair<std::string, std::int64_t>> balances;
    for (const auto& balance : reply.balances) {
      if (!absl::StartsWith(balance->key, prefix)) continue;
      balances.emplace_back(balance->key.substr(prefix.size()), balance->balance);
    }
    if (!balances.empty()) exclusive->Accept(balances);
  }
}

void HandOver::Ask(const HandOverSource& source) {
  protocol::HandOverRequestT request;
  request.sender = ToWire(state_.self());
  request.epoch = source.epoch;
  HandleError(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(reply, CallPeer<protocol::HandOverReplyT>(client_, source.address,
                                                                  protocol::MessageType::HandOver,
                                                                  request, {kCallTimeout, {}}));
        if (!reply.ready) return {};
        // Balances come before the keys may be used.
        Accept(reply);
        state_.OnHandedOver(source.instance, source.epoch);
        return {};
      },
      [&](const Error& error) {
        Log().Debug("handover from ", source.instance.ToString(),
                    " not answered: ", error.ToString());
      });
}

void HandOver::RunRound() {
  std::vector<std::function<void()>> calls;
  for (const auto& source : state_.PendingHandOvers()) {
    calls.emplace_back([this, source] { Ask(source); });
  }
  if (!calls.empty()) RunInParallel(calls);
}

}  // namespace marigoldquay
