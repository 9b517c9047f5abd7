// A value or an error, for code that suspends. Boost.LEAF keeps error objects in
// handlers on the thread's stack, which a suspended fiber would leave in the
// wrong order, so asynchronous functions return their errors by value.
#ifndef MARIGOLDQUAY_CORE_ERROR_OR_H_
#define MARIGOLDQUAY_CORE_ERROR_OR_H_

#include <utility>
#include <variant>

#include "marigoldquay/core/error.h"

namespace marigoldquay {

/// Holds a T or the Error that kept it from being made.
template <class T>
class ErrorOr {
 public:
  // NOLINTNEXTLINE(google-explicit-constructor): lets functions return a plain T.
  ErrorOr(T value) : content_(std::in_place_index<0>, std::move(value)) {}
  // NOLINTNEXTLINE(google-explicit-constructor): lets functions return a plain Error.
  ErrorOr(Error error) : content_(std::in_place_index<1>, std::move(error)) {}

  bool ok() const { return content_.index() == 0; }
  explicit operator bool() const { return ok(); }

  /// The value; must only be called when ok().
  T& operator*() { return std::get<0>(content_); }
  const T& operator*() const { return std::get<0>(content_); }
  T* operator->() { return &std::get<0>(content_); }
  const T* operator->() const { return &std::get<0>(content_); }

  /// The error; must only be called when not ok().
  const Error& error() const { return std::get<1>(content_); }

 private:
  std::variant<T, Error> content_;
};

/// Success without a value.
using ErrorOrVoid = ErrorOr<std::monostate>;

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_CORE_ERROR_OR_H_
