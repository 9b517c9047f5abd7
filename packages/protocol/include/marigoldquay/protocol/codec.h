// Turns FlatBuffers messages of the inner protocol into bytes and back. Bytes
// from a peer are verified before any field is read.
#ifndef MARIGOLDQUAY_PROTOCOL_CODEC_H_
#define MARIGOLDQUAY_PROTOCOL_CODEC_H_

#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "flatbuffers/flatbuffers.h"
#include "marigoldquay/core/error.h"
#include "marigoldquay/core/types.h"
#include "marigoldquay/protocol/inner_generated.h"

namespace marigoldquay {

/// Serializes a message given in its object form, e.g. protocol::ReserveRequestT.
template <class ObjectT>
std::string EncodeMessage(const ObjectT& message) {
  flatbuffers::FlatBufferBuilder builder;
  builder.Finish(ObjectT::TableType::Pack(builder, &message));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

/// Verifies and unpacks a message; kProtocol for malformed bytes.
template <class ObjectT>
Result<ObjectT> DecodeMessage(absl::string_view payload, const std::string& peer) {
  using Table = typename ObjectT::TableType;
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(payload.data());
  flatbuffers::Verifier verifier(bytes, payload.size());
  if (!verifier.VerifyBuffer<Table>(nullptr)) {
    return Fail(ErrorCode::kProtocol, "decode message", peer,
                std::string("malformed ") + Table::GetFullyQualifiedName());
  }
  ObjectT object;
  flatbuffers::GetRoot<Table>(bytes)->UnPackTo(&object);
  return object;
}

/// Instance in its wire form.
inline std::unique_ptr<protocol::InstanceIdT> ToWire(const Instance& instance) {
  auto wire = std::make_unique<protocol::InstanceIdT>();
  wire->vm = instance.vm;
  wire->incarnation = instance.incarnation;
  return wire;
}

/// Instance from its wire form; `wire` comes from a verified message.
inline Instance FromWire(const protocol::InstanceIdT& wire) { return {wire.vm, wire.incarnation}; }

}  // namespace marigoldquay

#endif  // MARIGOLDQUAY_PROTOCOL_CODEC_H_
