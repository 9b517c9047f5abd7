// Shared aliases for Boost.Asio and Boost.Beast, and helpers to run fibers. All fibers of a process
// run on one thread.
#ifndef MARIGOLDQUAY_NET_ASYNC_H_
#define MARIGOLDQUAY_NET_ASYNC_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>

#include "absl/functional/any_invocable.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"
#include "marigoldquay/core/types.h"

namespace marigoldquay {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
/// Handle of the fiber that an asynchronous function suspends; valid for the lifetime of the fiber.
using Yield = const asio::yield_context&;
using HttpFields = http::fields;
using HttpRequest = http::request<http::string_body>;
/// A request whose body is that of another one, which must outlive it.
using ForwardedRequest = http::request<http::span_body<const char>>;

/// Starts a fiber. An exception thrown by `body` is logged with `name` and ends only that fiber.
void SpawnFiber(asio::io_context& io, std::string name, absl::AnyInvocable<void(Yield)> body);

/// Suspends the calling fiber for `duration`.
void SleepFor(asio::io_context& io, absl::Duration duration, Yield yield);

/// Parses an address such as "10.0.0.1:7000"; returns nullopt if it is malformed.
std::optional<Tcp::endpoint> ParseEndpoint(absl::string_view address);

/// Converts a duration for Asio timers, clamped to the range from zero to 365 days.
std::chrono::nanoseconds ToChrono(absl::Duration duration);

inline absl::string_view ToAbsl(beast::string_view text) { return {text.data(), text.size()}; }
inline beast::string_view ToBeast(absl::string_view text) { return {text.data(), text.size()}; }

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_NET_ASYNC_H_
