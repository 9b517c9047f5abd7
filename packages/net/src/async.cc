// Fibers and timers on Boost.Asio.
#include "marigoldquay/net/async.h"

#include <boost/context/fixedsize_stack.hpp>
#include <exception>
#include <utility>

#include "absl/strings/numbers.h"
#include "marigoldquay/core/logger.h"

namespace marigoldquay {
namespace {

// Well above what the code needs, as signal handlers run on the stack of the interrupted fiber.
// Only touched pages use memory.
constexpr std::size_t kStackBytes = std::size_t{256} * 1024;

const Logger& Log() {
  static const Logger logger("net");
  return logger;
}

void LogException(const std::string& name, const std::exception_ptr& failure) {
  if (!failure) return;
  try {
    std::rethrow_exception(failure);
  } catch (const std::exception& error) {
    Log().Error("uncaught exception in fiber ", name, ": ", error.what());
  }
}

}  // namespace

void SpawnFiber(asio::io_context& io, std::string name, absl::AnyInvocable<void(Yield)> body) {
  asio::spawn(
      io, std::allocator_arg, boost::context::fixedsize_stack(kStackBytes), std::move(body),
      [name = std::move(name)](const std::exception_ptr& failure) { LogException(name, failure); });
}

void SleepFor(asio::io_context& io, absl::Duration duration, Yield yield) {
  asio::steady_timer timer(io, ToChrono(duration));
  boost::system::error_code ignored;  // The timer is never cancelled.
  timer.async_wait(yield[ignored]);
}

std::optional<Tcp::endpoint> ParseEndpoint(absl::string_view address) {
  const auto colon = address.rfind(':');
  if (colon == absl::string_view::npos) return std::nullopt;
  int port = 0;
  if (!absl::SimpleAtoi(address.substr(colon + 1), &port) || port < 0 || port > 65535) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(std::string(address.substr(0, colon)), error);
  if (error) return std::nullopt;
  return Tcp::endpoint(ip, static_cast<std::uint16_t>(port));
}

std::chrono::nanoseconds ToChrono(absl::Duration duration) {
  constexpr absl::Duration kMaxDuration = absl::Hours(24 * 365);
  return absl::ToChronoNanoseconds(std::clamp(duration, absl::ZeroDuration(), kMaxDuration));
}

}  // namespace marigoldquay
