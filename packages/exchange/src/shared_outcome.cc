// Shared outcome of a completion.
#include "marigoldquay/exchange/shared_outcome.h"

#include <utility>

namespace marigoldquay {

void SharedOutcome::Append(absl::string_view token) {
  {
    const std::scoped_lock lock(mutex_);
    if (end_) return;
    tokens_.emplace_back(token);
    bytes_ += token.size();
  }
  changed_.notify_all();
}

void SharedOutcome::Finish(CompletionEnd end) {
  {
    const std::scoped_lock lock(mutex_);
    if (end_) return;
    end_ = std::move(end);
  }
  changed_.notify_all();
}

std::optional<OutcomeReader> SharedOutcome::Join() {
  const std::scoped_lock lock(mutex_);
  if (abandoned_) return std::nullopt;
  ++readers_;
  return OutcomeReader(shared_from_this());
}

void SharedOutcome::Leave() {
  const std::scoped_lock lock(mutex_);
  if (--readers_ == 0 && !end_) abandoned_ = true;
}

bool SharedOutcome::abandoned() const {
  const std::scoped_lock lock(mutex_);
  return abandoned_;
}

bool SharedOutcome::finished() const {
  const std::scoped_lock lock(mutex_);
  return end_.has_value();
}

std::optional<CompletionEnd> SharedOutcome::end() const {
  const std::scoped_lock lock(mutex_);
  return end_;
}

std::size_t SharedOutcome::size() const {
  const std::scoped_lock lock(mutex_);
  return bytes_;
}

OutcomeReader& OutcomeReader::operator=(OutcomeReader&& other) noexcept {
  std::swap(outcome_, other.outcome_);
  std::swap(position_, other.position_);
  return *this;
}

OutcomeReader::~OutcomeReader() {
  if (outcome_) outcome_->Leave();
}

OutcomeReader::Item OutcomeReader::Next(absl::Duration timeout) {
  std::unique_lock lock(outcome_->mutex_);
  outcome_->changed_.wait_for(lock, absl::ToChronoMilliseconds(timeout), [&] {
    return position_ < outcome_->tokens_.size() || outcome_->end_.has_value();
  });
  if (position_ < outcome_->tokens_.size()) return {outcome_->tokens_[position_++], std::nullopt};
  return {std::nullopt, outcome_->end_};
}

bool OutcomeReader::WaitForFirst(absl::Duration timeout) {
  std::unique_lock lock(outcome_->mutex_);
  return outcome_->changed_.wait_for(lock, absl::ToChronoMilliseconds(timeout), [&] {
    return !outcome_->tokens_.empty() || outcome_->end_.has_value();
  });
}

}  // namespace marigoldquay
