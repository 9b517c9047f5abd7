// Stand-in of the platform's store.
#include "fake_store.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"

namespace marigoldquay::testing {
namespace {

constexpr absl::Duration kForever = absl::Seconds(60);
constexpr absl::Duration kSlowAnswer = absl::Milliseconds(250);

std::string Bytes(std::uint64_t value, int count) {
  std::string bytes;
  for (int i = count - 1; i >= 0; --i) bytes.push_back(static_cast<char>(value >> (8 * i)));
  return bytes;
}

std::map<std::string, std::string> Query(absl::string_view target) {
  std::map<std::string, std::string> query;
  const auto mark = target.find('?');
  if (mark == absl::string_view::npos) return query;
  for (absl::string_view part : absl::StrSplit(target.substr(mark + 1), '&')) {
    const std::pair<std::string, std::string> pair = absl::StrSplit(part, absl::MaxSplits('=', 1));
    query[pair.first] = pair.second;
  }
  return query;
}

std::size_t Number(const std::string& text) {
  std::uint64_t value = 0;
  return absl::SimpleAtoi(text, &value) ? value : 0;
}

}  // namespace

void FakeStore::Send(HttpReplyWriter& reply, unsigned status, std::string body, Yield yield) const {
  HttpFields fields;
  fields.set("Store-Era", absl::StrCat(era_));
  (void)reply.SendReply(status, fields, std::move(body), yield);
}

void FakeStore::Put(const std::string& topic, const std::string& key, const std::string& value) {
  topics_[topic].records.push_back({key, value, absl::Now()});
  topics_[topic].newest.clear();
  WakeReads();
}

void FakeStore::WakeReads() {
  for (asio::steady_timer* timer : waiting_) timer->cancel();
}

void FakeStore::Compact() {
  for (auto& [name, topic] : topics_) topic.first = topic.records.size();
}

void FakeStore::Restore(absl::Time copied_at) {
  for (auto& [name, topic] : topics_) {
    std::erase_if(topic.records, [&](const Record& r) { return r.written_at > copied_at; });
    topic.first = std::min(topic.first, topic.records.size());
    topic.newest.clear();
  }
  std::erase_if(members_, [&](const auto& entry) { return entry.second.joined_at > copied_at; });
  ++era_;
  WakeReads();
}

const std::string& FakeStore::Newest(const std::string& name) {
  Topic& topic = topics_[name];
  if (!topic.newest.empty()) return topic.newest;
  std::map<std::string, std::size_t> offsets;
  for (std::size_t i = 0; i < topic.records.size(); ++i) offsets[topic.records[i].key] = i;
  boost::json::array items;
  for (const auto& [key, offset] : offsets) {
    const std::string& value = topic.records[offset].value;
    if (value.empty()) continue;
    items.push_back({{"key", key}, {"value", absl::Base64Escape(value)}, {"offset", offset}});
  }
  topic.newest = boost::json::serialize(boost::json::object{
      {"items", std::move(items)}, {"hasMore", false}, {"end", topic.records.size()}});
  return topic.newest;
}

std::string FakeStore::Owners() {
  const absl::Time now = absl::Now();
  std::erase_if(members_, [&](const auto& member) { return member.second.lapses_at < now; });
  boost::json::array rows;
  int part = 0;
  for (const auto& [name, member] : members_) {
    rows.push_back(boost::json::array{"marigoldquay-presence-0", part++, name, 0});
  }
  return boost::json::serialize(boost::json::object{{"parts", std::move(rows)}});
}

void FakeStore::Read(const std::string& topic, std::size_t from, absl::Duration wait,
                     HttpReplyWriter& reply, Cancellation& cancellation, Yield yield) {
  const absl::Time until = absl::Now() + wait;
  const int era = era_;
  while (topics_[topic].records.size() <= from && absl::Now() < until && era == era_ &&
         !cancellation.cancelled()) {
    asio::steady_timer timer(io_, ToChrono(until - absl::Now()));
    const Cancellation::Hook hook(cancellation, [&timer] { timer.cancel(); });
    waiting_.insert(&timer);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
    waiting_.erase(&timer);
  }
  // A return breaks waiting reads off.
  if (era != era_) return reply.Abort();
  const Topic& read = topics_[topic];
  if (from < read.first || from > read.records.size()) {
    Send(reply, 410, absl::StrCat(R"({"first":)", read.first, "}"), yield);
    return;
  }
  const bool keyed = absl::StartsWith(topic, "keyed.");
  std::string body = Bytes(read.records.size(), 8) + Bytes(read.first, 8);
  for (std::size_t i = from; i < read.records.size(); ++i) {
    const auto& record = read.records[i];
    const std::string key = keyed ? absl::StrCat(Bytes(record.key.size(), 1), record.key) : "";
    const std::string content = absl::StrCat(key, record.value);
    absl::StrAppend(&body, Bytes(content.size(), 4), content);
  }
  Send(reply, 200, body, yield);
}

void FakeStore::Handle(HttpRequest& request, HttpReplyWriter& reply, Cancellation& cancellation,
                       Yield yield) {
  ++calls_;
  if (mode_ == StoreMode::kBusy) return Send(reply, 503, "{}", yield);
  if (mode_ == StoreMode::kReset) return reply.Abort();
  if (mode_ == StoreMode::kSilent) {
    asio::steady_timer timer(io_, ToChrono(kForever));
    const Cancellation::Hook hook(cancellation, [&timer] { timer.cancel(); });
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
    return reply.Abort();
  }
  if (mode_ == StoreMode::kSlow) SleepFor(io_, kSlowAnswer, yield);
  const auto target = ToAbsl(request.target());
  const auto path = target.substr(0, target.find('?'));
  auto query = Query(target);
  if (path == "/log-newest") return Send(reply, 200, Newest(query["topic"]), yield);
  if (path == "/log-read") {
    return Read(query["topic"], Number(query["from"]),
                absl::Milliseconds(static_cast<std::int64_t>(Number(query["waitMs"]))), reply,
                cancellation, yield);
  }
  if (path == "/log-owners") return Send(reply, 200, Owners(), yield);
  if (path == "/log-append") {
    // One record behind the four bytes of its length; in keyed topics it begins with the key.
    const std::string& topic = query["topic"];
    const std::size_t offset = topics_[topic].records.size();
    const std::string content = request.body().substr(4);
    const bool keyed = absl::StartsWith(topic, "keyed.");
    const std::size_t key_size = keyed ? static_cast<unsigned char>(content.front()) : 0;
    const std::size_t key_at = keyed ? 1 : 0;
    Put(topic, content.substr(key_at, key_size), content.substr(key_at + key_size));
    return Send(reply, 200, absl::StrCat(R"({"offset":)", offset, R"(,"end":)", offset + 1, "}"),
                yield);
  }
  const auto body = boost::json::parse(request.body()).as_object();
  const std::string member(body.at("member").as_string());
  if (path == "/log-join") {
    const auto ttl = absl::Milliseconds(body.at("ttlMs").to_number<int>());
    const auto joined = members_.try_emplace(member, Member{absl::Now(), {}}).first;
    joined->second.lapses_at = absl::Now() + ttl;
  } else {
    members_.erase(member);
  }
  Send(reply, 200, R"({"generation":1,"ttlMs":3000,"parts":[]})", yield);
}

}  // namespace marigoldquay::testing
