// Replication of a stream's state.
#include "marigoldquay/config/stream_replica.h"

#include <algorithm>

#include "marigoldquay/config/records.h"
#include "marigoldquay/core/secret.h"

namespace marigoldquay {
namespace {

constexpr std::size_t kMaxIncompleteSnapshots = 2;

}  // namespace

std::vector<SnapshotPart> SplitSnapshot(absl::string_view text, Offset next) {
  const auto parts =
      std::max<std::size_t>(1, (text.size() + kSnapshotPartSize - 1) / kSnapshotPartSize);
  std::vector<SnapshotPart> result;
  if (parts > kMaxSnapshotParts) return result;
  const auto digest = Sha256Hex(text);
  for (std::size_t i = 0; i < parts; ++i) {
    result.push_back({next, digest, static_cast<std::uint32_t>(i),
                      static_cast<std::uint32_t>(parts),
                      std::string(text.substr(i * kSnapshotPartSize, kSnapshotPartSize))});
  }
  return result;
}

std::optional<std::string> SnapshotAssembler::Add(const SnapshotPart& part) {
  const auto key = std::make_pair(part.next, part.digest);
  auto& incomplete = incomplete_[key];
  if (incomplete.parts.size() != part.parts) {
    incomplete.parts.assign(part.parts, std::nullopt);
    incomplete.missing = part.parts;
  }
  if (part.part >= part.parts) return std::nullopt;
  if (!incomplete.parts[part.part]) --incomplete.missing;
  incomplete.parts[part.part] = part.text;
  if (incomplete.missing > 0) {
    // The oldest goes first: a newer snapshot replaces it anyway.
    if (incomplete_.size() > kMaxIncompleteSnapshots) incomplete_.erase(incomplete_.begin());
    return std::nullopt;
  }
  std::string text;
  for (const auto& piece : incomplete.parts) text += *piece;
  incomplete_.erase(key);
  if (Sha256Hex(text) != part.digest) return std::nullopt;
  return text;
}

Offset StreamReplica::wanted_offset() const {
  return search_offset_.value_or(state_.next_offset());
}

bool StreamReplica::TakePage(const LogPage& page) {
  if (page.first_offset > state_.next_offset()) {
    Search(page);
    if (search_offset_) return false;
  }
  search_offset_.reset();
  for (const auto& record : page.records) {
    if (record.offset > state_.next_offset()) break;
    if (record.offset == state_.next_offset()) ApplyRecord(record.offset, record.data);
  }
  return state_.next_offset() >= page.next_offset;
}

void StreamReplica::Search(const LogPage& page) {
  if (!search_offset_ || *search_offset_ < page.first_offset) {
    search_offset_ = page.first_offset;
  }
  for (const auto& record : page.records) {
    if (record.offset != *search_offset_) continue;
    ++*search_offset_;
    const auto part = state_.PartIn(record.data);
    // A snapshot that does not reach the first retained record leaves a gap.
    if (!part || part->next < page.first_offset || part->next > record.offset) continue;
    const auto text = from_log_.Add(*part);
    if (text && Load(part->next, *text)) {
      search_offset_.reset();
      return;
    }
  }
  if (*search_offset_ >= page.next_offset && state_.StartEmptyAt(page.first_offset)) {
    tail_.clear();
    tail_bytes_ = 0;
    search_offset_.reset();
  }
}

bool StreamReplica::Load(Offset next, const std::string& text) {
  if (next <= state_.next_offset() || !state_.LoadSnapshot(next, text)) return false;
  tail_.clear();
  tail_bytes_ = 0;
  from_log_.Clear();
  from_peer_.Clear();
  peer_part_ = 0;
  return true;
}

void StreamReplica::ApplyRecord(Offset offset, const std::string& data) {
  state_.Apply(offset, data);
  tail_.push_back({offset, data});
  tail_bytes_ += data.size();
  while (tail_.size() > kMaxTailRecords || tail_bytes_ > kMaxTailBytes) {
    tail_bytes_ -= tail_.front().data.size();
    tail_.pop_front();
  }
}

bool StreamReplica::Serves(absl::string_view stream) const {
  return stream == stream_ || stream == SnapshotStream();
}

protocol::FetchRecordsReplyT StreamReplica::Serve(const protocol::FetchRecordsRequestT& request) {
  protocol::FetchRecordsReplyT reply;
  const auto limit = std::min<std::size_t>(request.max, kMaxReplyRecords);
  std::size_t bytes = 0;
  const auto add = [&](Offset offset, const std::string& data) {
    // One record is always sent, so that the reader makes progress.
    if (reply.records.size() >= std::max<std::size_t>(limit, 1)) return false;
    if (!reply.records.empty() && bytes + data.size() > kMaxReplyBytes) return false;
    bytes += data.size();
    auto record = std::make_unique<protocol::RecordT>();
    record->offset = offset;
    record->data = data;
    reply.records.push_back(std::move(record));
    return true;
  };
  if (request.stream == SnapshotStream()) {
    const auto& parts = SnapshotRecords();
    reply.next = parts.size();
    for (Offset part = request.from; part < parts.size() && add(part, parts[part]);) ++part;
    return reply;
  }
  reply.next = state_.next_offset();
  if (request.from >= reply.next) return reply;
  const auto first = tail_.empty() ? reply.next : tail_.front().offset;
  if (request.from < first) {
    const auto& parts = SnapshotRecords();
    if (!parts.empty()) reply.snapshot = parts.front();
    return reply;
  }
  for (auto i = static_cast<std::size_t>(request.from - first);
       i < tail_.size() && add(tail_[i].offset, tail_[i].data);) {
    ++i;
  }
  return reply;
}

const std::vector<std::string>& StreamReplica::SnapshotRecords() {
  const auto first = tail_.empty() ? state_.next_offset() : tail_.front().offset;
  if (served_parts_.empty() || served_next_ < first) {
    served_parts_.clear();
    served_next_ = state_.next_offset();
    for (const auto& part : SplitSnapshot(state_.SnapshotText(), served_next_)) {
      served_parts_.push_back(FormatRecord(part));
    }
  }
  return served_parts_;
}

protocol::FetchRecordsRequestT StreamReplica::NextRequest() const {
  protocol::FetchRecordsRequestT request;
  request.stream = peer_part_ > 0 ? SnapshotStream() : stream_;
  request.from = peer_part_ > 0 ? peer_part_ : state_.next_offset();
  request.max = kMaxReplyRecords;
  return request;
}

bool StreamReplica::TakeSnapshotPart(const std::string& data) {
  const auto part = state_.PartIn(data);
  if (!part || part->next <= state_.next_offset()) return false;
  const auto text = from_peer_.Add(*part);
  if (text) return Load(part->next, *text);
  peer_part_ = part->part + 1;
  return peer_part_ < part->parts;
}

bool StreamReplica::TakeReply(const protocol::FetchRecordsRequestT& request,
                              const protocol::FetchRecordsReplyT& reply) {
  if (request.stream == SnapshotStream()) {
    bool progress = false;
    for (const auto& record : reply.records) progress = TakeSnapshotPart(record->data);
    // Without progress the peer has another snapshot by now; start over with it.
    if (!progress) peer_part_ = 0;
    return progress;
  }
  peer_part_ = 0;
  if (!reply.snapshot.empty()) return TakeSnapshotPart(reply.snapshot);
  bool progress = false;
  for (const auto& record : reply.records) {
    if (record->offset != state_.next_offset()) continue;
    ApplyRecord(record->offset, record->data);
    progress = true;
  }
  return progress && state_.next_offset() < reply.next;
}

}  // namespace marigoldquay
