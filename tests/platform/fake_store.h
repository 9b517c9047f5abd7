// Stand-in of the platform's store: keyed topics, waiting reads, groups and the
// outages that the platform's pages name.
#ifndef MARIGOLDQUAY_TESTS_PLATFORM_FAKE_STORE_H_
#define MARIGOLDQUAY_TESTS_PLATFORM_FAKE_STORE_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "marigoldquay/net/http_listener.h"

namespace marigoldquay::testing {

enum class StoreMode {
  kUp,
  /// Answers 503 without doing anything.
  kBusy,
  /// Accepts calls and never answers.
  kSilent,
  /// Breaks connections.
  kReset,
  /// Answers late.
  kSlow,
};

/// Lives on the thread of the world.
class FakeStore final : public HttpHandler {
 public:
  explicit FakeStore(asio::io_context& io) : io_(io) {}

  void Handle(HttpRequest& request, HttpReplyWriter& reply, Cancellation& cancellation,
              Yield yield) override;

  /// Writes a record of a keyed topic; an empty value drops the key.
  void Put(const std::string& topic, const std::string& key, const std::string& value);
  /// Forgets the history; the newest record of each key is kept.
  void Compact();
  /// Comes back from a copy that was made at `copied_at`: everything written since is gone, offsets
  /// are given out again, and the era rises.
  void Restore(absl::Time copied_at);
  void set_mode(StoreMode mode) { mode_ = mode; }
  std::size_t calls() const { return calls_; }
  std::size_t members() const { return members_.size(); }

 private:
  struct Record {
    std::string key;
    std::string value;
    absl::Time written_at;
  };
  struct Member {
    absl::Time joined_at;
    absl::Time lapses_at;
  };
  struct Topic {
    std::vector<Record> records;
    // Records before this offset are gone.
    std::size_t first = 0;
    // Answer with the newest records; empty until it is asked for after a change.
    std::string newest;
  };

  void Read(const std::string& topic, std::size_t from, absl::Duration wait, HttpReplyWriter& reply,
            Cancellation& cancellation, Yield yield);
  const std::string& Newest(const std::string& name);
  std::string Owners();
  void WakeReads();
  void Send(HttpReplyWriter& reply, unsigned status, std::string body, Yield yield) const;

  asio::io_context& io_;
  // One for each waiting read.
  std::set<asio::steady_timer*> waiting_;
  std::map<std::string, Topic> topics_;
  // Members of the only group.
  std::map<std::string, Member> members_;
  StoreMode mode_ = StoreMode::kUp;
  std::size_t calls_ = 0;
  int era_ = 1;
};

}  // namespace marigoldquay::testing

#endif  // MARIGOLDQUAY_TESTS_PLATFORM_FAKE_STORE_H_
